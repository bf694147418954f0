"""Simulates a host's link of a few Mbit/s with relays on loopback."""

import asyncio
import contextlib
import functools
import types
from typing import Self

from chivepond.standins import connection_reset
from chivepond.transport import address

_CHUNK = 8192


class NarrowLink:
    """Limits the total rate of replies from several addresses."""

    __slots__ = ('_bytes_per_s', '_link_free_at', '_servers', '_writers')

    def __init__(self, bytes_per_s: float) -> None:
        """Limit bytes towards the host; bytes from it are not limited."""
        self._bytes_per_s = bytes_per_s
        self._link_free_at: float = 0
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Start without relays."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all relays, and reset their connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            connection_reset.reset(writer)

    async def to(self, target: address.Address) -> address.Address:
        """Start a relay to ``target`` over this link; return its address."""
        server = await asyncio.start_server(
            functools.partial(self._relay, target),
            '127.0.0.1',
            0,
        )
        self._servers.append(server)
        ip, port = server.sockets[0].getsockname()[:2]
        return address.Address(ip, port)

    async def _relay(
        self,
        target: address.Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_streams = await asyncio.open_connection(
            target.ip,
            target.port,
            limit=_CHUNK,
        )
        writers = {writer, target_streams[1]}
        self._writers |= writers
        request_task = asyncio.create_task(_copy(reader, target_streams[1]))
        reply_task = asyncio.create_task(
            self._copy_at_rate(target_streams[0], writer)
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(
                (request_task, reply_task), return_when=asyncio.FIRST_COMPLETED
            )
        self._writers -= writers
        for task in (request_task, reply_task):
            task.cancel()
        for open_writer in writers:
            connection_reset.reset(open_writer)

    async def _copy_at_rate(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK):
                start_at = max(loop.time(), self._link_free_at)
                self._link_free_at = start_at + len(chunk) / self._bytes_per_s
                await asyncio.sleep(self._link_free_at - loop.time())
                writer.write(chunk)
                await writer.drain()


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(_CHUNK):
            writer.write(chunk)
