"""A TCP proxy on loopback that injects connection faults."""

import asyncio
import enum
import types
from typing import Self

from chivepond.standins import connection_reset
from chivepond.transport import address

_CHUNK = 65536
_DELAY_S = 0.15
_POLL_S = 0.02


class ProxyFault(enum.Enum):
    """Faults that a proxy applies to its connections."""

    NONE = 'none'
    #: Each chunk is delayed by ``_DELAY_S``, in both directions.
    DELAY = 'delay'
    #: Replies are held back; requests still reach the target.
    DEAF = 'deaf'
    #: Both directions are held back, and connections stay open.
    SILENT = 'silent'
    #: New and open connections are reset.
    RESET = 'reset'


class LoopbackProxy:
    """Relays connections from its own address to a target while entered."""

    __slots__ = (
        '_target',
        '_reset_on_write',
        '_server',
        '_silenced',
        '_tasks',
        '_writers',
        'fault',
    )

    def __init__(self, target: address.Address) -> None:
        """Relay to ``target``, without a fault at first."""
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._reset_on_write: set[asyncio.StreamWriter] = set()
        self.fault = ProxyFault.NONE

    async def __aenter__(self) -> Self:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop listening, and reset all connections."""
        self._server.close()
        self.reset_connections()
        for task in self._tasks:
            task.cancel()

    @property
    def address(self) -> address.Address:
        """The address that the proxy listens on."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return address.Address(ip, port)

    def apply_fault(self, fault: ProxyFault) -> None:
        """Replace the fault of the new and the open connections."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            self.reset_connections()

    def silence_open(self) -> None:
        """Block the open connections permanently, in both directions."""
        self._silenced.update(self._writers)

    def reset_on_use(self) -> None:
        """Make each open connection reset on the next bytes sent over it."""
        self._reset_on_write.update(self._writers)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            connection_reset.reset(writer)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            connection_reset.reset(writer)
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.fault is ProxyFault.RESET:
            connection_reset.reset(writer)
            return
        target_streams = await asyncio.open_connection(
            self._target.ip,
            self._target.port,
        )
        self._writers.add(target_streams[1])
        try:
            await asyncio.gather(
                self._copy(reader, target_streams[1], is_reply=False),
                self._copy(target_streams[0], writer, is_reply=True),
            )
        finally:
            self._writers.discard(target_streams[1])
            target_streams[1].close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        while chunk := await reader.read(_CHUNK):
            if writer in self._reset_on_write:
                raise ConnectionResetError
            while writer in self._silenced or self._is_blocked(
                is_reply=is_reply
            ):
                await asyncio.sleep(_POLL_S)
            if self.fault is ProxyFault.DELAY:
                await asyncio.sleep(_DELAY_S)
            writer.write(chunk)
        writer.close()

    def _is_blocked(self, *, is_reply: bool) -> bool:
        if self.fault is ProxyFault.SILENT:
            return True
        return is_reply and self.fault is ProxyFault.DEAF
