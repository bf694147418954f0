"""How many calls came within the second that runs."""


class CallRate:
    """Counts calls by whole seconds of the clock passed in."""

    __slots__ = ('_calls', '_second')

    def __init__(self) -> None:
        """Start with no calls."""
        self._second = 0
        self._calls = 0

    def is_over(self, now: float, limit: int) -> bool:
        """Count a call at ``now`` seconds; tell whether it passes ``limit``.

        A limit of zero is none.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._calls = 0
        self._calls += 1
        return 0 < limit < self._calls
