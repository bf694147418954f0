"""A gather for another gateway, which may go on after its first reply."""

import asyncio

from chivepond.decisions import gather_time, hedge_timing
from chivepond.gateway import (
    forwarded_request,
    merge,
    request_trace,
    routing_table,
    search_parts,
    shard_requests,
    upstream_request,
)
from chivepond.wire import gather_request


class PendingSearch:
    """Asks the shards; tells what is in, each part once."""

    __slots__ = (
        '_asked',
        '_asks',
        '_began',
        '_parts',
        '_told',
        '_tools',
        'trace',
        'turn',
    )

    def __init__(
        self,
        asked: gather_request.GatherRequest,
        tools: upstream_request.RequestTools,
        late: hedge_timing.HedgeTiming,
    ) -> None:
        """Begin to ask."""
        clock = asyncio.get_running_loop().time
        self._asked = asked
        self._tools = tools
        self._began = clock()
        self._told: set[str] = set()
        #: How often it was held for another ask.
        self.turn = 0
        self.trace = request_trace.RequestTrace(clock, self._began)
        coverage = gather_time.Coverage(len(asked.shards), asked.least_share)
        self._parts = search_parts.SearchParts(
            tuple(asked.shards),
            coverage,
        )
        self._asks = shard_requests.ShardRequests(
            self._parts,
            _route(asked),
            tools,
            late,
            self.trace,
        )
        request = forwarded_request.ForwardedRequest(
            asked.request_id,
            asked.head,
            asked.body,
            is_head=False,
        )
        tools.crash_watch.follow(request)
        times = upstream_request.Times(
            self._began + asked.answer_in_s,
            self._began + asked.left_s,
        )
        self._asks.ask(asked.shards, request, times)

    def end(self, *, is_answered: bool) -> None:
        """Ask no more; see ``GatherAsks``."""
        self._asks.end(is_answered=is_answered)

    async def first(self) -> gather_request.GatherReply:
        """Return what is in when the answer is due, or all before that."""
        await self._asks.wait_all(self._began + self._asked.answer_in_s)
        return self._reply()

    def again(self) -> gather_request.GatherReply:
        """Return all that is in now, told or not."""
        self._told.clear()
        return self._reply()

    async def more(self) -> gather_request.GatherReply:
        """Return what came since; wait for the next part where none did.

        Guards against a shard of the group that stays out: waiting for the
        whole group kept back parts by which the search would have enough.
        """
        self._asks.begin_fallbacks()
        try:
            async with asyncio.timeout_at(self._began + self._asked.left_s):
                await self._next_part()
        except TimeoutError:
            return self._reply()
        return self._reply()

    def missing(self) -> dict[str, str]:
        """Return why each shard is missing."""
        return self._parts.why_missing()

    async def _next_part(self) -> None:
        parts = self._parts
        while self._told >= parts.signature_by_shard.keys():
            if not (parts.shed or parts.open_among(parts.shards)):
                return
            parts.changed.clear()
            await parts.changed.wait()

    def _reply(self) -> gather_request.GatherReply:
        parts = self._parts
        has_more = bool(parts.shed or parts.open_among(parts.shards))
        new = {
            shard: signature
            for shard, signature in parts.signature_by_shard.items()
            if shard not in self._told
        }
        self._told.update(new)
        # Bodies come in the order of signatures, and the last ones are new.
        bodies = parts.bodies[len(parts.bodies) - len(new) :]
        lost = parts.reason_by_shard if has_more else parts.why_missing()
        return gather_request.GatherReply(
            records=merge.greatest(bodies, self._asked.top_count),
            signature_by_shard=new,
            reason_by_shard=lost,
            took_s=asyncio.get_running_loop().time() - self._began,
            unasked=parts.unasked,
            has_more=has_more,
            queued=sum(map(self._tools.selection.is_queued, parts.shards)),
            may_have_run=parts.may_have_run,
            shed=list(parts.shed),
        )


def _route(asked: gather_request.GatherRequest) -> routing_table.Route:
    return routing_table.Route(
        name=asked.route,
        host=b'',
        prefix=b'',
        target=routing_table.AllShards(
            tuple(asked.shards),
            asked.top_count,
            asked.least_share,
        ),
        is_idempotent=True,
        timeout_s=asked.left_s,
        target_latency_s=asked.target_latency_s,
        max_attempts=asked.max_attempts,
        priority=0,
    )
