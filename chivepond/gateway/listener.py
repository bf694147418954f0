"""Accepts client connections on one address."""

import asyncio
import socket
import types
from typing import Self

from chivepond.gateway import client_connection
from chivepond.transport import address, bounded_connection

_BACKLOG = 512


class Listener:
    """A listening socket and its open connections."""

    __slots__ = (
        '_bounds',
        '_connections',
        '_bind_address',
        '_server',
        '_service',
    )

    def __init__(
        self,
        bind_address: address.Address,
        service: client_connection.Service,
    ) -> None:
        """Prepare to listen on ``bind_address``; entering starts it."""
        self._bind_address = bind_address
        self._service = service
        self._bounds = bounded_connection.Bounds(
            service.memory, lambda: service.longest_idle_s
        )
        self._connections: set[client_connection.ClientConnection] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.get_running_loop().create_server(
            self._create_connection,
            self._bind_address.ip,
            self._bind_address.port,
            backlog=_BACKLOG,
            reuse_address=True,
            start_serving=False,
        )
        # Accepted connections inherit the size from the listening socket.
        self._server.sockets[0].setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            self._service.receive_buffer_bytes,
        )
        await self._server.start_serving()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop listening."""
        self.stop_listening()

    @property
    def address(self) -> address.Address:
        """The bound address, with the actual port if port 0 was requested."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return address.Address(ip=ip, port=port)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def requests_in_progress(self) -> int:
        """The number of connections on which a request is being served."""
        return sum(
            connection.current_task is not None
            for connection in self._connections
        )

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay."""
        self._server.close()

    def abort_all(self) -> None:
        """Reset all connections; use it only when the process ends."""
        for connection in list(self._connections):
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _create_connection(self) -> bounded_connection.BoundedConnection:
        connection = client_connection.ClientConnection(
            self._service,
            self._connections,
        )
        return bounded_connection.BoundedConnection(connection, self._bounds)
