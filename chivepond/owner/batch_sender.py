"""Sends batches to one searcher, and hands each reply to its attempt."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import result

from chivepond.decisions import concurrency_limit, replica_trust, work_rate
from chivepond.owner import attempt, failed_reply
from chivepond.settings import capacity_service
from chivepond.transport import address, client
from chivepond.wire import (
    attempt_ref,
    cancel_batch,
    codec,
    query_batch,
    shard_outcome,
    sub_reply,
)

#: Connections beyond the slots: one to cancel on, one for health. A node so
#: uses slots + 2 of the searcher's cap, 4 of 25: six nodes that each take
#: themselves for the owner still stay under it, and idle connections of
#: former owners are closed within seconds.
SPARE_CONNECTIONS = 2
_MS_PER_S = 1000
_REPLY_GRACE_S = 0.05
_CANCEL_TIMEOUT_S = 0.5
_LATENCY_WEIGHT = 0.1
_FIRST_LATENCY_S = 0.005

OnReply = Callable[[attempt.Attempt, sub_reply.SubReply, float], None]

#: Request, attempt and shard. A plain tuple, as one is built and hashed for
#: each reply: a data class as key cost three times as much.
_Key = tuple[str, int, str]


class BatchSender:
    """Learns from replies how much the searcher takes, and how fast."""

    __slots__ = (
        '_cancelled',
        '_on_reply',
        '_tasks',
        'client',
        'in_flight',
        'latency_s',
        'limit',
        'rate',
        'replied_at',
        'trust',
    )

    def __init__(
        self,
        target: address.Address,
        capacity: capacity_service.CapacityService,
        on_reply: OnReply,
        now: float,
    ) -> None:
        """Give each attempt one call of ``on_reply``."""
        self.client = _client(target, capacity)
        self.in_flight = 0
        self.latency_s = _FIRST_LATENCY_S
        self.limit = concurrency_limit.ConcurrencyLimit(capacity.slots)
        self.rate = work_rate.WorkRate()
        self.replied_at = now
        self.trust = replica_trust.ReplicaTrust()
        self._cancelled: list[attempt.Attempt] = []
        self._on_reply = on_reply
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close the connections; no batch is in flight any more."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self.client.__aexit__(None, None, None)

    def adopt(
        self,
        target: address.Address,
        capacity: capacity_service.CapacityService,
    ) -> None:
        """Use new connections from now on.

        Old ones close at once when idle, else when they come back.
        """
        old = self.client
        self.client = _client(target, capacity)
        self._start(old.distrust_idle())

    async def send(self, batch: list[attempt.Attempt]) -> None:
        """Send a batch; return when each attempt has its reply."""
        now = _now()
        by_key = {_key(one.sub_query): one for one in batch}
        for one in batch:
            one.is_in_flight = True
        self.in_flight += len(batch)
        outcomes: set[str] = set()
        async for lines in self._replies(batch, now):
            outcomes |= self._take(lines, by_key, now)
        self._learn(outcomes, len(batch), now)
        self._lose(list(by_key.values()))

    def cancel(self, one: attempt.Attempt) -> None:
        """Tell the searcher that nobody waits for an attempt any more."""
        if not one.is_in_flight:
            return
        if not self._cancelled:
            asyncio.get_running_loop().call_soon(self._send_cancelled)
        self._cancelled.append(one)

    async def _replies(
        self,
        batch: list[attempt.Attempt],
        now: float,
    ) -> AsyncIterator[list[bytes]]:
        last = max(one.deadline for one in batch)
        groups = self.client.line_groups(
            '/v1/query',
            _encoded(batch, now),
            max(0, last - now) + _REPLY_GRACE_S,
        )
        async for group in groups:
            match group:
                case result.Ok(lines):
                    yield lines

    def _take(
        self,
        lines: list[bytes],
        by_key: dict[_Key, attempt.Attempt],
        sent_at: float,
    ) -> set[str]:
        """Hand replies that came together to the attempts that they name.

        Guards against late, doubled and foreign lines: they show as hits of
        another request in an answer. Only an attempt of this very batch that
        has no reply yet takes one, and only for the version it asked for.
        """
        now = _now()
        self.replied_at = now
        outcomes: set[str] = set()
        for reply in _read(lines):
            one = by_key.pop(_key(reply), None)
            if one is None:
                continue
            self._end(one)
            outcomes.add(reply.outcome)
            if reply.outcome == shard_outcome.OK:
                late_s = now - sent_at - self.latency_s
                self.latency_s += _LATENCY_WEIGHT * late_s
            self._on_reply(one, _checked(one, reply), now)
        return outcomes

    def _lose(self, lost: list[attempt.Attempt]) -> None:
        if not lost:
            return
        now = _now()
        self.trust.failed(now)
        for one in lost:
            self._end(one)
            told = failed_reply.of(one, shard_outcome.UNREACHABLE)
            self._on_reply(one, told, now)

    def _end(self, one: attempt.Attempt) -> None:
        one.is_in_flight = False
        self.in_flight -= 1

    def _learn(self, outcomes: set[str], size: int, sent_at: float) -> None:
        """Count a batch once, however many of its replies say the same."""
        now = _now()
        taken_s = now - sent_at
        if shard_outcome.SHED in outcomes:
            self.trust.failed(now)
            self.limit.refused()
        elif shard_outcome.OK in outcomes:
            self.trust.succeeded(now)
            self.rate.observe(size, taken_s)
            self.limit.succeeded(size, taken_s)

    def _send_cancelled(self) -> None:
        refs = [_ref(one) for one in self._cancelled if one.is_in_flight]
        self._cancelled = []
        if refs:
            body = codec.encode(cancel_batch.CancelBatch(refs))
            self._start(
                self.client.post('/v1/cancel', body, _CANCEL_TIMEOUT_S),
            )

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _client(
    target: address.Address,
    capacity: capacity_service.CapacityService,
) -> client.Client:
    return client.Client(
        target,
        min(capacity.connections, capacity.slots + SPARE_CONNECTIONS),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _read(lines: list[bytes]) -> list[sub_reply.SubReply]:
    """Return the replies of lines; what can't be read answers nothing."""
    read = [codec.decode(sub_reply.SubReply, line) for line in lines]
    return [one.unwrap() for one in read if one.is_ok()]


def _key(one: Any) -> _Key:
    return (one.request_id, one.attempt, one.shard)


def _ref(one: attempt.Attempt) -> attempt_ref.AttemptRef:
    return attempt_ref.AttemptRef(
        request_id=one.sub_query.request_id,
        attempt=one.sub_query.attempt,
        shard=one.sub_query.shard,
    )


def _encoded(batch: list[attempt.Attempt], now: float) -> bytes:
    for one in batch:
        left_s = max(0, one.deadline - now)
        one.call.left_queue(one.sub_query.shard, now - one.created_at)
        one.sub_query.remaining_ms = int(left_s * _MS_PER_S)
    entries = [one.sub_query for one in batch]
    return codec.encode(query_batch.QueryBatch(entries))


def _checked(
    one: attempt.Attempt,
    reply: sub_reply.SubReply,
) -> sub_reply.SubReply:
    if reply.index_version == one.sub_query.index_version:
        return reply
    return failed_reply.of(one, shard_outcome.WITHDRAWN)
