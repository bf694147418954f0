"""A log stream with a bounded buffer that never blocks."""

import asyncio
import collections
import os
import select

#: Size limit of the buffer, in bytes; about a thousand lines.
_MAX_BUFFERED_BYTES = 262144
#: Maximum bytes of one write. A pipe that polls as writable accepts this much
#: without blocking (PIPE_BUF on Linux).
_MAX_WRITE_BYTES = 4096
#: Delay before a flush, in seconds, so that one write carries many lines.
_FLUSH_INTERVAL_S = 0.1


class BoundedOutput:
    """Buffers lines and writes them when the file descriptor is writable.

    When the reader of the log stops reading, a blocking write would stop the
    whole process. Lines that do not fit the buffer are dropped and counted.
    """

    __slots__ = (
        '_descriptor',
        '_buffered_bytes',
        '_lines',
        '_poll',
        '_timer',
        'dropped',
    )

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor`` without changing its flags."""
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        #: Lines dropped since the start.
        self.dropped = 0

    def write(self, text: str) -> None:
        """Buffer one line, or drop it when the buffer is full."""
        line = text.encode()
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._schedule_flush()

    def flush(self) -> None:
        """Do nothing: a timer flushes the lines in batches."""

    def drain(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines and self._is_writable():
            chunk = self._next_chunk()
            written = os.write(self._descriptor, chunk)
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a running event loop a write delays no other task.
            self.drain()
            return
        self._timer = loop.call_later(_FLUSH_INTERVAL_S, self._flush_on_timer)

    def _flush_on_timer(self) -> None:
        self._timer = None
        self.drain()
        if self._lines:
            self._schedule_flush()

    def _next_chunk(self) -> bytes:
        chunk = self._lines.popleft()
        while self._lines:
            combined_bytes = len(chunk) + len(self._lines[0])
            if combined_bytes > _MAX_WRITE_BYTES:
                break
            chunk += self._lines.popleft()
        if len(chunk) > _MAX_WRITE_BYTES:
            self._lines.appendleft(chunk[_MAX_WRITE_BYTES:])
            chunk = chunk[:_MAX_WRITE_BYTES]
        return chunk

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))
