"""An HTTP server whose socket is bound before the server starts."""

import asyncio
import contextlib
import math
import socket
import types
from collections.abc import Callable, Iterator
from typing import Self

import uvicorn
from starlette import types as asgi
from uvicorn.protocols.http import httptools_impl

from chivepond.transport import address

_BACKLOG = 1024
#: Longer than the idle time-out of clients, so that clients close first.
_KEEP_ALIVE_S = 75
_START_POLL_S = 0.005

CreateProtocol = Callable[..., asyncio.BaseProtocol]


class _SignalFreeServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the daemon does."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class Server:
    """Serves an application inside ``async with``; stops gracefully."""

    __slots__ = ('_grace_s', '_server', '_socket', '_task')

    def __init__(
        self,
        application: asgi.ASGIApp,
        listen: address.Address,
        grace_s: float = 10,
        protocol: CreateProtocol = httptools_impl.HttpToolsProtocol,
    ) -> None:
        """Bind the socket; serving starts on ``async with``.

        ``grace_s`` is how long requests in flight may take on a stop.
        ``protocol`` creates the protocol of each connection.
        """
        family = socket.AF_INET6 if ':' in listen.ip else socket.AF_INET
        # The event loop sets TCP_NODELAY only on sockets whose protocol is
        # TCP; without it each reply that takes several writes waits 40 ms
        # for an acknowledgement.
        self._socket = socket.socket(
            family,
            socket.SOCK_STREAM,
            socket.IPPROTO_TCP,
        )
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((listen.ip, listen.port))
        self._grace_s = grace_s
        self._server = _SignalFreeServer(
            uvicorn.Config(
                application,
                http=protocol,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                backlog=_BACKLOG,
                timeout_keep_alive=_KEEP_ALIVE_S,
                timeout_graceful_shutdown=max(1, int(grace_s)),
            ),
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> address.Address:
        """The bound address, with the port that the system assigned."""
        ip, port = self._socket.getsockname()[:2]
        return address.Address(ip=ip, port=port)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._server.server_state.connections)

    def allow(self, grace_s: float) -> None:
        """Raise the grace period of a stop to at least ``grace_s`` seconds."""
        config = self._server.config
        config.timeout_graceful_shutdown = max(
            config.timeout_graceful_shutdown or 1,
            math.ceil(grace_s),
        )

    async def __aenter__(self) -> Self:
        """Start serving."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket]),
        )
        while not self._server.started:
            await asyncio.sleep(_START_POLL_S)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop accepting, wait for requests in flight, then close."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        self._socket.close()

    def abort(self) -> None:
        """Abort all connections and stop listening, to simulate a crash."""
        self._server.force_exit = True
        self._server.should_exit = True
        for listener in self._server.servers:
            listener.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()

    def ignore_open_connections(self) -> None:
        """Ignore all further input on the connections open now.

        Simulates a device on the path that drops its connection state:
        neither end is notified, and new connections work.
        """
        for connection in list(self._server.server_state.connections):
            connection.transport.set_protocol(asyncio.Protocol())
            self._server.server_state.connections.discard(connection)
