"""Detects message counters of one sender that arrive twice."""

#: A message is refused when its counter is this far or further below the
#: highest counter received.
WIDTH = 4096


class ReplayWindow:
    """The highest counter received, and a bitmap of those just below it."""

    __slots__ = ('_bits', '_highest', 'received_at')

    def __init__(self) -> None:
        """Start with no counter received."""
        self._bits = 0
        self._highest = 0
        self.received_at: float = 0

    def accept(self, counter: int, now: float) -> bool:
        """Record ``counter``; return False if it is a repeat or too old.

        ``now`` is the time in seconds, stored in ``received_at``.
        """
        self.received_at = now
        ahead = counter - self._highest
        if ahead > 0:
            shifted_bits = self._bits << ahead if ahead < WIDTH else 0
            self._bits = (shifted_bits | 1) & ((1 << WIDTH) - 1)
            self._highest = counter
            return True
        bit = 1 << -ahead
        if -ahead >= WIDTH or self._bits & bit:
            return False
        self._bits |= bit
        return True
