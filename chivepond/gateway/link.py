"""The connections of this gateway to one searcher or other gateway."""

import asyncio
import collections
import dataclasses
import itertools
import re
import types
from typing import Protocol, Self

from chivepond.decisions import searcher_standing
from chivepond.gateway import http_connection, outcome
from chivepond.platform import headers
from chivepond.transport import address

#: How long a new connection may take, in seconds. A first packet that is lost
#: is sent again after a second; another searcher is asked by then.
_CONNECT_S = 0.6
#: How long before the searcher's own time-out an idle connection is given
#: up, in seconds, so that a request doesn't cross its end.
_IDLE_MARGIN_S = 1.0
#: How long a connection may be idle for a request that must not run twice,
#: in seconds. Guards against searchers that forget idle connections without
#: notice: the send is reset, and nobody can tell whether it ran.
_PROVED_S = 1.0
#: The time-out of idle connections where the searcher states none.
_IDLE_S = 10.0
_SERVER_ERROR = 500
_STATED_IDLE = re.compile(rb'timeout=(\d+)')
#: Running requests, waiting requests, slots.
_LOAD = re.compile(rb'\d+,\s*(\d{1,6}),\s*\d+')
_attempts = itertools.count()


@dataclasses.dataclass(slots=True, frozen=True)
class LinkEnd:
    """Who is at the other end of a link."""

    name: str
    address: address.Address
    #: How many requests it works on at a time.
    slots: int
    #: How much longer it is slow after its start, in seconds.
    warmup_s: float
    #: Failures in a row after which it is distrusted.
    failures: int = searcher_standing.USUAL_FAILURES
    #: How long a new connection may take, in seconds.
    connect_s: float = _CONNECT_S


class Message(Protocol):
    """What a link sends."""

    request_id: bytes
    is_head: bool
    #: Whether it may run again where a connection ends on it.
    is_repeatable: bool

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes for ``receiver``, which has ``left_s`` seconds."""


class Link:
    """Sends requests within a cap of connections; a queue beyond it."""

    __slots__ = (
        '_cap',
        '_idle',
        '_idle_s',
        '_open',
        '_waiters',
        'end',
        'standing',
    )

    def __init__(
        self,
        end: LinkEnd,
        cap: int,
    ) -> None:
        """Open at most ``cap`` connections, each when it is needed."""
        now = asyncio.get_running_loop().time()
        self.end = end
        self.standing = searcher_standing.SearcherStanding(
            end.slots,
            now + end.warmup_s,
            end.failures,
        )
        self._cap = cap
        self._idle: list[http_connection.HttpConnection] = []
        self._idle_s = _IDLE_S
        self._open: set[http_connection.HttpConnection] = set()
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def __enter__(self) -> Self:
        """Return the link."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close idle connections; those in use end with their exchange."""
        self._cap = 0
        for connection in list(self._idle):
            connection.close()

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._open)

    def limit(self, cap: int) -> None:
        """Open at most ``cap`` connections from now on."""
        self._cap = cap

    async def ask(
        self,
        request: Message,
        deadline: float,
    ) -> outcome.Outcome:
        """Send a request and wait for its reply until ``deadline``.

        The deadline is on the steady clock. Cancelling ends the connection,
        by which the searcher learns that nobody waits.
        """
        loop = asyncio.get_running_loop()
        attempt = next(_attempts)
        self.standing.sent(attempt, loop.time())
        try:
            async with asyncio.timeout_at(deadline):
                ended = await self._exchange(request, deadline)
        except TimeoutError:
            ended = outcome.Broken('no reply in time')
            self._drop_idle()
        except asyncio.CancelledError:
            if self.standing.given_up(attempt, loop.time()):
                self._drop_idle()
            raise
        self._judge(attempt, ended, loop.time())
        return ended

    async def _exchange(
        self,
        request: Message,
        deadline: float,
    ) -> outcome.Outcome:
        loop = asyncio.get_running_loop()
        idle_s = self._idle_s
        if not request.is_repeatable:
            idle_s = min(idle_s, _PROVED_S)
        connection = await self._acquire(idle_s)
        if connection is None:
            return outcome.NotSent('no connection')
        message = request.encode(
            self.end.name,
            deadline - loop.time(),
        )
        try:
            ended = await connection.begin(
                message,
                request.request_id,
                is_head=request.is_head,
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        self._release(connection, ended)
        return ended

    def _hear(self, told: bytes | None, now: float) -> None:
        """Take what a searcher says of its load."""
        found = _LOAD.fullmatch(told or b'')
        if found:
            self.standing.told_waiting(int(found[1]), now)

    def _judge(self, attempt: int, ended: outcome.Outcome, now: float) -> None:
        match ended:
            case outcome.Reply(headers=told):
                self._hear(told.get(headers.LOAD), now)
        match ended:
            case outcome.Reply(status=status) if status < _SERVER_ERROR:
                self.standing.replied(attempt, now)
            case _:
                self.standing.failed(attempt, now)

    async def _acquire(
        self,
        idle_s: float,
    ) -> http_connection.HttpConnection | None:
        while True:
            kept = self._take_idle(idle_s)
            if kept is not None:
                return kept
            if len(self._open) < self._cap:
                return await self._connect()
            if not self._cap:
                return None
            await self._wait()

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

    def _drop_idle(self) -> None:
        """Close the idle connections.

        Guards against connections that fell silent without a reset: it shows
        as a request without a reply, and would as one on each of them.
        """
        for connection in list(self._idle):
            connection.close()

    async def _connect(self) -> http_connection.HttpConnection | None:
        connection = http_connection.HttpConnection(
            headers.REQUEST_ID,
            self._closed,
        )
        self._open.add(connection)
        place = self.end.address
        try:
            async with asyncio.timeout(self.end.connect_s):
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

    def _release(
        self,
        connection: http_connection.HttpConnection,
        ended: outcome.Outcome,
    ) -> None:
        match ended:
            case outcome.Reply(headers=told):
                self._learn_idle(told.get(b'keep-alive'))
        if connection.is_open and self._cap:
            self._idle.append(connection)
        else:
            connection.close()
        self._wake()

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
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake()
            raise

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
