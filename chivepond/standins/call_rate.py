"""Counts calls per second, to limit their rate."""


class CallRate:
    """Counts the calls within the current whole second of a clock."""

    __slots__ = ('_call_count', '_current_second')

    def __init__(self) -> None:
        """Start with a count of zero."""
        self._current_second = 0
        self._call_count = 0

    def count_call(self, now: float, limit: int) -> bool:
        """Count a call at ``now`` seconds; tell whether it exceeds ``limit``.

        ``limit`` is in calls per second; zero means no limit.
        """
        second = int(now)
        if second != self._current_second:
            self._current_second = second
            self._call_count = 0
        self._call_count += 1
        return 0 < limit < self._call_count
