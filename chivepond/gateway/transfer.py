"""A reply on its way: how much of it has come, and since when."""

import asyncio

from chivepond.decisions import transfer_time


class Transfer:
    """Follows the bytes of one reply, and extends its time while they come."""

    __slots__ = ('_began_at', '_deadline', '_limit', 'received_bytes')

    def __init__(self) -> None:
        """Start before the first byte, and extend nothing."""
        self._began_at: float | None = None
        self._deadline: float = 0
        self._limit: asyncio.Timeout | None = None
        self.received_bytes = 0

    @property
    def took_s(self) -> float:
        """Return the time since the first byte, in seconds."""
        now = asyncio.get_running_loop().time()
        return 0 if self._began_at is None else now - self._began_at

    def extend(self, limit: asyncio.Timeout) -> None:
        """Move ``limit`` on while the reply comes."""
        self._limit = limit
        self._deadline = limit.when() or 0

    def take(self, size: int) -> None:
        """Take that ``size`` more bytes have come."""
        now = asyncio.get_running_loop().time()
        if self._began_at is None:
            self._began_at = now
        self.received_bytes += size
        if self._limit is not None and not self._limit.expired():
            until = transfer_time.wait_until(self._deadline, now)
            self._limit.reschedule(until)
