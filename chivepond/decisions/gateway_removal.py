"""When the registration of an unresponsive gateway is removed.

Load pattern: hosts are replaced all the time and leave their registrations
behind. Stale entries that nobody removes lengthen every list and take a share
of the connections and hedges of the live gateways. One live gateway probes the
others in turn. It first marks an entry; a live gateway sees the mark and
rewrites its entry. An entry that is still unchanged later is removed.
"""

import dataclasses
import enum
from collections.abc import Iterable

#: Consecutive failed probes, and the seconds that they must span, before an
#: entry is marked. The span exceeds the longest outage of a host that comes
#: back.
_MIN_FAILED_PROBES = 3
_MIN_SILENCE_S = 30.0
#: How long an entry stays marked before it is removed, in seconds.
_REMOVAL_DELAY_S = 15.0
#: If a larger share of the gateways is silent, none is marked: the probing
#: gateway is probably partitioned itself.
_MAX_SILENT_SHARE = 0.5


#: Time in which every gateway is probed once, and the minimum pause between
#: two probes, in seconds.
_PROBE_ROUND_S = 10.0
_MIN_PROBE_PAUSE_S = 0.1


class Step(enum.Enum):
    """Action to take on a registration."""

    KEEP = enum.auto()
    MARK = enum.auto()
    REMOVE = enum.auto()


def probe_pause_s(gateways: int) -> float:
    """Return the pause between two probes, in seconds."""
    return max(_MIN_PROBE_PAUSE_S, _PROBE_ROUND_S / gateways)


@dataclasses.dataclass(slots=True)
class _Silence:
    since: float
    probes: int = 0
    marked_at: float | None = None


class ProbeTracker:
    """Tracks the probes of all gateways; times are in seconds."""

    __slots__ = ('_silence_by_id',)

    def __init__(self) -> None:
        """Start with all gateways considered live."""
        self._silence_by_id: dict[str, _Silence] = {}

    @property
    def silent(self) -> int:
        """The number of gateways that did not reply to their last probe."""
        return len(self._silence_by_id)

    def retain(self, node_ids: Iterable[str]) -> None:
        """Drop the state of gateways that are no longer registered."""
        for node_id in self._silence_by_id.keys() - set(node_ids):
            self._silence_by_id.pop(node_id)

    def replied(self, node_id: str) -> None:
        """Record that a gateway replied to its probe."""
        self._silence_by_id.pop(node_id, None)

    def failed(self, node_id: str, now: float, gateways: int) -> Step:
        """Record a failed probe; return the action to take.

        ``gateways`` is the number of registered gateways.
        """
        silence = self._silence_by_id.setdefault(node_id, _Silence(now))
        silence.probes += 1
        if silence.marked_at is not None:
            is_due = now - silence.marked_at >= _REMOVAL_DELAY_S
            return Step.REMOVE if is_due else Step.KEEP
        is_silent_long_enough = now - silence.since >= _MIN_SILENCE_S
        if silence.probes < _MIN_FAILED_PROBES or not is_silent_long_enough:
            return Step.KEEP
        if self.silent > _MAX_SILENT_SHARE * gateways:
            return Step.KEEP
        return Step.MARK

    def marked(self, node_id: str, now: float) -> None:
        """Record that the entry was marked at ``now``."""
        self._silence_by_id[node_id].marked_at = now

    def unmarked(self, node_id: str) -> None:
        """Record that the entry changed after its mark: its gateway is live."""
        self._silence_by_id.pop(node_id, None)
