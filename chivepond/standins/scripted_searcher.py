"""A stand-in for a searcher whose replies are scripted by a test."""

import asyncio
import dataclasses
import types
from collections.abc import Awaitable, Callable
from typing import Self

from chivepond.platform import headers
from chivepond.standins import connection_reset
from chivepond.transport import address

_HEAD_END = b'\r\n\r\n'
#: Size, pauses and largest number of the blocks of an endless reply.
_BLOCK_BYTES = 65536
_BLOCK_PAUSE_S = 0.01
_MAX_BLOCKS = 500


@dataclasses.dataclass(slots=True)
class Got:
    """A request as received; header names are in lower case."""

    line: bytes
    value_by_name: dict[bytes, bytes]
    body: bytes

    @property
    def request_id(self) -> bytes:
        """The request identifier from the headers; empty when missing."""
        return self.value_by_name.get(headers.REQUEST_ID, b'')


@dataclasses.dataclass(slots=True)
class Told:
    """Bytes to write, and what to do with the connection afterwards."""

    written: bytes
    #: ``keep`` or ``close`` the connection, ``reset`` it, or ``crash``, which
    #: stops the whole searcher; ``endless`` repeats ``repeated`` until the
    #: other side closes.
    then: str = 'keep'
    repeated: bytes = b''


Reply = Callable[[Got], Awaitable[Told]]


def good(request: Got, body: bytes, signature: str = 'sig') -> Told:
    """Return a complete reply with status 200."""
    return Told(
        b'HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s'
        % (
            headers.REQUEST_ID,
            request.request_id,
            headers.SIGNATURE,
            signature.encode(),
            len(body),
            body,
        ),
    )


def not_run(status: int) -> Told:
    """Return a reply that marks the request as not run."""
    return Told(
        b'HTTP/1.1 %d No\r\n%s: 1\r\nContent-Length: 0\r\n\r\n'
        % (status, headers.NOT_RUN),
    )


class ScriptedSearcher:
    """Listens while it is entered, and records all requests in ``got``."""

    __slots__ = ('_server', '_writers', 'got', 'reply')

    def __init__(self, reply: Reply) -> None:
        """Reply to each request with the result of ``reply``."""
        self.reply = reply
        self.got: list[Got] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop listening, and reset all connections."""
        self.stop()

    @property
    def address(self) -> address.Address:
        """The address that the searcher listens on."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return address.Address(ip, port)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._writers)

    def stop(self) -> None:
        """Simulate a crash: stop listening, and reset open connections."""
        self._server.close()
        for writer in list(self._writers):
            connection_reset.reset(writer)

    def push(self, written: bytes) -> None:
        """Write unsolicited bytes to all open connections."""
        for writer in self._writers:
            writer.write(written)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request = await _read_request(reader)
        self.got.append(request)
        response = await self.reply(request)
        writer.write(response.written)
        if response.then == 'reset':
            await writer.drain()
            connection_reset.reset(writer)
        if response.then == 'crash':
            self.stop()
        if response.then == 'close':
            writer.close()
        if response.then == 'endless':
            await _write_endlessly(writer, response.repeated)
        return response.then == 'keep'


async def _write_endlessly(
    writer: asyncio.StreamWriter, repeated: bytes
) -> None:
    block = repeated * max(1, _BLOCK_BYTES // len(repeated))
    for _ in range(_MAX_BLOCKS):
        writer.write(block)
        await writer.drain()
        await asyncio.sleep(_BLOCK_PAUSE_S)
    writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Got:
    head = await reader.readuntil(_HEAD_END)
    line, *fields = head.removesuffix(_HEAD_END).split(b'\r\n')
    pairs = (field.partition(b':') for field in fields)
    value_by_name = {name.lower(): text.strip() for name, _, text in pairs}
    body_length = int(value_by_name.get(b'content-length', b'0'))
    return Got(line, value_by_name, await reader.readexactly(body_length))
