"""The memory of all replies that are being received."""

from typing import Protocol

_BYTES_PER_MB = 1048576
#: Part of the memory of the process that replies may use, 0 to 1.
_MEMORY_PART = 0.25
#: Replies of at most this size are not counted, in bytes.
UNCOUNTED_BYTES = 65536


class Receiver(Protocol):
    """A connection that receives a reply."""

    def drop_reply(self, reason: str) -> None:
        """Drop the reply in progress, which exceeds a limit."""


class ReplyBuffers:
    """Limits the total size of replies; the largest one is dropped first.

    Guards against searchers that send replies without end on many connections,
    each of which stays within the limit for one reply.
    """

    __slots__ = ('_limit_bytes', '_size_by_receiver', '_total_bytes')

    def __init__(self, memory_mb: float) -> None:
        """Use a part of ``memory_mb``, the memory of the process."""
        self._limit_bytes = _MEMORY_PART * memory_mb * _BYTES_PER_MB
        self._size_by_receiver: dict[Receiver, int] = {}
        self._total_bytes = 0

    def add(self, receiver: Receiver, size: int) -> None:
        """Count ``size`` more bytes of a reply."""
        known = self._size_by_receiver.get(receiver, 0)
        self._size_by_receiver[receiver] = known + size
        self._total_bytes += size
        if self._total_bytes > self._limit_bytes:
            largest = max(
                self._size_by_receiver, key=self._size_by_receiver.__getitem__
            )
            largest.drop_reply(
                'the replies in progress exceed the memory for them'
            )

    def release(self, receiver: Receiver) -> None:
        """Forget a reply that is complete or was dropped."""
        self._total_bytes -= self._size_by_receiver.pop(receiver, 0)
