"""A search on some shards that this gateway runs for another gateway."""

import asyncio
import contextlib

from chivepond.decisions import gather_time, hedge_timing
from chivepond.gateway import (
    forwarded_request,
    merge,
    request_trace,
    routing_table,
    shard_requests,
    shard_results,
    shutdown,
    upstream_request,
)
from chivepond.wire import gather_request


class PendingSearch:
    """Requests the shards, and returns the result of each shard once.

    It may continue after its first reply.
    """

    __slots__ = (
        '_gather_request',
        '_request',
        '_requests',
        '_started_at',
        '_shard_results',
        '_sent_shards',
        '_context',
        'trace',
        'hold_count',
    )

    def __init__(
        self,
        gather: gather_request.GatherRequest,
        context: upstream_request.RequestContext,
        timing: hedge_timing.HedgeTiming,
    ) -> None:
        """Start the requests to the shards."""
        clock = asyncio.get_running_loop().time
        self._gather_request = gather
        self._context = context
        self._started_at = clock()
        self._sent_shards: set[str] = set()
        #: How often the search was stored for a further request.
        self.hold_count = 0
        self.trace = request_trace.RequestTrace(clock, self._started_at)
        coverage = gather_time.Coverage(len(gather.shards), gather.least_share)
        self._shard_results = shard_results.ShardResults(
            tuple(gather.shards),
            coverage,
        )
        self._requests = shard_requests.ShardRequests(
            self._shard_results,
            _route(gather),
            context,
            timing,
            self.trace,
        )
        self._request = forwarded_request.ForwardedRequest(
            gather.request_id,
            gather.head,
            gather.body,
            is_head=False,
        )
        context.crash_watch.follow(self._request)
        times = upstream_request.Times(
            self._started_at + gather.answer_in_s,
            self._started_at + gather.left_s,
        )
        self._requests.start(gather.shards, self._request, times)

    def end(self, *, is_answered: bool) -> None:
        """Stop the requests; see ``ShardRequests.end``."""
        self._requests.end(is_answered=is_answered)

    async def first_reply(self) -> gather_request.GatherReply:
        """Return the results when the answer is due, or earlier if complete."""
        async with self._limit() as limit:
            await self._requests.wait_all(
                self._started_at + self._gather_request.answer_in_s
            )
        if limit.is_expired:
            self._requests.give_up(shutdown.REASON)
        return self._reply()

    def repeat_reply(self) -> gather_request.GatherReply:
        """Return all results so far, including those already returned."""
        self._sent_shards.clear()
        return self._reply()

    async def next_reply(self) -> gather_request.GatherReply:
        """Return new results; wait for the next one if there are none.

        Guards against a shard of the group that never replies: waiting for
        the whole group delayed results that would have completed the search.
        """
        self._requests.start_fallbacks()
        async with self._limit() as limit:
            await self._wait_next_result()
        if limit.is_expired:
            self._requests.give_up(shutdown.REASON)
        return self._reply()

    def missing(self) -> dict[str, str]:
        """Return the reason for each missing shard."""
        return self._shard_results.missing_reasons()

    def _limit(self) -> shutdown.RequestLimit:
        return self._context.shutdown.limit(shutdown.PEER_MARGIN_S)

    async def _wait_next_result(self) -> None:
        """Wait for a result that was not sent, until the client's deadline."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(
                self._started_at + self._gather_request.left_s
            ):
                await self._wait_unsent_result()

    async def _wait_unsent_result(self) -> None:
        collected = self._shard_results
        while self._sent_shards >= collected.signature_by_shard.keys():
            if not (
                collected.shed or collected.pending_among(collected.shards)
            ):
                return
            collected.changed.clear()
            await collected.changed.wait()

    def _reply(self) -> gather_request.GatherReply:
        collected = self._shard_results
        has_more = bool(
            collected.shed or collected.pending_among(collected.shards)
        )
        new_signatures = {
            shard: signature
            for shard, signature in collected.signature_by_shard.items()
            if shard not in self._sent_shards
        }
        self._sent_shards.update(new_signatures)
        # Bodies are in the order of the signatures, so the new ones are last.
        bodies = collected.bodies[len(collected.bodies) - len(new_signatures) :]
        reasons = (
            collected.reason_by_shard
            if has_more
            else collected.missing_reasons()
        )
        return gather_request.GatherReply(
            records=merge.greatest(bodies, self._gather_request.top_count),
            signature_by_shard=new_signatures,
            reason_by_shard=reasons,
            took_s=asyncio.get_running_loop().time() - self._started_at,
            unasked=collected.unasked,
            has_more=has_more,
            queued=sum(
                map(self._context.selection.is_queued, collected.shards)
            ),
            may_have_run=self._request.may_have_run,
            shed=list(collected.shed),
            gather_id=self._gather_request.gather_id,
        )


def _route(gather: gather_request.GatherRequest) -> routing_table.Route:
    return routing_table.Route(
        name=gather.route,
        host=b'',
        prefix=b'',
        target=routing_table.AllShards(
            tuple(gather.shards),
            gather.top_count,
            gather.least_share,
        ),
        is_idempotent=True,
        timeout_s=gather.left_s,
        target_latency_s=gather.target_latency_s,
        max_attempts=gather.max_attempts,
        priority=0,
    )
