"""A link to the store that can be cut: it falls silent in both directions."""

import asyncio

_CHUNK_BYTES = 65536


class CutLink:
    """Relays connections to ``target`` until ``is_cut`` is set."""

    def __init__(self, target):
        self._target = target
        self._passing = asyncio.Event()
        self._passing.set()
        self.address = ''

    async def start(self, ip):
        """Listen on a free port of ``ip``."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f'{ip}:{self._server.sockets[0].getsockname()[1]}'

    def cut(self):
        """Pass nothing on from now on; connections stay open."""
        self._passing.clear()

    async def _serve(self, reader, writer):
        ip, _, port = self._target.partition(':')
        try:
            await self._passing.wait()
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
            await asyncio.gather(
                self._copy(reader, target_writer),
                self._copy(target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _copy(self, reader, writer):
        while chunk := await reader.read(_CHUNK_BYTES):
            await self._passing.wait()
            writer.write(chunk)
        await self._passing.wait()
        writer.close()
