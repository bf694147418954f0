"""The way of a request that every shard answers a part of."""

import asyncio

import msgspec

from chivepond.decisions import gather_plan, gather_time, second_ask_time
from chivepond.gateway import link as links
from chivepond.gateway import (
    answer,
    gather_asks,
    gathered_answer,
    gathering,
    outcome,
    peer_message,
    peers,
    request_trace,
    service_ask,
)
from chivepond.gateway import search as searches
from chivepond.wire import gather_request

_OK = 200
_UNAVAILABLE = 503
#: How long after the answer was due a group is waited for before its reply
#: is asked for again, in seconds: delays of links vary by as much.
_PEER_LATE_S = 0.015
#: How long a reply that is asked for again may take, in seconds: the way to
#: any other gateway and back, and a new connection.
_AGAIN_S = 0.08
#: When to come back after a refusal in a rush, in seconds: the queues of
#: some hundred milliseconds are worked off by then.
_RUSH_RETRY_S = 0.6
#: What is left between the other gateway's reply and the answer, in seconds.
_PEER_MARGIN_S = 0.006


class GatheredRequest:
    """Serves one search with the help of other gateways."""

    __slots__ = ('_late', '_parts', '_peers', '_search', '_tools', '_trace')

    def __init__(
        self,
        search: searches.Search,
        tools: service_ask.AskTools,
        others: peers.Peers,
        late: second_ask_time.SecondAskTime,
        trace: request_trace.RequestTrace,
    ) -> None:
        """Ask nothing yet."""
        self._trace = trace
        self._search = search
        self._tools = tools
        self._peers = others
        self._late = late
        shards = search.target.shards
        coverage = gather_time.Coverage(len(shards), search.target.least_share)
        self._parts = gathering.Gathering(shards, coverage.needed)

    async def serve(self) -> answer.Answer:
        """Return the merged answer, or why there are too few parts."""
        best_place_by_shard = self._tools.searchers.best_places(
            self._search.target.shards,
        )
        for shard in self._search.target.shards:
            if shard not in best_place_by_shard:
                reason = 'no searcher is registered'
                self._parts.miss(shard, reason, has_run=False)
        if self._parts.settled.is_set():
            return gathered_answer.not_run(self._parts)
        if not self._tools.admission.admit():
            self._tools.telemetry.count('searches_turned_away', 'queues')
            return answer.refusal(
                _UNAVAILABLE,
                'too many searches wait',
                _RUSH_RETRY_S,
            )
        made = gather_plan.plan(best_place_by_shard, self._peers.helpers())
        with gather_asks.GatherAsks(
            self._parts,
            self._search.route,
            self._tools,
            self._late,
            self._trace,
        ) as asks:
            self._begin(made, asks)
            await asks.wait_all(self._search.answer_at)
            self._learn(made)
            await asks.wait_enough(self._search.deadline)
        return gathered_answer.of(self._search, self._parts)

    def _learn(self, made: gather_plan.GatherPlan) -> None:
        queued = sum(map(self._tools.searchers.is_queued, made.direct))
        queued += self._parts.queued
        self._tools.admission.learn(
            queued / len(self._parts.shards),
            is_on_time=self._parts.is_enough,
        )

    def _begin(
        self,
        made: gather_plan.GatherPlan,
        asks: gather_asks.GatherAsks,
    ) -> None:
        asks.ask(made.direct, self._search.request, self._search.deadline)
        for place, shards in made.shards_by_data_centre.items():
            asks.add(asyncio.create_task(self._ask_peer(place, shards, asks)))

    async def _ask_peer(
        self,
        place: str,
        shards: list[str],
        asks: gather_asks.GatherAsks,
    ) -> None:
        link = self._peers.choose(place)
        if link is None:
            self._ask_from_here(shards, asks)
            return
        self._trace.note(f'{len(shards)} shards: asked of {link.end.name}')
        began = asyncio.get_running_loop().time()
        way_s = self._peers.way_s(link.end.name)
        ended = await link.ask(
            peer_message.gather_message(self._gather_request(shards, way_s)),
            self._search.answer_at + _PEER_LATE_S,
        )
        if isinstance(ended, outcome.Broken):
            self._trace.note(f'{link.end.name}: {ended.reason}')
            ended = await self._ask_again(link)
        reply = _decoded(ended)
        if reply is not None:
            took_s = asyncio.get_running_loop().time() - began
            self._peers.learn_way(link.end.name, took_s - reply.took_s)
            self._take_group(reply, asks)
            if reply.has_more:
                await self._ask_more(link, shards)
            return
        match ended:
            case outcome.Broken(reason=reason):
                self._lose_group(shards, f'{link.end.name}: {reason}')
            case outcome.Reply(status=status) if status == _OK:
                self._lose_group(shards, f'{link.end.name}: unreadable')
            case _:
                self._ask_from_here(shards, asks)

    async def _ask_again(self, link: links.Link) -> outcome.Outcome:
        """Ask for a reply that did not come, on another connection.

        Guards against a packet that was lost: it shows as a gateway without
        a reply for the 200 ms until it is sent again, and cost the whole
        group. The gateway hands on what it has, or says that it never got
        the request; one that says neither in time is not waited for.
        """
        message = peer_message.more_message(
            self._search.request.request_id,
            has_reply=False,
        )
        until = asyncio.get_running_loop().time() + _AGAIN_S
        ended = await link.ask(message, min(until, self._search.deadline))
        match ended:
            case outcome.NotSent(reason=reason):
                # It may have run all the same: the first request was sent.
                return outcome.Broken(reason)
            case _:
                return ended

    async def _ask_more(self, link: links.Link, shards: list[str]) -> None:
        """Wait for parts that are late, where an answer needs them."""
        message = peer_message.more_message(
            self._search.request.request_id,
            has_reply=True,
        )
        ended = await link.ask(message, self._search.deadline)
        reply = _decoded(ended)
        if reply is None:
            open_shards = self._parts.open_among(shards)
            self._lose_group(open_shards, f'{link.end.name}: no more came')
        else:
            self._parts.take_group(reply)

    def _gather_request(
        self,
        shards: list[str],
        way_s: float,
    ) -> gather_request.GatherRequest:
        search = self._search
        now = asyncio.get_running_loop().time()
        return gather_request.GatherRequest(
            request_id=search.request.request_id,
            head=search.request.head,
            body=search.request.body,
            route=search.route.name,
            shards=shards,
            least_share=search.target.least_share,
            top_count=search.target.top_count,
            max_attempts=search.route.max_attempts,
            answer_in_s=search.answer_at - now - way_s - _PEER_MARGIN_S,
            left_s=search.deadline - now,
            target_latency_s=search.route.target_latency_s,
        )

    def _take_group(
        self,
        reply: gather_request.GatherReply,
        asks: gather_asks.GatherAsks,
    ) -> None:
        self._parts.take_group(reply)
        self._ask_from_here(reply.unasked, asks)
        self._trace.note(f'a group came after {reply.took_s:.3f} s of work')

    def _lose_group(self, shards: list[str], reason: str) -> None:
        """Go without a group whose gateway fell silent.

        Guards against more attempts than the route allows: the other gateway
        may have asked two searchers for each shard before it fell silent,
        and a third would run the request once too often.
        """
        self._trace.note(f'lost {len(shards)} shards: {reason}')
        for shard in shards:
            self._parts.miss(shard, reason, has_run=True)

    def _ask_from_here(
        self,
        shards: list[str],
        asks: gather_asks.GatherAsks,
    ) -> None:
        asks.ask(shards, self._search.request, self._search.deadline)


def _decoded(ended: outcome.Outcome) -> gather_request.GatherReply | None:
    """Return what another gateway gathered, where its reply says so."""
    match ended:
        case outcome.Reply(status=status, body=body) if status == _OK:
            try:
                return msgspec.msgpack.decode(
                    body,
                    type=gather_request.GatherReply,
                )
            except msgspec.DecodeError:
                return None
        case _:
            return None
