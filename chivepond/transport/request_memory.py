"""The memory of what all clients have sent and not yet read."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from chivepond.transport import freed_memory

_BYTES_PER_MB = 1048576
#: Connections that hold at most this much are not counted, in bytes.
UNCOUNTED_BYTES = 8192
#: Parts of the limit: freed memory is returned to the system when less than
#: the second is held after more than the first was.
_TRIM_AFTER = 0.25
_TRIM_BELOW = 0.0625


@dataclasses.dataclass(slots=True, frozen=True)
class Holding:
    """Bytes that a connection holds, and those that a refusal frees."""

    total: int
    freeable: int


_NOTHING = Holding(0, 0)


class Holder(Protocol):
    """A connection whose requests and responses use memory."""

    def refuse_for_memory(self) -> None:
        """Refuse what the client sends, and free its memory."""


class RequestMemory:
    """Limits the memory of all connections; refuses the largest one first.

    Guards against many clients that each stay within the limits of one
    request. A client with a small request is not refused, however many large
    ones there are.
    """

    __slots__ = (
        '_holding_by_holder',
        '_is_trim_due',
        '_limit_bytes',
        '_on_refusal',
        '_trim_after_bytes',
        '_trim_below_bytes',
        'total_bytes',
    )

    def __init__(
        self,
        memory_mb: float,
        share: float,
        on_refusal: Callable[[int], None] | None = None,
    ) -> None:
        """Use ``share`` (0 to 1) of ``memory_mb``, that of the process.

        ``on_refusal`` is called with the bytes that a refused client held.
        """
        self._on_refusal = on_refusal or _ignore
        self._limit_bytes = share * memory_mb * _BYTES_PER_MB
        self._trim_after_bytes = _TRIM_AFTER * self._limit_bytes
        self._trim_below_bytes = _TRIM_BELOW * self._limit_bytes
        #: Whether so much was held that freed memory is worth returning.
        self._is_trim_due = False
        self._holding_by_holder: dict[Holder, Holding] = {}
        self.total_bytes = 0

    def update(self, holder: Holder, holding: Holding) -> None:
        """Record what a connection holds now; refuse others if needed."""
        known = self._holding_by_holder.pop(holder, _NOTHING)
        self.total_bytes -= known.total
        if holding.total <= UNCOUNTED_BYTES:
            self._trim()
            return
        self._holding_by_holder[holder] = holding
        self.total_bytes += holding.total
        if self.total_bytes > self._trim_after_bytes:
            self._is_trim_due = True
        if holding.total > known.total:
            self._free()

    def release(self, holder: Holder) -> None:
        """Forget a connection that has closed."""
        self.update(holder, _NOTHING)

    def _trim(self) -> None:
        """Return memory to the system once most of what was held is free.

        The heap keeps freed pages otherwise, as small objects lie between.
        """
        if self._is_trim_due and self.total_bytes < self._trim_below_bytes:
            self._is_trim_due = False
            freed_memory.trim()

    def _free(self) -> None:
        while self.total_bytes > self._limit_bytes:
            largest = max(self._holding_by_holder, key=self._freeable_bytes)
            holding = self._holding_by_holder[largest]
            if holding.freeable <= UNCOUNTED_BYTES:
                return
            self._on_refusal(holding.freeable)
            largest.refuse_for_memory()
            # What is being served stays in use until its response is sent.
            served_bytes = holding.total - holding.freeable
            self.update(largest, Holding(served_bytes, 0))

    def _freeable_bytes(self, holder: Holder) -> int:
        return self._holding_by_holder[holder].freeable


def _ignore(held_bytes: int) -> None:
    """Report no refusal."""
