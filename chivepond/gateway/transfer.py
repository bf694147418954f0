"""A reply on its way: how much of it has come, and since when."""

import asyncio


class Transfer:
    """Follows the bytes of one reply."""

    __slots__ = ('_began_at', 'received_bytes')

    def __init__(self) -> None:
        """Start before the first byte."""
        self._began_at: float | None = None
        self.received_bytes = 0

    @property
    def took_s(self) -> float:
        """Return the time since the first byte, in seconds."""
        now = asyncio.get_running_loop().time()
        return 0 if self._began_at is None else now - self._began_at

    def take(self, size: int) -> None:
        """Take that ``size`` more bytes have come."""
        if self._began_at is None:
            self._began_at = asyncio.get_running_loop().time()
        self.received_bytes += size
