"""The connections of a link: opened within a cap, kept while they last."""

import asyncio
import collections
import re

from chivepond.gateway import (
    health_log,
    http_connection,
    link_end,
    outcome,
)
from chivepond.platform import headers

#: How long before the searcher's own time-out an idle connection is given
#: up, in seconds, so that a request doesn't cross its end.
_IDLE_MARGIN_S = 1.0
_STATED_IDLE = re.compile(rb'timeout=(\d+)')


class ConnectionPool:
    """Hands out connections, one exchange at a time each."""

    __slots__ = (
        '_cap',
        '_end',
        '_idle',
        '_idle_s',
        '_log',
        '_open',
        '_waiters',
    )

    def __init__(
        self,
        end: link_end.LinkEnd,
        cap: int,
        log: health_log.HealthLog,
    ) -> None:
        """Open at most ``cap`` connections, each when it is needed."""
        self._end = end
        self._cap = cap
        self._log = log
        self._idle: list[http_connection.HttpConnection] = []
        self._idle_s = end.idle_s
        self._open: set[http_connection.HttpConnection] = set()
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._open)

    @property
    def is_warm(self) -> bool:
        """Whether a connection is open on which nothing is under way."""
        return any(connection.is_open for connection in self._idle)

    @property
    def is_closed(self) -> bool:
        """Whether no connection may be opened any more."""
        return not self._cap

    def limit(self, cap: int) -> None:
        """Open at most ``cap`` connections from now on."""
        if cap == self._cap:
            return
        self._cap = cap
        while self._idle and len(self._open) > cap:
            surplus = self._idle.pop(0)
            self._open.discard(surplus)
            surplus.close()
        self._wake()

    def close(self) -> None:
        """Close idle connections; those in use end with their exchange."""
        self._cap = 0
        self.drop_idle()

    async def acquire(
        self,
        idle_s: float,
    ) -> http_connection.HttpConnection | None:
        """Return a connection that was idle for at most ``idle_s`` seconds.

        Return none where no connection can be opened.
        """
        idle_s = min(idle_s, self._idle_s)
        while True:
            kept = self._take_idle(idle_s)
            if kept is not None:
                return kept
            if len(self._open) < self._cap:
                return await self._connect()
            if not self._cap:
                return None
            await self._wait()

    async def is_reachable(self) -> bool:
        """Tell whether the other end takes connections, or has one open."""
        if self.is_closed or any(one.is_connected for one in self._open):
            return True
        connection = await self._connect()
        if connection is None:
            return False
        self._idle.append(connection)
        self._wake()
        return True

    def release(
        self,
        connection: http_connection.HttpConnection,
        ended: outcome.Outcome,
    ) -> None:
        """Take a connection back after an exchange."""
        match ended:
            case outcome.Reply(headers=told):
                self._learn_idle(told.get(b'keep-alive'))
        if connection.is_open and self._cap:
            self._idle.append(connection)
        else:
            connection.close()
        self._wake()

    def drop_idle(self) -> None:
        """Close the idle connections.

        Guards against connections that fell silent without a reset: it shows
        as a request without a reply, and would as one on each of them.
        """
        for connection in list(self._idle):
            connection.close()

    def _take_idle(
        self,
        idle_s: float,
    ) -> http_connection.HttpConnection | None:
        oldest = asyncio.get_running_loop().time() - idle_s
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.idle_since > oldest:
                return connection
            connection.close()
        return None

    async def _connect(self) -> http_connection.HttpConnection | None:
        connection = http_connection.HttpConnection(
            headers.REQUEST_ID,
            self._closed,
        )
        self._open.add(connection)
        place = self._end.address
        try:
            async with asyncio.timeout(self._end.connect_s):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection,
                    place.ip,
                    place.port,
                )
        except OSError:
            # A time-out is an OSError as well.
            self._closed(connection)
            return None
        except asyncio.CancelledError:
            self._closed(connection)
            raise
        return connection

    def _learn_idle(self, stated: bytes | None) -> None:
        found = _STATED_IDLE.search(stated or b'')
        if found:
            self._idle_s = max(0, int(found[1]) - _IDLE_MARGIN_S)

    def _closed(self, connection: http_connection.HttpConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._wake()

    async def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        waiter = loop.create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake()
            raise
        finally:
            self._log.waited(loop.time() - began)

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
