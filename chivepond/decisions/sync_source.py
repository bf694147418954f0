"""Which gateways read the store and which follow another gateway.

Load pattern: each list and watch call to the store is paid for and counts
against one rate limit for the whole fleet. If every gateway read the store,
the calls would grow with the fleet, and a single gateway that served all
others would send more bytes the more there are. So one gateway reads the
store, one gateway of each other data centre follows it, and the rest of a data
centre follow in a tree. Each gateway finds its position by sorting links and
names, without coordination: two gateways whose lists differ both read for a
while, and no gateway follows one that sorts after it. Wide links sort first,
because a large update takes long on a narrow link that serves others.
"""

import dataclasses
import typing
from collections.abc import Iterable

#: Maximum number of followers per gateway within its data centre.
_FAN_OUT = 6
#: Fractions of the time within which an update must be active: the watch call
#: of a gateway with followers, the maximum content age of a reader, and the
#: time that a follower waits for a reply.
_WATCH_PART = 0.38
_SOURCE_AGE_PART = 0.55
_REPLY_HOLD_PART = 0.15
#: Maximum content age at which a follower reads the store itself, as a
#: fraction of that time, and the seconds per gateway over which such reads are
#: spread. By that age the intended readers have tried, and all other gateways
#: would call at the same moment.
_FOLLOWER_AGE_PART = 0.7
_FOLLOWER_SPREAD_S = 0.03
_SPREAD_FREE_GATEWAYS = 10
#: How much fresher the content must be for an early reply, as a fraction of
#: the time for which the reply may be held.
_MIN_FRESHER_PART = 0.1
#: Watch call of a gateway without followers: maximum in seconds, and as a
#: fraction of the time within which an update must be active.
_UNFOLLOWED_WATCH_S = 4.0
_UNFOLLOWED_WATCH_PART = 0.75
#: How much longer than its wait a watch call may take, in seconds.
WATCH_GRACE_S = 0.5
#: First pause before the store is called again after a failure, in seconds;
#: each further pause is twice as long.
FIRST_RETRY_S = 0.1
#: Longest such pause: with no content, with old content, and with content that
#: another gateway reads now.
_MAX_EMPTY_RETRY_S = 0.25
_MAX_STALE_RETRY_S = 0.8
_MAX_FRESH_RETRY_S = 1.6
#: How long a reader leaves retries of the store to another reader, in seconds.
_OTHER_READERS_RETRY_S = 2.4
#: Spreads the calls of gateways that failed at the same moment.
JITTER = (0.7, 1.3)
#: Watch calls for other gateways and for kinds whose updates may be late, in
#: seconds; at most as long as the store waits.
_GATEWAYS_WATCH_S = 2.0
_UNBOUNDED_WATCH_S = 12.0


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A gateway; those with the widest links sort first."""

    data_centre: str
    node_id: str
    link_mbps: float = 0

    def __lt__(self, other: typing.Self) -> bool:
        """Tell whether the other gateway may follow this one."""
        return self._rank < other._rank

    @property
    def _rank(self) -> tuple[float, str, str]:
        return (-self.link_mbps, self.data_centre, self.node_id)


def source(own: Member, others: Iterable[Member]) -> Member | None:
    """Return the gateway to follow, or ``None`` to read the store directly.

    ``others`` are the gateways that replied recently.
    """
    preferred = sorted(member for member in others if member < own)
    same_data_centre = [
        member for member in preferred if member.data_centre == own.data_centre
    ]
    if same_data_centre:
        return same_data_centre[(len(same_data_centre) - 1) // _FAN_OUT]
    return preferred[0] if preferred else None


def watch_s(bound_s: float, members: int) -> float:
    """Return how long a watch call to the store waits, in seconds.

    ``bound_s`` is the time within which an update must be active. ``members``
    is the number of gateways, including this one.
    """
    part = _WATCH_PART if members > 1 else _UNFOLLOWED_WATCH_PART
    return min(_UNFOLLOWED_WATCH_S, part * bound_s)


def other_reader_wait_s(*, is_age_bounded: bool, is_known: bool) -> float:
    """Return how long a reader leaves retries to another reader.

    The result is in seconds. ``is_age_bounded`` says that the content has a
    maximum age, ``is_known`` that the gateway has content.
    """
    is_urgent = is_age_bounded or not is_known
    return _OTHER_READERS_RETRY_S if is_urgent else _UNBOUNDED_WATCH_S


def gateways_watch_s(members: int) -> float:
    """Return how long a watch for other gateways waits, in seconds.

    A reply shows that the list is current. Gateways whose list is old use no
    part of a burst (``burst_share``).
    """
    return min(_GATEWAYS_WATCH_S, unbounded_watch_s(members))


def unbounded_watch_s(members: int) -> float:
    """Return how long a watch for updates waits that may be late."""
    return _UNFOLLOWED_WATCH_S if members < 2 else _UNBOUNDED_WATCH_S


def source_age_s(bound_s: float) -> float:
    """Return the maximum content age of a reading gateway, in seconds."""
    return _SOURCE_AGE_PART * bound_s


def follower_age_s(bound_s: float, gateways: int, position: float) -> float:
    """Return the maximum content age of a following gateway, in seconds.

    Beyond it the follower reads the store itself. ``position`` is drawn
    uniformly from 0 to 1 and spreads the ``gateways`` over time.
    """
    spread_s = _FOLLOWER_SPREAD_S * max(0, gateways - _SPREAD_FREE_GATEWAYS)
    return _FOLLOWER_AGE_PART * bound_s + position * spread_s


def max_hold_s(bound_s: float) -> float:
    """Return how long a followed gateway may hold its reply, in seconds."""
    return _REPLY_HOLD_PART * bound_s


def is_fresher(age_s: float, known_age_s: float, wait_s: float) -> bool:
    """Tell whether content of ``age_s`` is worth an early reply.

    ``known_age_s`` is the age of the content that the follower has, and
    ``wait_s`` the time for which the reply may be held.
    """
    return age_s + _MIN_FRESHER_PART * wait_s < known_age_s


def retry_s(previous_s: float, *, is_known: bool, is_fresh: bool) -> float:
    """Return the pause that follows a pause of ``previous_s``, in seconds.

    ``is_known`` says that the gateway has content, ``is_fresh`` that the
    content is what another gateway reads now.
    """
    max_pause_s = _MAX_STALE_RETRY_S if is_known else _MAX_EMPTY_RETRY_S
    if is_fresh:
        max_pause_s = _MAX_FRESH_RETRY_S
    return min(max_pause_s, 2 * previous_s)
