"""The one queue of a searcher: deadline order, batches, exact slots."""

import asyncio
import contextlib
import math
import types
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Self

import result

from chivepond.decisions import (
    batch_window,
    concurrency_limit,
    replica_trust,
    work_rate,
)
from chivepond.owner import (
    attempt,
    searcher_state,
    slot_waiters,
    waiting_work,
)
from chivepond.settings import capacity_service
from chivepond.transport import address, client
from chivepond.wire import (
    attempt_ref,
    cancel_batch,
    codec,
    host,
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
_SWEEP_S = 0.01
_IDLE_S = 3

_OnReply = Callable[[attempt.Attempt, sub_reply.SubReply], None]


class SearcherQueue:
    """Holds back what the slots can't take; sends the rest in batches."""

    __slots__ = (
        '_batches',
        '_by_ref',
        '_cancelled',
        '_capacity',
        '_client',
        '_is_scheduled',
        '_last_used_at',
        '_on_reply',
        '_rate',
        '_waiting',
        '_slots',
        '_sweeper',
        '_tasks',
        'host',
        'latency_s',
        'limit',
        'state',
        'trust',
    )

    def __init__(
        self,
        searcher: host.Host,
        target: address.Address,
        capacity: capacity_service.CapacityService,
        on_reply: _OnReply,
    ) -> None:
        """Serve one searcher; each attempt gets one call of ``on_reply``."""
        self.host = searcher
        self.latency_s = _FIRST_LATENCY_S
        self.trust = replica_trust.ReplicaTrust()
        self.limit = concurrency_limit.ConcurrencyLimit(capacity.slots)
        self._capacity = capacity
        self._client = _client(target, capacity)
        self._on_reply = on_reply
        self._rate = work_rate.WorkRate()
        self._batches: set[asyncio.Task[None]] = set()
        self._by_ref: dict[attempt_ref.AttemptRef, attempt.Attempt] = {}
        self._cancelled: list[attempt_ref.AttemptRef] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._slots = slot_waiters.SlotWaiters()
        self._is_scheduled = False
        self._last_used_at = _loop().time()
        self._waiting = waiting_work.WaitingWork(self._last_used_at)
        self._sweeper: asyncio.TimerHandle | None = None
        self.state = searcher_state.SearcherState(
            searcher.host_id,
            self._last_used_at,
        )
        if searcher.state != 'live':
            self.state.begin_drain(self._last_used_at)

    async def __aenter__(self) -> Self:
        """Return the queue."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End batches in flight, then close the connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._batches:
            await asyncio.wait(self._batches)
        await self._client.__aexit__(kind, error, trace)

    @property
    def is_leaving(self) -> bool:
        """Whether no new work may go there."""
        return not self.state.is_serving

    @property
    def outstanding(self) -> int:
        """Sub-queries queued and in flight."""
        return len(self._waiting) + len(self._by_ref)

    @property
    def command_client(self) -> client.Client:
        """The connections, for work that is not a search."""
        return self._client

    def submit(self, one: attempt.Attempt) -> None:
        """Queue an attempt, and send it as soon as a slot is free."""
        now = _loop().time()
        self._last_used_at = now
        self._waiting.push(one, now)
        if self._is_scheduled:
            return
        self._is_scheduled = True
        window_s = batch_window.window_s(
            self._capacity.batch_window_ms / _MS_PER_S,
            one.deadline - now,
        )
        if window_s:
            _loop().call_later(window_s, self._dispatch_scheduled)
        else:
            _loop().call_soon(self._dispatch_scheduled)

    def is_current(
        self,
        searcher: host.Host,
        capacity: capacity_service.CapacityService,
    ) -> bool:
        """Tell whether the queue works with what is known now."""
        is_same = searcher is self.host or searcher == self.host
        return is_same and capacity == self._capacity

    def adopt(
        self,
        searcher: host.Host,
        target: address.Address,
        capacity: capacity_service.CapacityService,
    ) -> None:
        """Go on with a new address, state or size of the searcher.

        Guards against work for a process that is gone, which shows as
        shards unreachable until a restart of the node, and against too many
        slots in use while a size changes: batches in flight still count, on
        the connections that they began on. Old connections close at once
        when idle, else when they come back.
        """
        was_live = self.host.state == 'live'
        is_moved = searcher.address != self.host.address
        old = self._client
        is_resized = capacity != self._capacity
        self.host = searcher
        self._capacity = capacity
        self.limit.resize(capacity.slots)
        is_live = searcher.state == 'live'
        self.state.follow(
            is_live,
            is_moved or not was_live,
            _loop().time(),
        )
        if is_moved or is_resized:
            self._client = _client(target, capacity)
            self._start(old.distrust_idle())
        self._dispatch()

    async def give_back_idle(self, now: float) -> None:
        """Close connections that were idle for some seconds.

        Guards the cap on connections of the whole fleet: without it every
        node that once owned a searcher would keep its share open, which
        shows as refused connections at the searcher after owners moved.
        """
        is_idle = not self.outstanding and not self._slots.held
        if is_idle and now - self._last_used_at > _IDLE_S:
            self._last_used_at = now
            await self._client.distrust_idle()

    def cancel(self, ref: attempt_ref.AttemptRef) -> None:
        """Tell the searcher that nobody waits for an attempt any more."""
        if ref not in self._by_ref:
            return
        if not self._cancelled:
            _loop().call_soon(self._send_cancelled)
        self._cancelled.append(ref)

    @contextlib.asynccontextmanager
    async def slot(self, timeout_s: float) -> AsyncIterator[bool]:
        """Hold one slot for work that is not a search.

        Yields whether a slot was had within ``timeout_s`` seconds.
        """
        self._last_used_at = _loop().time()
        waiter = self._slots.join()
        _loop().call_soon(self._dispatch)
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
            waiter.cancel()
            yield slot_waiters.has_slot(waiter)
        finally:
            self._slots.leave(waiter)
            self._dispatch()

    @property
    def _free_slots(self) -> int:
        return self.limit.current - len(self._batches) - self._slots.held

    def _dispatch_scheduled(self) -> None:
        self._is_scheduled = False
        self._dispatch()

    def _sweep(self) -> None:
        self._sweeper = None
        each_s = self._rate.each_s(self.limit.current)
        for lost in self._waiting.give_up(_loop().time(), each_s):
            one = lost.attempt
            one.call.waited.add(one.sub_query.shard)
            self._on_reply(one, _failed(one, lost.outcome))
        self._dispatch()

    def _hand_back(self) -> None:
        for lost in self._waiting.hand_back():
            self._on_reply(lost.attempt, _failed(lost.attempt, lost.outcome))
        self._slots.refuse()

    def _dispatch(self) -> None:
        if self.is_leaving:
            self._hand_back()
        self._slots.grant(self._free_slots)
        while self._waiting and self._free_slots > 0:
            batch = self._next_batch()
            if batch:
                task = _loop().create_task(self._run(batch))
                self._batches.add(task)
                task.add_done_callback(self._on_batch_end)
        if self._waiting and self._sweeper is None:
            self._sweeper = _loop().call_later(_SWEEP_S, self._sweep)

    def _on_batch_end(self, task: asyncio.Task[None]) -> None:
        self._batches.discard(task)
        self._dispatch()

    def _next_batch(self) -> list[attempt.Attempt]:
        share = math.ceil(len(self._waiting) / self._free_slots)
        size = min(share, self._capacity.max_batch)
        return self._waiting.take(size)

    async def _run(self, batch: list[attempt.Attempt]) -> None:
        now = _loop().time()
        by_ref = {_ref(one): one for one in batch}
        self._by_ref.update(by_ref)
        last = max(one.deadline for one in batch)
        lines = self._client.lines(
            '/v1/query',
            _encoded(batch, now),
            max(0, last - now) + _REPLY_GRACE_S,
        )
        outcomes: set[str] = set()
        async for line in lines:
            outcomes.add(self._take_line(line, by_ref, now))
        self._learn(outcomes, len(batch), now)
        if by_ref:
            self.trust.failed(_loop().time())
        for ref, one in by_ref.items():
            self._by_ref.pop(ref, None)
            self._on_reply(one, _failed(one, shard_outcome.UNREACHABLE))

    def _take_line(
        self,
        line: result.Result[bytes, object],
        by_ref: dict[attempt_ref.AttemptRef, attempt.Attempt],
        sent_at: float,
    ) -> str:
        """Hand one reply to the attempt that it names.

        Guards against late, doubled and foreign lines: they show as hits of
        another request in an answer. Only an attempt of this very batch that
        has no reply yet takes one, and only for the version it asked for.
        """
        match line.and_then(_read_reply):
            case result.Ok(reply):
                ref = _ref_of_reply(reply)
                self._waiting.moved(_loop().time())
                one = by_ref.pop(ref, None)
                if one is not None:
                    self._by_ref.pop(ref, None)
                    self.latency_s = _latency(self.latency_s, reply, sent_at)
                    self._on_reply(one, _checked(one, reply))
                    return reply.outcome
        return ''

    def _learn(self, outcomes: set[str], size: int, sent_at: float) -> None:
        """Count a batch once, however many of its replies say the same."""
        now = _loop().time()
        taken_s = now - sent_at
        if shard_outcome.SHED in outcomes:
            self.trust.failed(now)
            self.limit.refused()
        elif shard_outcome.OK in outcomes:
            self.trust.succeeded(now)
            self._rate.observe(size, taken_s)
            self.limit.succeeded(size, taken_s)

    def _send_cancelled(self) -> None:
        refs = self._cancelled
        self._cancelled = []
        wanted = [ref for ref in refs if ref in self._by_ref]
        if wanted:
            body = codec.encode(cancel_batch.CancelBatch(wanted))
            self._start(
                self._client.post('/v1/cancel', body, _CANCEL_TIMEOUT_S),
            )

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = _loop().create_task(work)
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


def _loop() -> asyncio.AbstractEventLoop:
    return asyncio.get_running_loop()


def _latency(
    before_s: float,
    reply: sub_reply.SubReply,
    sent_at: float,
) -> float:
    if reply.outcome != shard_outcome.OK:
        return before_s
    taken_s = _loop().time() - sent_at
    return before_s + _LATENCY_WEIGHT * (taken_s - before_s)


def _encoded(batch: list[attempt.Attempt], now: float) -> bytes:
    for one in batch:
        left_s = max(0, one.deadline - now)
        one.call.left_queue(one.sub_query.shard, now - one.created_at)
        one.sub_query.remaining_ms = int(left_s * _MS_PER_S)
    entries = [one.sub_query for one in batch]
    return codec.encode(query_batch.QueryBatch(entries))


def _read_reply(raw: bytes) -> result.Result[sub_reply.SubReply, object]:
    return codec.decode(sub_reply.SubReply, raw)


def _ref(one: attempt.Attempt) -> attempt_ref.AttemptRef:
    return attempt_ref.AttemptRef(
        request_id=one.sub_query.request_id,
        attempt=one.sub_query.attempt,
        shard=one.sub_query.shard,
    )


def _ref_of_reply(reply: sub_reply.SubReply) -> attempt_ref.AttemptRef:
    return attempt_ref.AttemptRef(
        request_id=reply.request_id,
        attempt=reply.attempt,
        shard=reply.shard,
    )


def _checked(
    one: attempt.Attempt,
    reply: sub_reply.SubReply,
) -> sub_reply.SubReply:
    if reply.index_version == one.sub_query.index_version:
        return reply
    return _failed(one, shard_outcome.WITHDRAWN)


def _failed(one: attempt.Attempt, outcome: str) -> sub_reply.SubReply:
    return sub_reply.SubReply(
        request_id=one.sub_query.request_id,
        attempt=one.sub_query.attempt,
        shard=one.sub_query.shard,
        index_version=one.sub_query.index_version,
        outcome=outcome,
    )
