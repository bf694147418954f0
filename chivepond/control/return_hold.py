"""Delays the return of flapping nodes to the view."""

_FIRST_HOLD_S = 10
_MAX_HOLD_S = 300
_FORGET_AFTER_S = 300


class ReturnHold:
    """Computes how long a node stays out of the view after its removal.

    Load pattern: nodes, or the links to them, that fail and recover again
    and again. Without the hold each return moves the ownership of searchers,
    with their queues and connections, back and forth. Removals are never
    delayed, nor is the first return within five minutes, since restarts look
    like that. Each further removal doubles the hold, from 10 s up to 300 s:
    10 s is long compared to the few seconds in which an owner's queue warms
    up, and short compared to the day that a lost owner would otherwise be
    out. Does no I/O; the time is passed in.
    """

    __slots__ = ('_removals_by_id', '_removed_at_by_id')

    def __init__(self) -> None:
        """Start with no removals known."""
        self._removals_by_id: dict[str, int] = {}
        self._removed_at_by_id: dict[str, float] = {}

    def record_removal(self, node_id: str, now: float) -> None:
        """Record that a node was removed as dead or leaving."""
        last_removal_at = self._removed_at_by_id.get(node_id)
        if last_removal_at is None or now - last_removal_at > _FORGET_AFTER_S:
            self._removals_by_id[node_id] = 0
        self._removals_by_id[node_id] += 1
        self._removed_at_by_id[node_id] = now

    def held_until(self, node_id: str) -> float:
        """Return the time until which a node is held, 0 for one not held."""
        removals = self._removals_by_id.get(node_id, 0)
        if removals < 2:
            return 0
        hold_s = min(_FIRST_HOLD_S * 2 ** (removals - 2), _MAX_HOLD_S)
        return self._removed_at_by_id[node_id] + hold_s

    def prune(self, now: float) -> None:
        """Drop nodes whose last removal was more than five minutes ago."""
        expired = [
            node_id
            for node_id, removed_at in self._removed_at_by_id.items()
            if now - removed_at > _FORGET_AFTER_S
        ]
        for node_id in expired:
            self._removed_at_by_id.pop(node_id)
            self._removals_by_id.pop(node_id)
