"""Who reads the store, and whose news a gateway takes instead.

Load pattern: each read and each watch of the store is a call that is paid
for and counted against a rate for the whole fleet; read by every gateway,
calls grow with the fleet. So one gateway a data centre reads, and the others
of it follow. Who reads is the first one by name that replies with news that
are fresh, which needs no agreement: two that disagree both read for a while.
"""

import dataclasses
from collections.abc import Iterable

#: In a data centre with so few gateways each reads for itself: its watches
#: wait several times longer than those of one that others follow, so that
#: following would save no calls.
_FEW = 3
#: Parts of the time within which news must be in force: how long the watch
#: of a gateway that is followed waits, how old its news may be, and how long
#: a follower waits for an answer. Together they are below one, so that a
#: follower of a gateway that is cut off reads the store itself in time.
_WATCH_PART = 0.38
_AGE_PART = 0.55
_ASK_PART = 0.15
#: A watch of a gateway that nobody follows, in seconds, and as a part of the
#: time within which news must be in force. The part guards against a
#: connection that falls silent without a reset: it shows as a watch without
#: a reply, and only then is the list read anew.
_ALONE_WATCH_S = 4.0
_ALONE_PART = 0.75
#: How much longer than its wait a watch may take, in seconds.
WATCH_GRACE_S = 0.5
#: The first pause before the store is called again after a failure, in
#: seconds; each further one is twice as long.
FIRST_RETRY_S = 0.1
#: The longest such pause: where nothing is known yet, each caller is refused
#: meanwhile; where all is known from another gateway, nobody waits for it.
_LONGEST_BLIND_S = 0.25
_LONGEST_RETRY_S = 0.8
_LONGEST_FRESH_S = 1.6
#: How long a reader leaves it to another one to try the store, in seconds.
OTHERS_RETRY_S = 2.4
#: Spreads the calls of gateways that failed at the same moment.
JITTER = (0.7, 1.3)
#: A watch for other gateways, in seconds, at most as long as the store waits.
_GATEWAYS_WATCH_S = 12.0


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One gateway of the own data centre."""

    node_id: str
    #: Whether it replied lately, with news that were fresh.
    is_sound: bool


def leader(own_id: str, others: Iterable[Member]) -> str | None:
    """Return the gateway to follow, or nothing to read the store here."""
    members = sorted(others, key=_node_id)
    if len(members) < _FEW:
        return None
    for one in members:
        if one.node_id > own_id:
            return None
        if one.is_sound:
            return one.node_id
    return None


def watch_s(bound_s: float, members: int) -> float:
    """Return how long a watch of the store waits, in seconds.

    ``bound_s`` is the time within which news must be in force.
    """
    if members <= _FEW:
        return min(_ALONE_WATCH_S, _ALONE_PART * bound_s)
    return min(_ALONE_WATCH_S, _WATCH_PART * bound_s)


def gateways_watch_s(members: int) -> float:
    """Return how long a watch for other gateways waits, in seconds.

    A gateway that is new helps a little later, and one that is gone is seen
    by its first failure: these news may be old.
    """
    return _ALONE_WATCH_S if members < 2 else _GATEWAYS_WATCH_S


def oldest_s(bound_s: float) -> float:
    """Return how old the news of a gateway that is followed may be."""
    return _AGE_PART * bound_s


def ask_s(bound_s: float) -> float:
    """Return how long a gateway that is followed may wait for news."""
    return _ASK_PART * bound_s


def retry_s(before_s: float, *, is_known: bool, is_fresh: bool) -> float:
    """Return the pause after one of ``before_s``, in seconds.

    ``is_known`` says that something is known, ``is_fresh`` that it is what
    another gateway reads now.
    """
    longest_s = _LONGEST_RETRY_S if is_known else _LONGEST_BLIND_S
    if is_fresh:
        longest_s = _LONGEST_FRESH_S
    return min(longest_s, 2 * before_s)


def _node_id(one: Member) -> str:
    return one.node_id
