"""A count of events over a sliding time window."""

import collections


class RecentCount:
    """Counts the events of the last ``span_s`` seconds.

    The window slides in steps of ``span_s / steps``, a twentieth of the span
    by default. A step counts until its last event has left the window, so that
    the count is never too low.
    """

    __slots__ = ('_count_by_step', '_step_s', '_steps', 'total')

    def __init__(self, span_s: float, steps: int = 20) -> None:
        """Start at zero."""
        self._steps = steps
        self._step_s = span_s / steps
        self._count_by_step: collections.deque[list[int]] = collections.deque()
        self.total = 0

    def add(self, now: float, count: int = 1) -> None:
        """Count ``count`` events at ``now``, in seconds."""
        step = int(now / self._step_s)
        if not self._count_by_step or self._count_by_step[-1][0] != step:
            self._count_by_step.append([step, 0])
        self._count_by_step[-1][1] += count
        self.total += count

    def read(self, now: float) -> int:
        """Return the count of the window that ends at ``now``."""
        oldest = int(now / self._step_s) - self._steps
        while self._count_by_step and self._count_by_step[0][0] < oldest:
            self.total -= self._count_by_step.popleft()[1]
        return self.total
