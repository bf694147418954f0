"""Serves searches: fans requests out over shards and merges the results."""

from chivepond.decisions import (
    gather_plan,
    gather_time,
    hedge_timing,
    searcher_choice,
)
from chivepond.gateway import (
    client_response,
    delegated_shards,
    group_request,
    peers,
    request_trace,
    search_response,
    shard_requests,
    shard_results,
    upstream_request,
)
from chivepond.gateway import search as searches
from chivepond.settings import mechanism

_UNAVAILABLE = 503
#: Retry-After when searches are refused because of overload, in seconds. By
#: then the searchers have processed queues of some hundred milliseconds.
_OVERLOAD_RETRY_S = 0.6


class ScatterGather:
    """Serves one search, with other gateways where that is faster."""

    __slots__ = ('_timing', '_context')

    def __init__(
        self,
        search: searches.Search,
        request_context: upstream_request.RequestContext,
        gateways: peers.Peers,
        timing: hedge_timing.HedgeTiming,
        trace: request_trace.RequestTrace,
    ) -> None:
        """Prepare the search; ``serve`` sends the requests."""
        self._timing = timing
        shards = search.target.shards
        coverage = gather_time.Coverage(len(shards), search.target.least_share)
        self._context = group_request.SearchContext(
            search=search,
            shard_results=shard_results.ShardResults(shards, coverage),
            request_context=request_context,
            others=gateways,
            trace=trace,
        )

    async def serve(self) -> client_response.ClientResponse:
        """Return the merged response, or an error if too few shards reply.

        Refuses the search with 503 if too many searches are queued.
        """
        context = self._context
        locations_by_shard = self._find_locations()
        if context.shard_results.settled.is_set():
            return search_response.not_run(context.shard_results)
        if not self._is_admitted():
            context.request_context.telemetry.count(
                'searches_turned_away', 'queues'
            )
            return client_response.refusal(
                _UNAVAILABLE,
                'too many searches are queued',
                _OVERLOAD_RETRY_S,
            )
        search_plan = gather_plan.plan(
            locations_by_shard,
            context.others.aggregator_data_centres(),
            context.request_context.switches,
        )
        with shard_requests.ShardRequests(
            context.shard_results,
            context.search.route,
            context.request_context,
            self._timing,
            context.trace,
        ) as requests:
            async with context.request_context.shutdown.limit() as limit:
                self._start_requests(search_plan, requests)
                await requests.wait_all(self._answer_at())
                self._update_admission(search_plan)
                await requests.wait_enough(context.search.deadline)
        if limit.is_expired:
            return search_response.interrupted(
                context.search, context.shard_results
            )
        return search_response.of(context.search, context.shard_results)

    def _is_admitted(self) -> bool:
        request_context = self._context.request_context
        if request_context.switches.is_on(mechanism.Mechanism.SEARCH_ADMISSION):
            return request_context.admission.admit()
        return True

    def _answer_at(self) -> float:
        search = self._context.search
        is_on = self._context.request_context.switches.is_on(
            mechanism.Mechanism.TARGET_ANSWER,
        )
        return search.answer_at if is_on else search.deadline

    def _find_locations(self) -> dict[str, list[searcher_choice.QueryLocation]]:
        """Return where each shard has searchers.

        Marks shards without any searcher as missing.
        """
        shards = self._context.search.target.shards
        locations = self._context.request_context.selection.query_locations(
            shards,
            self._context.search.route.target_latency_s,
        )
        for shard in shards:
            if shard not in locations:
                reason = 'no searcher is registered'
                self._context.shard_results.mark_missing(
                    shard, reason, has_run=False
                )
        return locations

    def _start_requests(
        self,
        search_plan: gather_plan.GatherPlan,
        requests: shard_requests.ShardRequests,
    ) -> None:
        delegated = delegated_shards.DelegatedShards(self._context, requests)
        delegated.start(search_plan.direct)
        for data_centre, shards in search_plan.shards_by_data_centre.items():
            channel = self._context.others.choose_aggregator(data_centre)
            if channel is None:
                delegated.start(shards)
            else:
                requests.start_group(
                    group_request.GroupRequest(
                        self._context,
                        channel,
                        shards,
                        requests,
                        delegated.start_moved,
                    ),
                )

    def _update_admission(self, search_plan: gather_plan.GatherPlan) -> None:
        context = self._context
        queued = sum(
            map(context.request_context.selection.is_queued, search_plan.direct)
        )
        queued += context.shard_results.queued
        context.request_context.admission.learn(
            queued / len(context.shard_results.shards),
            is_on_time=context.shard_results.is_enough,
        )
