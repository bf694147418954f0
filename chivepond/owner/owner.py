"""The owner role: serves the searchers of this data centre that it owns."""

import asyncio
import contextlib
import random
import types
from typing import Self

import result

from chivepond.control import configuration, directory
from chivepond.decisions import (
    hedge_delay,
    replica_choice,
    standing_queue,
    token_budget,
)
from chivepond.owner import (
    attempt,
    owner_call,
    searcher_queue,
    searcher_state,
    searcher_watch,
    shard_progress,
)
from chivepond.settings import capacity_service
from chivepond.transport import address
from chivepond.wire import (
    attempt_ref,
    host,
    owner_answer,
    owner_query,
    shard_outcome,
    sub_query,
    sub_reply,
)

_MS_PER_S = 1000
_FIRST_HEDGE_DELAY_S = 0.03
_BUDGET_CAP = 20
_LOOK_S = 0.5


class Owner:
    """Answers for shards, from the searchers that are asked through it."""

    __slots__ = (
        '_configuration',
        '_directory',
        '_hedge_budget',
        '_hedge_delay',
        '_queue_by_searcher',
        '_looks',
        '_random',
        '_retry_budget',
        '_watch',
    )

    def __init__(
        self,
        settings: configuration.Configuration,
        hosts: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Follow the configuration and the view of this node."""
        self._configuration = settings
        self._directory = hosts
        self._random = rng
        self._queue_by_searcher: dict[str, searcher_queue.SearcherQueue] = {}
        self._looks: asyncio.Task[None] | None = None
        self._watch = searcher_watch.SearcherWatch(hosts, rng)
        self._hedge_delay = hedge_delay.HedgeDelay(_FIRST_HEDGE_DELAY_S)
        self._hedge_budget = token_budget.TokenBudget(0, _BUDGET_CAP, 0)
        self._retry_budget = token_budget.TokenBudget(
            0,
            _BUDGET_CAP,
            _BUDGET_CAP,
        )

    async def __aenter__(self) -> Self:
        """Return the owner; queues open when they are needed."""
        self._looks = asyncio.create_task(self._look_always())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End the work in flight and close all connections."""
        if self._looks is not None:
            self._looks.cancel()
            await asyncio.gather(self._looks, return_exceptions=True)
        async with contextlib.AsyncExitStack() as queues:
            for found in self._queue_by_searcher.values():
                queues.push_async_exit(found)

    async def answer(
        self,
        query: owner_query.OwnerQuery,
    ) -> owner_answer.OwnerAnswer:
        """Search some shards; never later than the query has time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        deadline = now + query.remaining_ms / _MS_PER_S
        call = owner_call.OwnerCall(
            query,
            now,
            deadline,
            self._wait_share(query.service),
        )
        self._budget_for(query)
        for entry in query.shards:
            call.pending[entry.shard] = shard_progress.ShardProgress(
                replicas=entry.searchers,
                tried=[],
            )
        for shard in list(call.pending):
            self._try_next(call, shard)
        timers = (
            loop.call_at(deadline, call.finish),
            loop.call_at(now + self._hedge_delay.delay_s, self._hedge, call),
        )
        try:
            return await call.answer()
        finally:
            for timer in timers:
                timer.cancel()

    def queue(self, searcher_id: str) -> searcher_queue.SearcherQueue | None:
        """Return the queue of a searcher of this data centre, if known."""
        found = self._queue_by_searcher.get(searcher_id)
        searcher = self._directory.view.searcher_by_id.get(searcher_id)
        if searcher is None:
            return None
        if found is None:
            return self._open(searcher)
        capacity = self._configuration.capacity(searcher.service)
        if not found.is_current(searcher, capacity):
            self._update(found, searcher, capacity)
        return found

    async def look(self, now: float) -> None:
        """Bring the queues up to date with what is known at ``now``."""
        for searcher_id in list(self._queue_by_searcher):
            self.queue(searcher_id)
        await self._watch.look(list(self._queue_by_searcher.values()), now)

    def _update(
        self,
        found: searcher_queue.SearcherQueue,
        searcher: host.Host,
        capacity: capacity_service.CapacityService,
    ) -> None:
        match address.parse(searcher.address):
            case result.Ok(target):
                found.adopt(searcher, target, capacity)

    async def _look_always(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_S)
            await self.look(asyncio.get_running_loop().time())

    def _open(
        self,
        searcher: host.Host,
    ) -> searcher_queue.SearcherQueue | None:
        match address.parse(searcher.address):
            case result.Ok(target):
                opened = searcher_queue.SearcherQueue(
                    searcher,
                    target,
                    self._configuration.capacity(searcher.service),
                    self._on_reply,
                )
                self._queue_by_searcher[searcher.host_id] = opened
                return opened
        return None

    def _wait_share(self, service: str) -> float:
        found = self._configuration.service(service)
        if found is None:
            return standing_queue.DEADLINE_SHARE
        return standing_queue.wait_share(found.answer.when)

    def _budget_for(self, query: owner_query.OwnerQuery) -> None:
        capacity = self._configuration.capacity(query.service)
        self._hedge_budget.share = capacity.hedge_share
        self._retry_budget.share = capacity.retry_share
        self._hedge_budget.earn(len(query.shards))
        self._retry_budget.earn(len(query.shards))

    def _try_next(self, call: owner_call.OwnerCall, shard: str) -> bool:
        """Send a shard to a replica not tried yet; tell whether one was."""
        progress = call.pending[shard]
        chosen = self._choose(progress)
        if chosen is None:
            if not progress.in_flight:
                call.miss(shard, progress.reason or shard_outcome.NO_REPLICA)
            return False
        query = call.query
        one = attempt.Attempt(
            call,
            sub_query.SubQuery(
                request_id=query.request_id,
                attempt=len(progress.tried),
                service=query.service,
                shard=shard,
                index_version=query.index_version,
                query=query.query,
                limit=query.limit,
                remaining_ms=query.remaining_ms,
            ),
            chosen.host.host_id,
            asyncio.get_running_loop().time(),
        )
        progress.tried.append(chosen.host.host_id)
        progress.in_flight += 1
        call.attempts += 1
        chosen.submit(one)
        return True

    def _choose(
        self,
        progress: shard_progress.ShardProgress,
    ) -> searcher_queue.SearcherQueue | None:
        queue_by_id = {}
        for searcher_id in progress.replicas:
            found = self.queue(searcher_id)
            is_new = searcher_id not in progress.tried
            if found is not None and is_new and not found.is_leaving:
                queue_by_id[searcher_id] = found
        if not queue_by_id:
            return None
        queue_by_id = _without_ejected(queue_by_id)
        now = asyncio.get_running_loop().time()
        chosen = replica_choice.choose(
            [
                replica_choice.Candidate(
                    searcher_id=searcher_id,
                    outstanding=found.outstanding,
                    latency_s=found.latency_s,
                    weight=found.state.weight(now) * found.trust.weight(now),
                )
                for searcher_id, found in queue_by_id.items()
            ],
            self._random,
        )
        return queue_by_id[chosen.searcher_id]

    def _hedge(self, call: owner_call.OwnerCall) -> None:
        for shard, progress in list(call.pending.items()):
            is_first = len(progress.tried) == 1 and progress.in_flight
            has_other = len(progress.replicas) > 1
            if is_first and has_other and self._hedge_budget.spend():
                self._try_next(call, shard)

    def _on_reply(
        self,
        one: attempt.Attempt,
        reply: sub_reply.SubReply,
    ) -> None:
        self._observe(one, reply)
        call = one.call
        progress = call.pending.get(reply.shard)
        if progress is None:
            return
        progress.in_flight -= 1
        if reply.outcome == shard_outcome.OK:
            now = asyncio.get_running_loop().time()
            self._hedge_delay.observe(now - one.created_at)
            self._cancel_others(call, reply, progress)
            call.cover(reply)
            return
        self._failed(one, reply, progress)

    def _observe(
        self,
        one: attempt.Attempt,
        reply: sub_reply.SubReply,
    ) -> None:
        has_failed = reply.outcome == shard_outcome.UNREACHABLE
        if has_failed or reply.outcome == shard_outcome.OK:
            self._watch.observe(
                one.sub_query.service,
                one.searcher_id,
                has_failed,
            )

    def _failed(
        self,
        one: attempt.Attempt,
        reply: sub_reply.SubReply,
        progress: shard_progress.ShardProgress,
    ) -> None:
        progress.reason = reply.outcome
        self._follow_state(one, reply)
        if progress.in_flight:
            return
        if (
            reply.outcome == shard_outcome.DRAINING
            or self._retry_budget.spend()
        ):
            self._try_next(one.call, reply.shard)
        else:
            one.call.miss(reply.shard, reply.outcome)

    def _follow_state(
        self,
        one: attempt.Attempt,
        reply: sub_reply.SubReply,
    ) -> None:
        state = self._queue_by_searcher[one.searcher_id].state
        match reply.outcome:
            case shard_outcome.DRAINING if state.is_serving:
                state.begin_drain(asyncio.get_running_loop().time())
            case shard_outcome.COLD if state.state == searcher_state.READY:
                state.restart(asyncio.get_running_loop().time())

    def _cancel_others(
        self,
        call: owner_call.OwnerCall,
        reply: sub_reply.SubReply,
        progress: shard_progress.ShardProgress,
    ) -> None:
        if not progress.in_flight:
            return
        for number, searcher_id in enumerate(progress.tried):
            if number != reply.attempt:
                self._queue_by_searcher[searcher_id].cancel(
                    attempt_ref.AttemptRef(
                        request_id=call.query.request_id,
                        attempt=number,
                        shard=reply.shard,
                    ),
                )


def _without_ejected(
    queue_by_id: dict[str, searcher_queue.SearcherQueue],
) -> dict[str, searcher_queue.SearcherQueue]:
    """Leave the ejected out, unless nobody else has the shard."""
    well = {
        searcher_id: found
        for searcher_id, found in queue_by_id.items()
        if found.state.state != searcher_state.EJECTED
    }
    return well or queue_by_id
