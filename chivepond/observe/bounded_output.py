"""A stream for log lines that never blocks and holds a bounded amount."""

import asyncio
import collections
import os
import select

#: What is held at the most, in bytes; about a thousand lines.
_HELD_BYTES = 262144
#: A pipe that polls as writable takes as much at once without blocking; the
#: figure is POSIX's for Linux.
_PIECE_BYTES = 4096
#: Between two writes, in seconds: lines that come together cost one call.
_GATHER_S = 0.1


class BoundedOutput:
    """Writes whole lines to a file descriptor when it takes them.

    Guards against a reader of the log that stops reading: it shows as a
    process that answers nobody, held up in a write. Lines that find no room
    are dropped and counted instead.
    """

    __slots__ = ('_descriptor', '_held', '_lines', '_poll', '_timer', 'dropped')

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, whose flags stay as they are."""
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._held = 0
        self._timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        #: Lines dropped since the start.
        self.dropped = 0

    def write(self, text: str) -> None:
        """Take one line."""
        line = text.encode()
        if self._held + len(line) > _HELD_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._held += len(line)
        self._schedule()

    def flush(self) -> None:
        """Do nothing: lines go out a little later, together."""

    def drain(self) -> None:
        """Write what the descriptor takes now."""
        while self._lines and self._is_writable():
            piece = self._next_piece()
            written = os.write(self._descriptor, piece)
            self._held -= written
            if written < len(piece):
                self._lines.appendleft(piece[written:])

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs and after it, there is nobody to hold up.
            self.drain()
            return
        self._timer = loop.call_later(_GATHER_S, self._write_later)

    def _write_later(self) -> None:
        self._timer = None
        self.drain()
        if self._lines:
            self._schedule()

    def _next_piece(self) -> bytes:
        piece = self._lines.popleft()
        while self._lines:
            together = len(piece) + len(self._lines[0])
            if together > _PIECE_BYTES:
                break
            piece += self._lines.popleft()
        if len(piece) > _PIECE_BYTES:
            self._lines.appendleft(piece[_PIECE_BYTES:])
            piece = piece[:_PIECE_BYTES]
        return piece

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))
