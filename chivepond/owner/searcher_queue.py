"""The one queue of a searcher: deadline order, batches, exact slots."""

import asyncio
import collections
import contextlib
import heapq
import math
import types
from collections.abc import AsyncIterator, Callable
from typing import Self

import result

from chivepond.decisions import concurrency_limit
from chivepond.owner import attempt
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

#: Connections beyond the slots: one to cancel on, one for health.
SPARE_CONNECTIONS = 2
_MS_PER_S = 1000
_REPLY_GRACE_S = 0.05
_CANCEL_TIMEOUT_S = 0.5
_LATENCY_WEIGHT = 0.1
_FIRST_LATENCY_S = 0.005

_OnReply = Callable[[attempt.Attempt, sub_reply.SubReply], None]


class SearcherQueue:
    """Holds back what the slots can't take; sends the rest in batches."""

    __slots__ = (
        '_batches',
        '_by_ref',
        '_cancelled',
        '_capacity',
        '_client',
        '_held_slots',
        '_on_reply',
        '_queue',
        '_slot_waiters',
        '_tasks',
        'host',
        'is_leaving',
        'latency_s',
        'limit',
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
        self.limit = concurrency_limit.ConcurrencyLimit(capacity.slots)
        self._capacity = capacity
        self._client = client.Client(
            target,
            min(capacity.connections, capacity.slots + SPARE_CONNECTIONS),
        )
        self._on_reply = on_reply
        self._queue: list[attempt.Attempt] = []
        self._batches: set[asyncio.Task[None]] = set()
        self._by_ref: dict[attempt_ref.AttemptRef, attempt.Attempt] = {}
        self._cancelled: list[attempt_ref.AttemptRef] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._slot_waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._held_slots = 0
        self.is_leaving = searcher.state != 'live'

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
        if self._batches:
            await asyncio.wait(self._batches)
        await self._client.__aexit__(kind, error, trace)

    @property
    def outstanding(self) -> int:
        """Sub-queries queued and in flight."""
        return len(self._queue) + len(self._by_ref)

    @property
    def command_client(self) -> client.Client:
        """The connections, for work that is not a search."""
        return self._client

    def submit(self, one: attempt.Attempt) -> None:
        """Queue an attempt, and send it as soon as a slot is free."""
        heapq.heappush(self._queue, one)
        window_s = self._capacity.batch_window_ms / _MS_PER_S
        if window_s:
            _loop().call_later(window_s, self._dispatch)
        else:
            _loop().call_soon(self._dispatch)

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
        waiter = _loop().create_future()
        self._slot_waiters.append(waiter)
        self._dispatch()
        await asyncio.wait((waiter,), timeout=timeout_s)
        has_slot = waiter.done()
        waiter.cancel()
        try:
            yield has_slot
        finally:
            self._held_slots -= has_slot
            self._dispatch()

    @property
    def _free_slots(self) -> int:
        return self.limit.current - len(self._batches) - self._held_slots

    def _dispatch(self) -> None:
        self._grant_slots()
        while self._queue and self._free_slots > 0:
            batch = self._next_batch()
            if batch:
                task = _loop().create_task(self._run(batch))
                self._batches.add(task)
                task.add_done_callback(self._on_batch_end)

    def _grant_slots(self) -> None:
        while self._slot_waiters and self._free_slots > 0:
            waiter = self._slot_waiters.popleft()
            if not waiter.done():
                self._held_slots += 1
                waiter.set_result(None)

    def _on_batch_end(self, task: asyncio.Task[None]) -> None:
        self._batches.discard(task)
        self._dispatch()

    def _next_batch(self) -> list[attempt.Attempt]:
        share = math.ceil(len(self._queue) / self._free_slots)
        size = min(share, self._capacity.max_batch)
        batch: list[attempt.Attempt] = []
        while self._queue and len(batch) < size:
            one = heapq.heappop(self._queue)
            if one.is_wanted:
                batch.append(one)
        return batch

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
        async for line in lines:
            self._take_line(line, by_ref, now)
        for ref, one in by_ref.items():
            self._by_ref.pop(ref, None)
            self._on_reply(one, _failed(one, shard_outcome.UNREACHABLE))

    def _take_line(
        self,
        line: result.Result[bytes, object],
        by_ref: dict[attempt_ref.AttemptRef, attempt.Attempt],
        sent_at: float,
    ) -> None:
        """Hand one reply to the attempt that it names.

        Guards against late, doubled and foreign lines: they show as hits of
        another request in an answer. Only an attempt of this very batch that
        has no reply yet takes one, and only for the version it asked for.
        """
        match line.and_then(_read_reply):
            case result.Ok(reply):
                ref = _ref_of_reply(reply)
                one = by_ref.pop(ref, None)
                if one is not None:
                    self._by_ref.pop(ref, None)
                    self._learn(reply, sent_at)
                    self._on_reply(one, _checked(one, reply))

    def _learn(self, reply: sub_reply.SubReply, sent_at: float) -> None:
        if reply.outcome == shard_outcome.SHED:
            self.limit.refused()
        elif reply.outcome == shard_outcome.OK:
            self.limit.succeeded()
            taken_s = _loop().time() - sent_at
            self.latency_s += _LATENCY_WEIGHT * (taken_s - self.latency_s)

    def _send_cancelled(self) -> None:
        refs = self._cancelled
        self._cancelled = []
        wanted = [ref for ref in refs if ref in self._by_ref]
        if wanted:
            body = codec.encode(cancel_batch.CancelBatch(wanted))
            task = _loop().create_task(self._post_cancel(body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _post_cancel(self, body: bytes) -> None:
        await self._client.post('/v1/cancel', body, _CANCEL_TIMEOUT_S)


def _loop() -> asyncio.AbstractEventLoop:
    return asyncio.get_running_loop()


def _encoded(batch: list[attempt.Attempt], now: float) -> bytes:
    for one in batch:
        left_s = max(0, one.deadline - now)
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
