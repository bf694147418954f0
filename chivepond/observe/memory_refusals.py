"""Counts the clients that were refused for memory, and logs them."""

import time

from chivepond.observe import events, journal

_LOG_EVERY_S = 1


class MemoryRefusals:
    """Logs at most one line a second, to bound the log."""

    __slots__ = ('_logged_at', 'count')

    def __init__(self) -> None:
        """Start without any refusal."""
        self._logged_at: float = 0
        self.count = 0

    def add(self, held_bytes: int) -> None:
        """Count a client that held ``held_bytes``."""
        self.count += 1
        now = time.monotonic()
        if now - self._logged_at >= _LOG_EVERY_S:
            self._logged_at = now
            journal.log(
                events.NODE_REFUSED_FOR_MEMORY,
                held_bytes=held_bytes,
                refused=self.count,
            )
