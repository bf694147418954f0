"""Shares the event loop among connections that have sent much."""

import asyncio
import collections
from typing import Protocol

#: The most that one read of a socket returns, in bytes.
_READ_BYTES = 16384
#: Turns in one iteration of the event loop.
_TURNS = 4


class Reader(Protocol):
    """A connection with bytes that are not parsed yet."""

    def take_turn(self) -> None:
        """Parse a bounded part of the bytes."""


class ReadTurns:
    """Lets connections parse in turn, and holds the buffer that they share.

    Guards against a loop that is busy with one crowd: parsing thousands of
    requests or tiny chunks at a time would delay all other connections.
    """

    __slots__ = ('_is_scheduled', '_waiting_readers', 'buffer')

    def __init__(self) -> None:
        """Start with no reader waiting."""
        self._waiting_readers: collections.deque[Reader] = collections.deque()
        self._is_scheduled = False
        #: Where sockets are read into; free again after each read.
        self.buffer = memoryview(bytearray(_READ_BYTES))

    def add(self, reader: Reader) -> None:
        """Give ``reader`` a turn after those that wait already."""
        self._waiting_readers.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        for _ in range(min(_TURNS, len(self._waiting_readers))):
            self._waiting_readers.popleft().take_turn()
        if self._waiting_readers:
            self._schedule()
