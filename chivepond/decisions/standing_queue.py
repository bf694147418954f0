"""How long work may wait, by how long the queue has stood.

Load pattern: saturation, against a burst. A burst makes a long queue that
empties soon; under saturation the queue never empties. A bound on length
can not tell one from the other: it refuses the burst that would have been
served, or lets every request of the saturated hour wait until it is late.

As in CoDel, what counts is how long the queue has not been empty. Up to
``_INTERVAL_S`` the wait is bounded by the deadline alone. After that, work
that waited over ``_TARGET_S`` is given up, so that what is served is fresh.
The interval is about twice the longest work in the trial model (4 ms, 1 in
100 ten times as long), so that one long batch does not count as
overload; the target lets a few batches go first. The figures are in
docs/design/queueing.md.
"""

import math

_INTERVAL_S = 0.1
_TARGET_S = 0.02


class StandingQueue:
    """Follows one queue; times are seconds of one clock."""

    __slots__ = ('_empty_at',)

    def __init__(self, now: float) -> None:
        """Start empty."""
        self._empty_at = now

    def emptied(self, now: float) -> None:
        """Take that the queue is empty at this moment."""
        self._empty_at = now

    def longest_wait_s(self, now: float) -> float:
        """Return how long work may have waited; endless if not bounded."""
        if now - self._empty_at > _INTERVAL_S:
            return _TARGET_S
        return math.inf
