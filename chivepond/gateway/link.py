"""The connections of this gateway to one searcher or other gateway."""

import asyncio
import itertools
import math
import re
from typing import Protocol

from chivepond.decisions import upstream_health, usual_latency
from chivepond.gateway import (
    closing,
    connection_pool,
    health_log,
    link_end,
    outcome,
    transfer,
)
from chivepond.platform import headers

#: How long a connection may be idle for a request that must not run twice,
#: in seconds. Guards against searchers that forget idle connections without
#: notice: the send is reset, and nobody can tell whether it ran.
_PROVED_S = 1.0
_SERVER_ERROR = 500
#: Running requests, waiting requests, slots.
_LOAD = re.compile(rb'\d+,\s*(\d{1,6}),\s*\d+')
_attempts = itertools.count()


class Message(Protocol):
    """What a link sends."""

    request_id: bytes
    is_head: bool
    #: Whether it may run again where a connection ends on it.
    is_repeatable: bool
    #: Whether its reply is held until there is something to tell.
    is_held: bool
    #: Follows the reply, where it may be large.
    progress: transfer.Transfer | None

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes for ``receiver``, which has ``left_s`` seconds."""

    def observe(self, receiver: str, ended: outcome.Outcome) -> None:
        """Take how the exchange with ``receiver`` ended."""


class Link(closing.Closing):
    """Sends requests within a cap of connections; a queue beyond it."""

    __slots__ = ('_log', '_pool', 'end', 'health')

    def __init__(
        self,
        end: link_end.LinkEnd,
        cap: int,
        log: health_log.HealthLog,
        usual: usual_latency.UsualLatency,
    ) -> None:
        """Open at most ``cap`` connections, each when it is needed."""
        self._log = log
        self.end = end
        self.health = upstream_health.UpstreamHealth(
            end.slots,
            end.failures,
            usual,
        )
        self._pool = connection_pool.ConnectionPool(end, cap, log)

    def close(self) -> None:
        """Close idle connections; those in use end with their exchange."""
        self._pool.close()
        self._log.forget(self.end.name)

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return self._pool.connections

    @property
    def is_warm(self) -> bool:
        """Whether the next request needs no new connection."""
        return self._pool.is_warm

    def limit(self, cap: int) -> None:
        """Open at most ``cap`` connections from now on."""
        self._pool.limit(cap)

    async def is_reachable(self) -> bool:
        """Tell whether the other end takes connections, or has one open."""
        return await self._pool.is_reachable()

    async def ask(
        self,
        request: Message,
        deadline: float,
    ) -> outcome.Outcome:
        """Send a request and wait for its reply until ``deadline``.

        The deadline is on the steady clock; a reply that is followed may come
        to its end after it. Cancelling ends the connection, by which the
        searcher learns that nobody waits.
        """
        loop = asyncio.get_running_loop()
        attempt = next(_attempts)
        if not request.is_held:
            self.health.sent(attempt, loop.time())
        try:
            async with asyncio.timeout_at(deadline) as limit:
                if request.progress is not None:
                    request.progress.extend(limit)
                ended = await self._exchange(request, deadline)
        except TimeoutError:
            ended = outcome.Broken('no reply in time', _received(request))
            self._pool.drop_idle()
        except asyncio.CancelledError:
            if self.health.given_up(attempt, loop.time()):
                self._pool.drop_idle()
                self._log_health('no reply for long')
            raise
        request.observe(self.end.name, ended)
        if request.is_held:
            self._judge_held(attempt, ended, loop.time())
        else:
            self._judge(attempt, ended, loop.time())
        return ended

    async def _exchange(
        self,
        request: Message,
        deadline: float,
    ) -> outcome.Outcome:
        loop = asyncio.get_running_loop()
        idle_s = math.inf if request.is_repeatable else _PROVED_S
        connection = await self._pool.acquire(idle_s)
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
                followed_by=request.progress,
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        self._pool.release(connection, ended)
        return ended

    def _hear(self, told: bytes | None, now: float) -> None:
        """Take what a searcher says of its load."""
        found = _LOAD.fullmatch(told or b'')
        if found:
            self.health.told_waiting(int(found[1]), now)

    def _judge_held(
        self,
        attempt: int,
        ended: outcome.Outcome,
        now: float,
    ) -> None:
        """Take a reply that was held, whose time is not the other end's.

        Guards against a gateway that is asked for nothing else because it
        holds the reply to a follower: it would count as overdue.
        """
        match ended:
            case outcome.Reply():
                self.health.heard(now)
                self._log_health('')
            case _:
                self._judge(attempt, ended, now)

    def _judge(self, attempt: int, ended: outcome.Outcome, now: float) -> None:
        match ended:
            case outcome.Reply(headers=told):
                self._hear(told.get(headers.LOAD), now)
        match ended:
            case outcome.Reply(status=status) if status < _SERVER_ERROR:
                self.health.replied(attempt, now)
                self._log_health('')
            case outcome.Reply(status=status):
                self.health.failed(attempt, now)
                self._log_health(f'a reply with {status}')
            case outcome.NotSent(reason=reason):
                self.health.failed(attempt, now)
                self._log_health(reason)
            case outcome.Broken(reason=reason, received_bytes=received):
                self.health.failed(attempt, now)
                self._log_health(
                    f'{reason}, {received} bytes came' if received else reason,
                )

    def _log_health(self, reason: str) -> None:
        if not self._pool.is_closed:
            self._log.look(
                self.end.name,
                reason,
                is_ejected=self.health.is_ejected,
            )


def _received(request: Message) -> int:
    return request.progress.received_bytes if request.progress else 0
