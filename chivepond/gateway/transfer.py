"""Tracks the progress of one reply."""

import asyncio

from chivepond.decisions import transfer_time


class Transfer:
    """Counts the bytes of a reply; extends its time-out as they arrive."""

    __slots__ = ('_deadline', '_started_at', '_timeout', 'received_bytes')

    def __init__(self) -> None:
        """Start without bytes and without a time-out."""
        self._started_at: float | None = None
        self._deadline: float = 0
        self._timeout: asyncio.Timeout | None = None
        self.received_bytes = 0

    @property
    def took_s(self) -> float:
        """The seconds since the first byte; zero before it."""
        now = asyncio.get_running_loop().time()
        return 0 if self._started_at is None else now - self._started_at

    def extend(self, timeout: asyncio.Timeout) -> None:
        """Extend ``timeout`` each time that bytes arrive."""
        self._timeout = timeout
        self._deadline = timeout.when() or 0

    def add_received(self, size: int) -> None:
        """Count ``size`` more bytes and reschedule the time-out."""
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
        self.received_bytes += size
        if self._timeout is not None and not self._timeout.expired():
            new_deadline = transfer_time.wait_until(self._deadline, now)
            self._timeout.reschedule(new_deadline)
