"""Queues sub-queries for one searcher, and sends them in batches."""

import asyncio
import contextlib
import math
import types
from collections.abc import AsyncIterator
from typing import Self

from chivepond.decisions import batch_window
from chivepond.owner import (
    attempt,
    batch_sender,
    failed_reply,
    given_up,
    searcher_state,
    slot_waiters,
    stall_meter,
    waiting_work,
)
from chivepond.settings import capacity_service
from chivepond.transport import address, client
from chivepond.wire import host

_MS_PER_S = 1000
_SWEEP_INTERVAL_S = 0.01
_IDLE_TIMEOUT_S = 3


class SearcherQueue:
    """Sends attempts by deadline, never more batches than there are slots.

    Commands take slots of the same searcher, by ``slot``.
    """

    __slots__ = (
        '_batches',
        '_capacity',
        '_is_scheduled',
        '_last_used_at',
        '_on_reply',
        '_sender',
        '_slots',
        '_stalls',
        '_sweep_timer',
        '_waiting',
        'host',
        'state',
        'trust',
        'weight',
    )

    def __init__(
        self,
        searcher: host.Host,
        target: address.Address,
        capacity: capacity_service.CapacityService,
        on_reply: batch_sender.OnReply,
    ) -> None:
        """Queue work for ``searcher``, which listens on ``target``.

        Each attempt results in exactly one call of ``on_reply``.
        """
        self.host = searcher
        self.weight = float(1)
        self._capacity = capacity
        self._on_reply = on_reply
        self._batches: set[asyncio.Task[None]] = set()
        self._slots = slot_waiters.SlotWaiters()
        self._is_scheduled = False
        self._last_used_at = _loop().time()
        self._stalls = stall_meter.StallMeter(self._last_used_at)
        self._sender = batch_sender.BatchSender(
            target,
            capacity,
            on_reply,
            self._stalls,
            self._last_used_at,
        )
        self.trust = self._sender.trust
        self._waiting = waiting_work.WaitingWork(self._last_used_at)
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.state = searcher_state.SearcherState(
            searcher.host_id,
            self._last_used_at,
        )
        if searcher.state != 'live':
            self.state.begin_drain(self._last_used_at)

    async def __aenter__(self) -> Self:
        """Return the queue; connections open on first use."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Wait for batches in flight, then close the connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._batches:
            await asyncio.wait(self._batches)
        await self._sender.close()
        self.state.unregister()

    @property
    def is_leaving(self) -> bool:
        """Whether the searcher drains or is gone, and gets no new work."""
        return not self.state.is_serving

    @property
    def outstanding(self) -> int:
        """The number of sub-queries that are queued or in flight."""
        return len(self._waiting) + self._sender.in_flight

    @property
    def latency_s(self) -> float:
        """The smoothed seconds from sending a sub-query to its reply."""
        return self._sender.latency_s

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight, and no slot is requested."""
        is_busy = self._waiting or self._batches or self._slots.is_in_use
        return not is_busy

    @property
    def command_client(self) -> client.Client:
        """The HTTP client of the searcher, for commands and health checks."""
        return self._sender.client

    def submit(self, shard_attempt: attempt.Attempt, now: float) -> None:
        """Queue an attempt; batches are sent after the batch window."""
        self._last_used_at = now
        self._waiting.push(shard_attempt, now)
        if self._is_scheduled:
            return
        self._is_scheduled = True
        window_s = batch_window.window_s(
            self._capacity.batch_window_ms / _MS_PER_S,
            shard_attempt.deadline - now,
        )
        self._stalls.due_at = min(self._stalls.due_at, now + window_s)
        if window_s:
            _loop().call_later(window_s, self._dispatch_scheduled)
        else:
            _loop().call_soon(self._dispatch_scheduled)

    def is_current(
        self,
        searcher: host.Host,
        capacity: capacity_service.CapacityService,
    ) -> bool:
        """Tell whether the queue has this host record and this capacity."""
        is_same = searcher is self.host or searcher == self.host
        return is_same and capacity == self._capacity

    def update(
        self,
        searcher: host.Host,
        target: address.Address,
        capacity: capacity_service.CapacityService,
    ) -> None:
        """Apply a new address, state or capacity of the searcher.

        With a stale address work would go to a process that no longer
        exists, and shards would be unreachable until the node restarts.
        Batches in flight keep their connections and still count against the
        slots, so that a resize doesn't exceed them. Old connections close at
        once when idle, and busy ones after their request.
        """
        was_live = self.host.state == 'live'
        has_new_address = searcher.address != self.host.address
        is_resized = capacity != self._capacity
        self.host = searcher
        self._capacity = capacity
        self._sender.limit.resize(capacity.slots)
        is_live = searcher.state == 'live'
        self.state.apply_listing(
            is_live,
            has_new_address or not was_live,
            _loop().time(),
        )
        if has_new_address or is_resized:
            self._sender.reconnect(target, capacity)
        self._dispatch()

    async def close_idle_connections(self, now: float) -> None:
        """Close the connections once the queue is idle for three seconds.

        A searcher caps the connections of all nodes together. If each former
        owner kept its share open, the searcher would refuse connections of
        the current owner after a change of owners.
        """
        if self.is_idle and now - self._last_used_at > _IDLE_TIMEOUT_S:
            self._last_used_at = now
            await self.command_client.distrust_idle()

    def cancel(self, shard_attempt: attempt.Attempt) -> None:
        """Ask the searcher to cancel an attempt that is in flight."""
        self._sender.cancel(shard_attempt)

    @contextlib.asynccontextmanager
    async def slot(self, timeout_s: float) -> AsyncIterator[bool]:
        """Hold one slot for a command while the context is open.

        Yields whether a slot was granted within ``timeout_s`` seconds.
        """
        self._last_used_at = _loop().time()
        waiter = self._slots.request_slot()
        _loop().call_soon(self._dispatch)
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
            waiter.cancel()
            yield slot_waiters.has_slot(waiter)
        finally:
            self._slots.release(waiter)
            self._dispatch()

    @property
    def _free_slots(self) -> int:
        return (
            self._sender.limit.current - len(self._batches) - self._slots.held
        )

    def _dispatch_scheduled(self) -> None:
        self._is_scheduled = False
        self._record_stalls()
        self._dispatch()

    def _sweep(self) -> None:
        self._sweep_timer = None
        self._record_stalls()
        now = _loop().time()
        self._waiting.record_reply(self._sender.replied_at)
        interval_s = self._sender.rate.each_s(self._sender.limit.current)
        self._reply_rejected(self._waiting.reject_overdue(now, interval_s))
        self._dispatch()

    def _record_stalls(self) -> None:
        now = _loop().time()
        self._stalls.update(now)
        self._waiting.record_stalls(now, self._stalls.total_s)
        self._stalls.due_at = (
            self._sweep_timer.when() if self._sweep_timer else math.inf
        )

    def _reject_all(self) -> None:
        self._reply_rejected(self._waiting.reject_all())
        self._slots.reject_all()

    def _reply_rejected(
        self, rejected_work: list[given_up.RejectedAttempt]
    ) -> None:
        now = _loop().time()
        for rejected in rejected_work:
            reply = failed_reply.build(rejected.attempt, rejected.outcome)
            self._on_reply(rejected.attempt, reply, now)

    def _dispatch(self) -> None:
        if self.is_leaving:
            self._reject_all()
        self._slots.grant(self._free_slots)
        while self._waiting and self._free_slots > 0:
            batch = self._next_batch()
            if batch:
                task = _loop().create_task(self._sender.send(batch))
                self._batches.add(task)
                task.add_done_callback(self._on_batch_end)
        if self._waiting and self._sweep_timer is None:
            self._sweep_timer = _loop().call_later(
                _SWEEP_INTERVAL_S, self._sweep
            )
            self._stalls.due_at = min(
                self._stalls.due_at, self._sweep_timer.when()
            )

    def _on_batch_end(self, task: asyncio.Task[None]) -> None:
        self._batches.discard(task)
        self._dispatch()

    def _next_batch(self) -> list[attempt.Attempt]:
        attempts_per_slot = math.ceil(len(self._waiting) / self._free_slots)
        size = min(attempts_per_slot, self._capacity.max_batch)
        return self._waiting.pop_batch(size)


def _loop() -> asyncio.AbstractEventLoop:
    return asyncio.get_running_loop()
