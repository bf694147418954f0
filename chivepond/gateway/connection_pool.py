"""A pool of keep-alive HTTP connections to one remote end."""

import asyncio
import collections
import re

from chivepond.gateway import (
    health_log,
    http_connection,
    outcome,
    peer_endpoint,
    stall_timeout,
)
from chivepond.platform import headers

#: Seconds before the searcher's own idle time-out at which an idle connection
#: is no longer used, so that no request is sent while the searcher closes it.
_IDLE_MARGIN_S = 1.0
#: Weight of a new exchange in the average duration.
_DURATION_WEIGHT = 0.2
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d+)')


class ConnectionPool:
    """Hands out connections, each to one exchange at a time."""

    __slots__ = (
        '_exchange_s',
        '_health_log',
        '_idle_connections',
        '_max_connections',
        '_max_idle_s',
        '_open_connections',
        '_remote_end',
        '_waiters',
    )

    def __init__(
        self,
        remote_end: peer_endpoint.PeerEndpoint,
        max_connections: int,
        end_health_log: health_log.HealthLog,
    ) -> None:
        """Open connections on demand, at most ``max_connections`` of them."""
        self._remote_end = remote_end
        self._max_connections = max_connections
        self._health_log = end_health_log
        self._idle_connections: list[http_connection.HttpConnection] = []
        self._max_idle_s = remote_end.idle_s
        self._open_connections: set[http_connection.HttpConnection] = set()
        #: Futures whose result tells whether a connection may be free.
        self._waiters: collections.deque[asyncio.Future[bool]] = (
            collections.deque()
        )
        #: Average duration of an exchange, in seconds.
        self._exchange_s: float = 0

    @property
    def connections(self) -> int:
        """The number of open connections, those being opened included."""
        return len(self._open_connections)

    @property
    def is_warm(self) -> bool:
        """Whether an idle connection is open."""
        return any(connection.is_open for connection in self._idle_connections)

    @property
    def is_closed(self) -> bool:
        """Whether the pool is closed or its limit is zero."""
        return not self._max_connections

    def limit(self, max_connections: int) -> None:
        """Set the limit, and close idle connections beyond it, oldest first."""
        if max_connections == self._max_connections:
            return
        self._max_connections = max_connections
        while (
            self._idle_connections
            and len(self._open_connections) > max_connections
        ):
            surplus = self._idle_connections.pop(0)
            self._open_connections.discard(surplus)
            surplus.close()
        self._wake_waiter()

    def close(self) -> None:
        """Close idle connections; each busy one closes when it is released.

        Ends the wait of all that wait for a connection.
        """
        self._max_connections = 0
        self.drop_idle()
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(False)
        self._waiters.clear()

    async def acquire(
        self,
        max_idle_s: float,
        avoided_id: bytes = b'',
    ) -> http_connection.HttpConnection | None:
        """Return a connection, waiting for one while the pool is exhausted.

        Reuses a connection that was idle for less than ``max_idle_s`` seconds
        and whose last request did not have the identifier ``avoided_id``, or
        opens one. Returns ``None`` when the connect fails or times out, when
        the pool is closed, or when ``reject_waiters`` ended the wait.
        """
        max_idle_s = min(max_idle_s, self._max_idle_s)
        while True:
            idle_connection = self._pop_idle(max_idle_s, avoided_id)
            if idle_connection is not None:
                return idle_connection
            if len(self._open_connections) < self._max_connections:
                return await self._connect_unless_closed()
            if not self._max_connections:
                return None
            if not await self._wait_for_release():
                return None

    def record_exchange(self, duration_s: float) -> None:
        """Record for how long an exchange used its connection."""
        if not self._exchange_s:
            self._exchange_s = duration_s
        self._exchange_s += _DURATION_WEIGHT * (duration_s - self._exchange_s)

    def reject_waiters(self, left_s: float) -> None:
        """End the wait of those that can't have a reply within ``left_s``.

        Each connection carries one exchange at a time, so that a waiter gets
        one after as many exchanges as there are others before it.
        """
        waiters = [waiter for waiter in self._waiters if not waiter.done()]
        for position, waiter in enumerate(waiters):
            exchanges = 1 + position // max(1, self._max_connections)
            if exchanges * self._exchange_s > left_s:
                waiter.set_result(False)

    async def is_reachable(self) -> bool:
        """Tell whether the remote end accepts connections.

        Connects unless a connection is open; returns true for a closed pool.
        """
        if self.is_closed or any(
            open_connection.is_connected
            for open_connection in self._open_connections
        ):
            return True
        connection = await self._connect()
        if connection is None:
            return False
        self._idle_connections.append(connection)
        self._wake_waiter()
        return True

    def release(
        self,
        connection: http_connection.HttpConnection,
        exchange_outcome: outcome.Outcome,
    ) -> None:
        """Return a connection to the pool, or close it if it is unusable."""
        match exchange_outcome:
            case outcome.Reply(headers=response_headers):
                self._learn_idle(response_headers.get(b'keep-alive'))
        is_surplus = len(self._open_connections) > self._max_connections
        if connection.is_open and not is_surplus:
            self._idle_connections.append(connection)
        else:
            self._open_connections.discard(connection)
            connection.close()
        self._wake_waiter()

    def drop_idle(self) -> None:
        """Close the idle connections.

        Guards against connections that stopped carrying data without a reset:
        one request without a reply is a sign that the others are dead as well.
        """
        for connection in list(self._idle_connections):
            connection.close()

    def _pop_idle(
        self,
        max_idle_s: float,
        avoided_id: bytes,
    ) -> http_connection.HttpConnection | None:
        earliest_idle_since = asyncio.get_running_loop().time() - max_idle_s
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if (
                connection.is_open
                and connection.idle_since > earliest_idle_since
                and not connection.may_confuse(avoided_id)
            ):
                return connection
            connection.close()
        return None

    async def _connect_unless_closed(
        self,
    ) -> http_connection.HttpConnection | None:
        connection = await self._connect()
        if connection is not None and self.is_closed:
            connection.close()
            return None
        return connection

    async def _connect(self) -> http_connection.HttpConnection | None:
        connection = http_connection.HttpConnection(
            headers.REQUEST_ID,
            self._on_connection_closed,
            self._remote_end.buffers,
        )
        self._open_connections.add(connection)
        remote = self._remote_end.address
        loop = asyncio.get_running_loop()
        try:
            async with stall_timeout.StallTimeout(
                loop.time() + self._remote_end.connect_s
            ):
                await loop.create_connection(
                    lambda: connection,
                    remote.ip,
                    remote.port,
                )
        except OSError:
            # TimeoutError is a subclass of OSError.
            self._on_connection_closed(connection)
            return None
        except asyncio.CancelledError:
            self._on_connection_closed(connection)
            raise
        return connection

    def _learn_idle(self, keep_alive: bytes | None) -> None:
        timeout_match = _KEEP_ALIVE_TIMEOUT.search(keep_alive or b'')
        if timeout_match:
            self._max_idle_s = max(0, int(timeout_match[1]) - _IDLE_MARGIN_S)

    def _on_connection_closed(
        self, connection: http_connection.HttpConnection
    ) -> None:
        self._open_connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        self._wake_waiter()

    async def _wait_for_release(self) -> bool:
        """Return whether a connection may be free, or the wait was ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        waiter = loop.create_future()
        self._waiters.append(waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_waiter()
            raise
        finally:
            self._health_log.record_wait(loop.time() - started_at)

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(True)
                return
