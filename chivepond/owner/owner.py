"""The owner role: searches shards at the searchers that this node owns."""

import asyncio
import random
import types
from typing import Self

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
    searcher_queues,
    searcher_state,
    shard_progress,
)
from chivepond.wire import (
    owner_answer,
    owner_query,
    shard_outcome,
    sub_query,
    sub_reply,
)

_MS_PER_S = 1000
_INITIAL_HEDGE_DELAY_S = 0.03
_BUDGET_CAP = 20
_LOOK_S = 0.5

_Queues = list[searcher_queue.SearcherQueue]


class Owner:
    """Searches shards through one queue per searcher.

    Chooses replicas, hedges slow attempts and retries failed ones, both
    within budgets.
    """

    __slots__ = (
        '_configuration',
        '_hedge_budget',
        '_hedge_delay',
        '_queues',
        '_random',
        '_refresh_task',
        '_retry_budget',
    )

    def __init__(
        self,
        settings: configuration.Configuration,
        hosts: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Use the configuration and the host directory of this node."""
        self._configuration = settings
        self._random = rng
        self._queues = searcher_queues.SearcherQueues(
            settings,
            hosts,
            rng,
            self._on_reply,
        )
        self._refresh_task: asyncio.Task[None] | None = None
        self._hedge_delay = hedge_delay.HedgeDelay(_INITIAL_HEDGE_DELAY_S)
        self._hedge_budget = token_budget.TokenBudget(0, _BUDGET_CAP, 0)
        self._retry_budget = token_budget.TokenBudget(
            0,
            _BUDGET_CAP,
            _BUDGET_CAP,
        )

    async def __aenter__(self) -> Self:
        """Start the periodic refresh; queues open on first use."""
        self._refresh_task = asyncio.create_task(self._refresh_periodically())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Wait for batches in flight, then close all connections."""
        if self._refresh_task is not None:
            self._refresh_task.cancel()
            await asyncio.gather(self._refresh_task, return_exceptions=True)
        await self._queues.close()

    async def answer(
        self,
        query: owner_query.OwnerQuery,
    ) -> owner_answer.OwnerAnswer:
        """Search the shards of ``query``, and return by its deadline.

        Shards without a result are returned as missing, with a reason.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        deadline = now + query.remaining_ms / _MS_PER_S
        call = owner_call.OwnerCall(
            query,
            now,
            deadline,
            self._wait_share(query.service),
        )
        self._earn_budgets(query)
        for entry in query.shards:
            call.pending[entry.shard] = shard_progress.ShardProgress(
                replicas=entry.searchers,
                tried=[],
                attempts=[],
            )
        self._send_all(call, now)
        timers = (
            loop.call_at(deadline, call.finish),
            loop.call_at(now + self._hedge_delay.delay_s, self._hedge, call),
        )
        try:
            return self._with_draining(query, await call.answer())
        finally:
            for timer in timers:
                timer.cancel()

    def queue(self, searcher_id: str) -> searcher_queue.SearcherQueue | None:
        """Return the queue of a listed searcher, opened if need be, or None."""
        return self._queues.queue(searcher_id)

    def state_by_searcher(self) -> dict[str, str]:
        """Return the state of each searcher that has an open queue."""
        return self._queues.state_by_searcher()

    async def refresh(self, now: float) -> None:
        """Update all queues and searcher states from the current host list."""
        await self._queues.refresh(now)

    def _with_draining(
        self,
        query: owner_query.OwnerQuery,
        answer: owner_answer.OwnerAnswer,
    ) -> owner_answer.OwnerAnswer:
        """Add to the answer which searchers of the query drain or are gone."""
        searcher_ids = {
            searcher_id
            for entry in query.shards
            for searcher_id in entry.searchers
        }
        for searcher_id in sorted(searcher_ids):
            queue = self._queues.existing_queue(searcher_id)
            if queue is not None and queue.is_leaving:
                answer.draining.append(searcher_id)
        return answer

    async def _refresh_periodically(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_S)
            await self.refresh(asyncio.get_running_loop().time())

    def _wait_share(self, service: str) -> float:
        service_settings = self._configuration.service(service)
        if service_settings is None:
            return standing_queue.DEADLINE_SHARE
        return standing_queue.wait_share(service_settings.answer.when)

    def _earn_budgets(self, query: owner_query.OwnerQuery) -> None:
        capacity = self._configuration.capacity(query.service)
        self._hedge_budget.share = capacity.hedge_share
        self._retry_budget.share = capacity.retry_share
        self._hedge_budget.earn(len(query.shards))
        self._retry_budget.earn(len(query.shards))

    def _send_all(self, call: owner_call.OwnerCall, now: float) -> None:
        """Send each shard once, with one lookup per set of replicas.

        A search has hundreds of shards over a few sets of replicas. Between
        two shards only the queue lengths change, so that the usable replicas
        of a set are looked up once.
        """
        usable_by_replicas: dict[tuple[str, ...], _Queues] = {}
        for shard, progress in list(call.pending.items()):
            replicas = tuple(progress.replicas)
            usable = usable_by_replicas.get(replicas)
            if usable is None:
                usable = self._queues.usable(progress.replicas, [], now)
                usable_by_replicas[replicas] = usable
            self._send(call, shard, usable, now)

    def _send_to_next_replica(
        self, call: owner_call.OwnerCall, shard: str
    ) -> None:
        """Send a shard to a replica not tried yet, if there is one."""
        now = asyncio.get_running_loop().time()
        progress = call.pending[shard]
        usable = self._queues.usable(progress.replicas, progress.tried, now)
        self._send(call, shard, usable, now)

    def _send(
        self,
        call: owner_call.OwnerCall,
        shard: str,
        usable: _Queues,
        now: float,
    ) -> None:
        progress = call.pending[shard]
        if not usable:
            if not progress.in_flight:
                call.add_missing(
                    shard, progress.reason or shard_outcome.NO_REPLICA
                )
            return
        chosen_queue = replica_choice.choose(usable, self._random)
        query = call.query
        shard_attempt = attempt.Attempt(
            call,
            sub_query.SubQuery(
                call.sub_query_id,
                len(progress.tried),
                query.service,
                shard,
                query.index_version,
                query.query,
                query.limit,
                query.remaining_ms,
            ),
            chosen_queue.host.host_id,
            now,
        )
        progress.tried.append(chosen_queue.host.host_id)
        progress.attempts.append(shard_attempt)
        progress.in_flight += 1
        call.attempts += 1
        chosen_queue.submit(shard_attempt, now)

    def _hedge(self, call: owner_call.OwnerCall) -> None:
        for shard, progress in list(call.pending.items()):
            is_first = len(progress.tried) == 1 and progress.in_flight
            has_other = len(progress.replicas) > 1
            if is_first and has_other and self._hedge_budget.spend():
                self._send_to_next_replica(call, shard)

    def _on_reply(
        self,
        shard_attempt: attempt.Attempt,
        reply: sub_reply.SubReply,
        now: float,
    ) -> None:
        is_ok = reply.outcome == shard_outcome.OK
        if is_ok or reply.outcome == shard_outcome.UNREACHABLE:
            self._queues.observe(shard_attempt.searcher_id, not is_ok)
        call = shard_attempt.call
        progress = call.pending.get(reply.shard)
        if progress is None:
            return
        progress.in_flight -= 1
        if is_ok:
            self._hedge_delay.observe(now - shard_attempt.created_at)
            if progress.in_flight:
                self._cancel_others(shard_attempt, progress)
            call.add_covered(reply)
            return
        self._on_failure(shard_attempt, reply, progress)

    def _on_failure(
        self,
        shard_attempt: attempt.Attempt,
        reply: sub_reply.SubReply,
        progress: shard_progress.ShardProgress,
    ) -> None:
        progress.reason = reply.outcome
        self._update_searcher_state(shard_attempt, reply)
        if progress.in_flight:
            return
        if (
            reply.outcome == shard_outcome.DRAINING
            or self._retry_budget.spend()
        ):
            self._send_to_next_replica(shard_attempt.call, reply.shard)
        else:
            shard_attempt.call.add_missing(reply.shard, reply.outcome)

    def _update_searcher_state(
        self,
        shard_attempt: attempt.Attempt,
        reply: sub_reply.SubReply,
    ) -> None:
        queue = self._queues.existing_queue(shard_attempt.searcher_id)
        if queue is None:
            return
        state = queue.state
        match reply.outcome:
            case shard_outcome.DRAINING if state.is_serving:
                state.begin_drain(asyncio.get_running_loop().time())
            case shard_outcome.COLD if state.state == searcher_state.READY:
                state.restart(asyncio.get_running_loop().time())

    def _cancel_others(
        self,
        answered_attempt: attempt.Attempt,
        progress: shard_progress.ShardProgress,
    ) -> None:
        for other in progress.attempts:
            queue = self._queues.existing_queue(other.searcher_id)
            if other is not answered_attempt and queue is not None:
                queue.cancel(other)
