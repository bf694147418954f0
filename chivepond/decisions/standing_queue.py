"""How long work may wait, by how long the queue has stood.

Load pattern: saturation, against a burst. A burst makes a long queue that
empties soon; under saturation the queue never empties. A bound on length
can not tell one from the other: it refuses the burst that would have been
served, or lets every request of the saturated hour wait until it is late.

As in CoDel, what counts is how long the queue has not been empty. Up to
``INTERVAL_S`` the wait is bounded by the deadline alone. After that, work
that waited over ``TARGET_S`` is given up, so that what is served is fresh.
The interval is the usual deadline: a queue that stood for one whole deadline
is no burst, and a single search that brings a searcher much work is. The
target leaves time for the work itself and for another replica. Of the pairs
that ``python -m chivepond.tools.decision_trials`` plays, those with a target
of 20 ms served 1 in 100 less at 0.85 of the slots, and a target of 100 ms
nearly doubled the time to a refusal; docs/design/queueing.md has all.
"""

import math

INTERVAL_S = 0.25
TARGET_S = 0.05


class StandingQueue:
    """Follows one queue; times are seconds of one clock."""

    __slots__ = ('_empty_at', '_interval_s', '_target_s')

    def __init__(
        self,
        now: float,
        interval_s: float = INTERVAL_S,
        target_s: float = TARGET_S,
    ) -> None:
        """Start empty."""
        self._empty_at = now
        self._interval_s = interval_s
        self._target_s = target_s

    def emptied(self, now: float) -> None:
        """Take that the queue is empty at this moment."""
        self._empty_at = now

    def longest_wait_s(self, now: float) -> float:
        """Return how long work may have waited; endless if not bounded."""
        if now - self._empty_at > self._interval_s:
            return self._target_s
        return math.inf
