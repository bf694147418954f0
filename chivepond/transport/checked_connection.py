"""A connection that reads valid replies only, each of them to its end."""

import asyncio
import contextvars
from urllib import parse as url_parse

from aiosonic import connection, exceptions, pools

from chivepond.transport import reply_framing

#: True while an exchange must open a new connection.
needs_fresh = contextvars.ContextVar('needs_fresh', default=False)


class CheckedConnection(connection.Connection):
    """Closes on release unless the current reply was read to its end.

    Works around a fault of the HTTP library: when a request on a reused
    connection times out or is cancelled, the connection returns to the pool
    with ``keep`` still set, and the next request reads the reply to the
    previous one.
    Clearing ``keep`` at checkout makes the release close the connection;
    the library sets it again when it has read the head of the reply.

    Raises ``HttpParsingError`` for a reply that is not valid or has no end.
    """

    def __init__(self, pool: pools.BasePool) -> None:
        """Start without a reply."""
        super().__init__(pool)
        self._framing = reply_framing.ReplyFraming()

    def reuse(self, urlparsed: url_parse.ParseResult, verify: bool) -> bool:
        """Return whether the open connection can be reused; clear ``keep``."""
        self.keep = False
        if needs_fresh.get():
            return False
        return super().reuse(urlparsed, verify)

    async def readuntil(self, separator: bytes = b'\n') -> bytes:
        """Read the status line, with which a reply begins."""
        self._framing = reply_framing.ReplyFraming()
        try:
            line = await super().readuntil(separator)
        except asyncio.LimitOverrunError as error:
            raise exceptions.HttpParsingError(str(error)) from error
        _raise_fault(self._framing.add_line(line))
        return line

    async def readline(self) -> bytes:
        """Read a line of the head, a chunk size, or the whole trailer."""
        is_trailer = self._framing.is_in_trailer
        line = b''
        while not line or (is_trailer and line.strip()):
            line = await super().readline()
            _raise_fault(self._framing.add_line(line))
        return line

    async def readexactly(self, size: int) -> bytes:
        """Read a whole body, or a chunk with its line end."""
        _raise_fault(self._framing.expect_body(size))
        part = await super().readexactly(size)
        _raise_fault(self._framing.add_body(part))
        return part


def _raise_fault(fault: str) -> None:
    if fault:
        raise exceptions.HttpParsingError(fault)
