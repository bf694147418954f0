"""Measures how long this process stalled."""

import math


class StallMeter:
    """Adds up the delays of callbacks; times are seconds of the loop's clock.

    A process stalls when its host is paused or overloaded, or when its event
    loop is blocked. It reads no replies in that time.
    """

    __slots__ = ('_recorded_until', 'due_at', 'total_s')

    def __init__(self, now: float) -> None:
        """Start without a stall."""
        self._recorded_until = now
        #: When the next callback is due; infinite if none is pending.
        self.due_at = math.inf
        #: Seconds of all stalls so far.
        self.total_s: float = 0

    def update(self, now: float) -> None:
        """Record how late the next callback is at ``now``."""
        stall_s = now - max(self.due_at, self._recorded_until)
        if stall_s > 0:
            self._recorded_until = now
            self.total_s += stall_s
