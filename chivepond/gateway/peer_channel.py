"""The connections of this gateway to one searcher or other gateway."""

import asyncio
import itertools
import math
import re
from typing import Protocol

from chivepond.decisions import upstream_health, usual_latency
from chivepond.gateway import (
    closeable,
    connection_pool,
    health_log,
    outcome,
    peer_endpoint,
    stall_timeout,
    transfer,
)
from chivepond.platform import headers

#: Seconds that a connection may have been idle for a request that must not run
#: twice. Some searchers drop idle connections without closing them: the send
#: is reset, and the gateway cannot tell whether the request ran.
_UNREPEATABLE_MAX_IDLE_S = 1.0
_SERVER_ERROR = 500
#: The load header: running requests, queued requests, slots.
_LOAD = re.compile(rb'\d+,\s*(\d{1,6}),\s*\d+')
_attempt_ids = itertools.count()


class Message(Protocol):
    """A request that a channel can send."""

    request_id: bytes
    is_head: bool
    #: Whether it may be sent again after its connection has closed.
    is_repeatable: bool
    #: Whether the receiver may send its reply a second time.
    may_get_two_replies: bool
    #: Whether the receiver delays its reply until it has an update.
    is_long_poll: bool
    #: Counts the bytes of a reply that may be large.
    progress: transfer.Transfer | None

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes for ``receiver``, with ``left_s`` seconds left."""

    def observe(self, receiver: str, exchange_outcome: outcome.Outcome) -> None:
        """Process the outcome of the exchange with ``receiver``."""


class PeerChannel(closeable.Closeable):
    """Sends requests over a limited number of connections; queues the rest."""

    __slots__ = ('_health_log', '_pool', 'end', 'health')

    def __init__(
        self,
        end: peer_endpoint.PeerEndpoint,
        max_connections: int,
        end_health_log: health_log.HealthLog,
        service_latency: usual_latency.UsualLatency,
    ) -> None:
        """Open connections on demand, at most ``max_connections`` of them.

        ``service_latency`` is shared by all searchers of a service.
        """
        self._health_log = end_health_log
        self.end = end
        self.health = upstream_health.UpstreamHealth(
            end.slots,
            end.failures,
            service_latency,
        )
        self._pool = connection_pool.ConnectionPool(
            end, max_connections, end_health_log
        )

    def drain(self) -> None:
        """Send no more requests; those that were sent are completed.

        Requests that wait for a connection are not sent.
        """
        self._pool.close()

    def close(self) -> None:
        """Close idle connections; each busy one closes after its exchange."""
        self._pool.close()
        self._health_log.forget(self.end.name)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._pool.connections

    @property
    def is_warm(self) -> bool:
        """Whether an idle connection is open."""
        return self._pool.is_warm

    def limit(self, max_connections: int) -> None:
        """Set the largest number of connections."""
        self._pool.limit(max_connections)

    def reject_waiters(self, left_s: float) -> None:
        """Reject queued requests that can't have a reply within ``left_s``."""
        self._pool.reject_waiters(left_s)

    async def is_reachable(self) -> bool:
        """Tell whether the remote end accepts connections."""
        return await self._pool.is_reachable()

    async def send(
        self,
        request: Message,
        deadline: float,
    ) -> outcome.Outcome:
        """Send a request and wait for its reply until ``deadline``.

        The deadline is in seconds on the loop's clock; a reply with a
        ``progress`` may extend it while its bytes arrive. Cancelling aborts
        the connection, which tells the searcher that the reply is not needed.
        """
        loop = asyncio.get_running_loop()
        attempt = next(_attempt_ids)
        if not request.is_long_poll:
            self.health.sent(attempt, loop.time())
        # Other requests end by their client's deadline, also after a stall.
        time_limit = (
            stall_timeout.StallTimeout(deadline)
            if request.is_long_poll
            else asyncio.timeout_at(deadline)
        )
        try:
            async with time_limit as timeout:
                if request.progress is not None:
                    request.progress.extend(timeout)
                exchange_outcome = await self._exchange(request, deadline)
        except TimeoutError:
            exchange_outcome = outcome.Broken(
                'no reply in time', _received_bytes(request)
            )
            self._pool.drop_idle()
        except asyncio.CancelledError:
            if self.health.record_cancelled(attempt, loop.time()):
                self._pool.drop_idle()
                self._log_health('no reply for a long time')
            raise
        request.observe(self.end.name, exchange_outcome)
        if request.is_long_poll:
            self._record_held_outcome(attempt, exchange_outcome, loop.time())
        else:
            self._record_outcome(attempt, exchange_outcome, loop.time())
        return exchange_outcome

    async def _exchange(
        self,
        request: Message,
        deadline: float,
    ) -> outcome.Outcome:
        loop = asyncio.get_running_loop()
        max_idle_s = (
            math.inf if request.is_repeatable else _UNREPEATABLE_MAX_IDLE_S
        )
        connection = await self._pool.acquire(
            max_idle_s,
            request.request_id if request.may_get_two_replies else b'',
        )
        if connection is None:
            return outcome.NotSent('no connection was available')
        message = request.encode(
            self.end.name,
            deadline - loop.time(),
        )
        sent_at = loop.time()
        try:
            exchange_outcome = await connection.begin(
                message,
                request.request_id,
                is_head=request.is_head,
                progress=request.progress,
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not request.is_long_poll:
            self._pool.record_exchange(loop.time() - sent_at)
        self._pool.release(connection, exchange_outcome)
        return exchange_outcome

    def _record_load(self, load: bytes | None, now: float) -> None:
        """Record the queue length from the load header of a searcher."""
        load_match = _LOAD.fullmatch(load or b'')
        if load_match:
            self.health.record_queue_length(int(load_match[1]), now)

    def _record_held_outcome(
        self,
        attempt: int,
        exchange_outcome: outcome.Outcome,
        now: float,
    ) -> None:
        """Record the outcome of a request whose reply may be delayed.

        The latency of the reply is ignored: a gateway that delays the reply
        until it has an update would otherwise count as overdue.
        """
        match exchange_outcome:
            case outcome.Reply():
                self.health.record_success(now)
                self._log_health('')
            case _:
                self._record_outcome(attempt, exchange_outcome, now)

    def _record_outcome(
        self, attempt: int, exchange_outcome: outcome.Outcome, now: float
    ) -> None:
        match exchange_outcome:
            case outcome.Reply(headers=response_headers):
                self._record_load(response_headers.get(headers.LOAD), now)
        match exchange_outcome:
            case outcome.Reply(status=status) if status < _SERVER_ERROR:
                self.health.replied(attempt, now)
                self._log_health('')
            case outcome.Reply(status=status):
                self.health.failed(attempt, now)
                self._log_health(f'replied with status {status}')
            case outcome.NotSent(reason=reason):
                self.health.failed(attempt, now)
                self._log_health(reason)
            case outcome.Broken(reason=reason, received_bytes=received):
                if exchange_outcome.is_aborted:
                    self._health_log.record_aborted(self.end.name, reason)
                self.health.failed(attempt, now)
                self._log_health(
                    f'{reason}, {received} bytes received'
                    if received
                    else reason,
                )

    def _log_health(self, reason: str) -> None:
        if not self._pool.is_closed:
            self._health_log.update(
                self.end.name,
                reason,
                is_ejected=self.health.is_ejected,
            )


def _received_bytes(request: Message) -> int:
    return request.progress.received_bytes if request.progress else 0
