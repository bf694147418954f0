"""HTTP client of the platform's store, with one persistent connection."""

import asyncio

from chivepond.gateway import closeable, http_connection, outcome, transfer
from chivepond.platform import headers
from chivepond.transport import address

#: Timeout of a connection attempt, in seconds.
_CONNECT_TIMEOUT_S = 0.7


class StoreClient(closeable.Closeable):
    """Makes calls over one connection; reconnects after a failed call.

    A call that times out closes the connection too: a peer that vanished
    without a reset gives no reply, and each later call on the same connection
    would time out as well. A reply that has begun extends the timeout.
    """

    __slots__ = ('_connection', '_host', '_address')

    def __init__(self, store_address: address.Address) -> None:
        """Connect to ``store_address`` at the first call."""
        self._address = store_address
        self._host = str(store_address).encode()
        self._connection: http_connection.HttpConnection | None = None

    def close(self) -> None:
        """Close the connection."""
        self._disconnect()

    async def get(self, path: str, timeout_s: float) -> outcome.Outcome:
        """Read ``path``."""
        return await self._call(b'GET', path, b'', timeout_s)

    async def post(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> outcome.Outcome:
        """Create an object."""
        return await self._call(b'POST', path, body, timeout_s)

    async def put(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> outcome.Outcome:
        """Replace an object."""
        return await self._call(b'PUT', path, body, timeout_s)

    async def delete(self, path: str, timeout_s: float) -> outcome.Outcome:
        """Remove an object."""
        return await self._call(b'DELETE', path, b'', timeout_s)

    async def _call(
        self,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> outcome.Outcome:
        message = (
            b'%s %s HTTP/1.1\r\nHost: %s\r\n'
            b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s'
        ) % (method, path.encode(), self._host, len(body), body)
        progress = transfer.Transfer()
        try:
            async with asyncio.timeout(timeout_s) as call_timeout:
                progress.extend(call_timeout)
                call_outcome = await self._exchange(message, progress)
        except TimeoutError:
            call_outcome = outcome.Broken(
                'no reply in time', progress.received_bytes
            )
        except asyncio.CancelledError:
            self._disconnect()
            raise
        match call_outcome:
            case outcome.Reply():
                return call_outcome
            case _:
                self._disconnect()
                return call_outcome

    async def _exchange(
        self,
        message: bytes,
        progress: transfer.Transfer,
    ) -> outcome.Outcome:
        if self._connection is None or not self._connection.is_open:
            self._disconnect()
            if not await self._connect():
                return outcome.NotSent('no connection')
        return await self._connection.begin(
            message,
            b'',
            progress=progress,
        )

    async def _connect(self) -> bool:
        connection = http_connection.HttpConnection(
            headers.REQUEST_ID,
            _ignore_close,
        )
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection,
                    self._address.ip,
                    self._address.port,
                )
        except OSError:
            return False
        self._connection = connection
        return True

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


def _ignore_close(closed: http_connection.HttpConnection) -> None:
    """Do nothing: the next call checks whether the connection is open."""
