"""Bounds what one connection of a client holds, and for how long."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from chivepond.transport import read_turns, request_memory

#: Bytes that are parsed at a time. The smallest requests are 18 bytes long, so
#: that a piece holds few of them.
_PIECE_BYTES = 512
#: Pieces that are parsed without a turn for other connections.
_PIECES_A_TURN = 8
#: How long a refused client may go on sending before its connection is reset,
#: in seconds. A close while it sends would reset the connection at once, and
#: the client might not get the refusal.
_LINGER_S = 1.0


@dataclasses.dataclass(slots=True)
class Bounds:
    """What the connections of one listener share."""

    memory: request_memory.RequestMemory
    #: Returns the time after which a client that reads nothing of a response
    #: is disconnected, in seconds.
    stall_timeout_s: Callable[[], float]
    turns: read_turns.ReadTurns = dataclasses.field(
        default_factory=read_turns.ReadTurns
    )


class RequestParser(Protocol):
    """A protocol that parses requests and writes responses."""

    def attach(self, connection: 'BoundedConnection') -> None:
        """Take the connection; called before ``connection_made``."""

    def holding(self) -> request_memory.Holding:
        """Return what the requests hold that have been parsed."""

    def refuse_for_memory(self) -> None:
        """Refuse the requests that are not being served."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See ``asyncio.Protocol``."""

    def connection_lost(self, error: Exception | None) -> None:
        """See ``asyncio.Protocol``."""

    def data_received(self, piece: bytes) -> None:
        """See ``asyncio.Protocol``."""

    def pause_writing(self) -> None:
        """See ``asyncio.Protocol``."""

    def resume_writing(self) -> None:
        """See ``asyncio.Protocol``."""


class BoundedConnection(asyncio.BufferedProtocol):
    """Passes received bytes on in pieces, as the parser takes them.

    No more is read from the socket while bytes wait here.
    """

    __slots__ = (
        '_backlog',
        '_bounds',
        '_is_finished',
        '_is_in_line',
        '_is_parsing',
        '_is_paused',
        '_is_socket_held',
        '_loop',
        '_offset',
        '_parser',
        '_stall_timer',
        '_transport',
        '_unsent_bytes',
        'read_at',
    )

    def __init__(self, parser: RequestParser, bounds: Bounds) -> None:
        """Pass what is received to ``parser``."""
        self._parser = parser
        self._bounds = bounds
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._backlog = b''
        self._offset = 0
        self._is_paused = False
        self._is_socket_held = False
        self._is_parsing = False
        self._is_in_line = False
        self._is_finished = False
        self._unsent_bytes = 0
        self._stall_timer: asyncio.TimerHandle | None = None
        #: When bytes were last read, in seconds on the monotonic clock.
        self.read_at = self._loop.time()
        parser.attach(self)

    @property
    def is_held_back(self) -> bool:
        """Whether bytes of the client wait here or in the socket."""
        return self._is_paused or self.has_backlog

    @property
    def has_backlog(self) -> bool:
        """Whether received bytes wait here."""
        return self._offset < len(self._backlog)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have responses reported that the client does not read."""
        self._transport = transport
        transport.set_write_buffer_limits(high=request_memory.UNCOUNTED_BYTES)
        self._parser.connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Free what the connection holds."""
        self._drop_backlog()
        self._stop_stall_timer()
        self._bounds.memory.release(self)
        self._parser.connection_lost(error)

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._bounds.turns.buffer

    def buffer_updated(self, size: int) -> None:
        """Parse the first pieces of what was read."""
        if self._is_finished:
            return
        self.read_at = self._loop.time()
        received = bytes(self._bounds.turns.buffer[:size])
        self._backlog = self._backlog[self._offset :] + received
        self._offset = 0
        self._parse()

    def take_turn(self) -> None:
        """Parse further pieces of what was read."""
        self._is_in_line = False
        self._parse()

    def pause_reading(self) -> None:
        """Pass nothing on until ``resume_reading``."""
        self._is_paused = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Pass on what waits, then read on."""
        self._is_paused = False
        self._update_reading()

    def pause_writing(self) -> None:
        """Disconnect the client if it does not read on in time."""
        self._unsent_bytes = self._transport.get_write_buffer_size()
        self._start_stall_timer()
        self._parser.pause_writing()
        self.update_holding()

    def resume_writing(self) -> None:
        """Continue after the client has read all."""
        self._unsent_bytes = 0
        self._stop_stall_timer()
        self._parser.resume_writing()
        self.update_holding()

    def refuse_for_memory(self) -> None:
        """Refuse the client, which holds more than all others."""
        if self._unsent_bytes:
            self._transport.abort()
            return
        self._drop_backlog()
        self._parser.refuse_for_memory()

    def close(self) -> None:
        """Close once the client has read the last response."""
        self._transport.close()
        self._unsent_bytes = self._transport.get_write_buffer_size()
        if self._unsent_bytes:
            self._start_stall_timer()

    def finish(self) -> None:
        """Close after the last response; ignore what the client still sends."""
        self._is_finished = True
        self._drop_backlog()
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self._hold_socket(is_held=False)
        self._loop.call_later(_LINGER_S, self.close)

    def update_holding(self) -> None:
        """Report what the connection holds."""
        parsed = self._parser.holding()
        own_bytes = len(self._backlog) + self._unsent_bytes
        self._bounds.memory.update(
            self,
            request_memory.Holding(
                parsed.total + own_bytes, parsed.freeable + own_bytes
            ),
        )

    @property
    def _is_open(self) -> bool:
        return not (self._is_finished or self._transport.is_closing())

    def _parse(self) -> None:
        self._is_parsing = True
        for _ in range(_PIECES_A_TURN):
            if self._is_paused or not self.has_backlog or not self._is_open:
                break
            start = self._offset
            self._offset += _PIECE_BYTES
            self._parser.data_received(self._backlog[start : self._offset])
        self._is_parsing = False
        if not self.has_backlog:
            self._drop_backlog()
        self.update_holding()
        self._update_reading()

    def _update_reading(self) -> None:
        """Read on, wait for a turn, or wait for the parser."""
        if self._is_parsing or not self._is_open:
            return
        self._hold_socket(is_held=self._is_paused or self.has_backlog)
        if self.has_backlog and not (self._is_paused or self._is_in_line):
            self._is_in_line = True
            self._bounds.turns.add(self)

    def _hold_socket(self, *, is_held: bool) -> None:
        if is_held == self._is_socket_held:
            return
        self._is_socket_held = is_held
        if is_held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _drop_backlog(self) -> None:
        self._backlog = b''
        self._offset = 0

    def _start_stall_timer(self) -> None:
        self._stop_stall_timer()
        self._stall_timer = self._loop.call_later(
            self._bounds.stall_timeout_s(), self._on_stall
        )

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _on_stall(self) -> None:
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes >= self._unsent_bytes:
            self._transport.abort()
            return
        self._unsent_bytes = unsent_bytes
        self._start_stall_timer()
