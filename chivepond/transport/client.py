"""An HTTP client for one address, with its own bounded pool."""

import asyncio
import types
from collections.abc import AsyncIterator
from http import cookies
from typing import Self

import aiosonic
import result
from aiosonic import connectors, exceptions, pools, timeout

from chivepond.errors import not_connected, unreachable
from chivepond.transport import (
    address,
    checked_connection,
    number_resolver,
    reply,
)

_FAILURES = (
    exceptions.AiosonicError,
    ConnectionError,
    OSError,
    EOFError,
    ValueError,
    cookies.CookieError,
)
_NOT_CONNECTED = (ConnectionRefusedError, exceptions.ConnectTimeout)
_OK = 200
_CONNECT_S = 2
_IDLE_MS = 60000


_LinesResult = result.Result[list[bytes], unreachable.Unreachable]


class Client:
    """Sends requests to one address; drops connections that timed out.

    The library keys its pools by host without the port, so each address has
    its own client and thereby its own pool. Only POST and GET are sent: when
    a reused connection drops, the library retries PUT and DELETE by itself,
    but not POST.
    """

    __slots__ = ('_base', '_client', '_connector', '_headers', 'target')

    def __init__(self, target: address.Address, connections: int) -> None:
        """Open at most ``connections`` connections to ``target``."""
        self.target = target
        self._base = f'http://{target}'
        self._headers = {'content-type': 'application/json'}
        self._connector = connectors.TCPConnector(
            pool_configs={
                ':default': pools.PoolConfig(
                    size=connections,
                    max_conn_idle_ms=_IDLE_MS,
                    # The pool never resets its request count: once past
                    # a limit, each exchange opens a new connection.
                    max_conn_requests=None,
                ),
            },
            timeouts=timeout.Timeouts(
                sock_connect=_CONNECT_S,
                sock_read=None,
                pool_acquire=None,
                request_timeout=None,
            ),
            connection_cls=checked_connection.CheckedConnection,
            resolver=number_resolver.NumberResolver(),
        )
        self._client = aiosonic.HTTPClient(connector=self._connector)

    async def __aenter__(self) -> Self:
        """Return the client; connections are opened on demand."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def post(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> result.Result[reply.Reply, unreachable.Unreachable]:
        """Send one POST without retries and return the whole reply."""
        return await self._exchange('POST', path, body, timeout_s, headers)

    async def post_fresh(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> result.Result[reply.Reply, unreachable.Unreachable]:
        """Send one POST without retries on a new connection.

        A pooled connection may just have been closed or lost by the server;
        a failure on it leaves open whether the request was accepted. The new
        connection takes the place of a pooled one, so the limit on
        connections still holds.
        """
        token = checked_connection.needs_fresh.set(True)
        try:
            return await self.post(path, body, timeout_s)
        finally:
            checked_connection.needs_fresh.reset(token)

    async def get(
        self,
        path: str,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> result.Result[reply.Reply, unreachable.Unreachable]:
        """Send one GET, which the library may retry; return the reply."""
        return await self._exchange('GET', path, b'', timeout_s, headers)

    async def lines(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> AsyncIterator[result.Result[bytes, unreachable.Unreachable]]:
        """Send one POST and yield the lines of its reply as they arrive.

        After an error nothing more is yielded.
        """
        async for group in self.line_groups(path, body, timeout_s):
            if group.is_err():
                yield group
                return
            for line in group.unwrap():
                yield result.Ok(line)

    async def line_groups(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> AsyncIterator[_LinesResult]:
        """Send one POST and yield the lines of each chunk of its reply.

        After an error nothing more is yielded.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async for lines in self._stream(path, body):
                    yield result.Ok(lines)
        except TimeoutError:
            await self.distrust_idle()
            yield result.Err(
                self._failed(path, 'timed out before the whole reply')
            )
        except _FAILURES as error:
            yield result.Err(self._failed(path, _describe(error)))

    async def distrust_idle(self) -> None:
        """Close idle connections now, and busy ones on release.

        When a device on the path, such as a firewall, drops its connection
        state, exchanges on existing connections time out while new ones
        work. The other pooled connections are then likely lost as well, so
        the next exchange opens a new one.
        """
        for pool in self._connector.pools.values():
            await pool.cleanup()

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None,
    ) -> result.Result[reply.Reply, unreachable.Unreachable]:
        try:
            async with asyncio.timeout(timeout_s):
                return result.Ok(
                    await self._send(method, path, body, headers),
                )
        except _NOT_CONNECTED as connect_error:
            return result.Err(
                self._not_connected(path, _describe(connect_error))
            )
        except TimeoutError:
            await self.distrust_idle()
            return result.Err(
                self._failed(path, 'timed out before the whole reply')
            )
        except _FAILURES as error:
            return result.Err(self._failed(path, _describe(error)))

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> reply.Reply:
        response = await self._client.request(
            url=self._base + path,
            method=method,
            headers=self._headers | headers if headers else self._headers,
            data=body,
        )
        if not response.chunked:
            return reply.Reply(response.status_code, await response.content())
        # The library joins chunks in quadratic time.
        chunks = [chunk async for chunk in response.read_chunks()]
        return reply.Reply(response.status_code, b''.join(chunks))

    async def _stream(
        self,
        path: str,
        body: bytes,
    ) -> AsyncIterator[list[bytes]]:
        async with self._client.stream(
            'POST',
            self._base + path,
            headers=self._headers,
            data=body,
        ) as response:
            if response.status_code != _OK:
                raise exceptions.HttpParsingError(
                    f'status {response.status_code} in place of lines'
                )
            partial_line = b''
            async for chunk in response.read_chunks():
                *lines, partial_line = (partial_line + chunk).split(b'\n')
                if lines:
                    yield lines
            if partial_line:
                yield [partial_line]

    def _not_connected(
        self,
        path: str,
        reason: str,
    ) -> not_connected.NotConnected:
        """Return the error for a request that was not sent at all.

        Only a connect attempt is refused or times out in this way; a
        connection that is open fails with other errors.
        """
        return not_connected.NotConnected(
            message=f'{self._base}{path}: {reason}',
            remedy='check that the process runs and is reachable',
        )

    def _failed(self, path: str, reason: str) -> unreachable.Unreachable:
        return unreachable.Unreachable(
            message=f'{self._base}{path}: {reason}',
            remedy='check that the process runs and is reachable',
        )


def _describe(error: BaseException) -> str:
    return f'{type(error).__name__} {error}'.strip()
