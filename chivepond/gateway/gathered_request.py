"""The way of a request that every shard answers a part of."""

from chivepond.decisions import (
    gather_plan,
    gather_time,
    searcher_choice,
    second_ask_time,
)
from chivepond.gateway import (
    answer,
    delegated_shards,
    gather_asks,
    gathered_answer,
    gathering,
    group_ask,
    peers,
    request_trace,
    service_ask,
)
from chivepond.gateway import search as searches
from chivepond.settings import mechanism

_UNAVAILABLE = 503
#: When to come back after a refusal in a rush, in seconds: the queues of
#: some hundred milliseconds are worked off by then.
_RUSH_RETRY_S = 0.6


class GatheredRequest:
    """Serves one search with the help of other gateways."""

    __slots__ = ('_late', '_work')

    def __init__(
        self,
        search: searches.Search,
        tools: service_ask.AskTools,
        others: peers.Peers,
        late: second_ask_time.SecondAskTime,
        trace: request_trace.RequestTrace,
    ) -> None:
        """Ask nothing yet."""
        self._late = late
        shards = search.target.shards
        coverage = gather_time.Coverage(len(shards), search.target.least_share)
        self._work = group_ask.SearchWork(
            search=search,
            parts=gathering.Gathering(shards, coverage),
            tools=tools,
            others=others,
            trace=trace,
        )

    async def serve(self) -> answer.Answer:
        """Return the merged answer, or why there are too few parts."""
        work = self._work
        places_by_shard = self._places()
        if work.parts.settled.is_set():
            return gathered_answer.not_run(work.parts)
        if not self._is_let_in():
            work.tools.telemetry.count('searches_turned_away', 'queues')
            return answer.refusal(
                _UNAVAILABLE,
                'too many searches wait',
                _RUSH_RETRY_S,
            )
        made = gather_plan.plan(
            places_by_shard,
            work.others.helpers(),
            work.tools.switches,
        )
        with gather_asks.GatherAsks(
            work.parts,
            work.search.route,
            work.tools,
            self._late,
            work.trace,
        ) as asks:
            self._begin(made, asks)
            await asks.wait_all(self._answer_at())
            self._learn(made)
            await asks.wait_enough(work.search.deadline)
        return gathered_answer.of(work.search, work.parts)

    def _is_let_in(self) -> bool:
        tools = self._work.tools
        if tools.switches.is_on(mechanism.Mechanism.SEARCH_ADMISSION):
            return tools.admission.admit()
        return True

    def _answer_at(self) -> float:
        search = self._work.search
        is_on = self._work.tools.switches.is_on(
            mechanism.Mechanism.TARGET_ANSWER,
        )
        return search.answer_at if is_on else search.deadline

    def _places(self) -> dict[str, list[searcher_choice.Place]]:
        """Return where each shard may be asked; note those without any."""
        shards = self._work.search.target.shards
        found = self._work.tools.selection.places(
            shards,
            self._work.search.route.target_latency_s,
        )
        for shard in shards:
            if shard not in found:
                reason = 'no searcher is registered'
                self._work.parts.miss(shard, reason, has_run=False)
        return found

    def _begin(
        self,
        made: gather_plan.GatherPlan,
        asks: gather_asks.GatherAsks,
    ) -> None:
        otherwise = delegated_shards.DelegatedShards(self._work, asks).ask
        otherwise(made.direct)
        for place, shards in made.shards_by_data_centre.items():
            link = self._work.others.choose(place)
            if link is None:
                otherwise(shards)
            else:
                asks.ask_group(
                    group_ask.GroupAsk(
                        self._work,
                        link,
                        shards,
                        asks,
                        otherwise,
                    ),
                )

    def _learn(self, made: gather_plan.GatherPlan) -> None:
        work = self._work
        queued = sum(map(work.tools.selection.is_queued, made.direct))
        queued += work.parts.queued
        work.tools.admission.learn(
            queued / len(work.parts.shards),
            is_on_time=work.parts.is_enough,
        )
