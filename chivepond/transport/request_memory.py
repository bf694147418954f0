"""The memory of what all clients have sent and not yet read."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

_BYTES_PER_MB = 1048576
#: Connections that hold at most this much are not counted, in bytes.
UNCOUNTED_BYTES = 8192


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
        '_limit_bytes',
        '_on_refusal',
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
        self._holding_by_holder: dict[Holder, Holding] = {}
        self.total_bytes = 0

    def update(self, holder: Holder, holding: Holding) -> None:
        """Record what a connection holds now; refuse others if needed."""
        known = self._holding_by_holder.pop(holder, _NOTHING)
        self.total_bytes -= known.total
        if holding.total <= UNCOUNTED_BYTES:
            return
        self._holding_by_holder[holder] = holding
        self.total_bytes += holding.total
        if holding.total > known.total:
            self._free()

    def release(self, holder: Holder) -> None:
        """Forget a connection that has closed."""
        self.update(holder, _NOTHING)

    def _free(self) -> None:
        while self.total_bytes > self._limit_bytes:
            largest = max(self._holding_by_holder, key=self._freeable_bytes)
            freeable_bytes = self._freeable_bytes(largest)
            if freeable_bytes <= UNCOUNTED_BYTES:
                return
            self._on_refusal(freeable_bytes)
            largest.refuse_for_memory()
            self.release(largest)

    def _freeable_bytes(self, holder: Holder) -> int:
        return self._holding_by_holder[holder].freeable


def _ignore(held_bytes: int) -> None:
    """Report no refusal."""
