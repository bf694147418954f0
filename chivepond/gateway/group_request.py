"""Asks another gateway for a group of a search's shards."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from chivepond.gateway import (
    outcome,
    peer_message,
    peers,
    request_trace,
    search_parts,
    shard_requests,
    upstream_request,
)
from chivepond.gateway import link as links
from chivepond.gateway import search as searches
from chivepond.settings import mechanism
from chivepond.wire import gather_request

_OK = 200
#: How long after the answer was due a group is waited for before its reply
#: is asked for again, in seconds: delays of links vary by as much.
_LATE_S = 0.015
#: How long a reply that is asked for again may take, in seconds: the way to
#: any other gateway and back, and a new connection.
_AGAIN_S = 0.08

Exchange = asyncio.Task[outcome.Outcome]


@dataclasses.dataclass(slots=True)
class SearchWork:
    """What the parts of one search's way share."""

    search: searches.Search
    parts: search_parts.SearchParts
    tools: upstream_request.RequestTools
    others: peers.Peers
    trace: request_trace.RequestTrace


class GroupRequest:
    """One group of shards at one gateway, from the ask to the last part."""

    __slots__ = (
        '_asks',
        '_ask_otherwise',
        '_exchanges',
        'is_left_running',
        '_link',
        '_shards',
        '_work',
    )

    def __init__(
        self,
        work: SearchWork,
        link: links.Link,
        shards: list[str],
        asks: shard_requests.ShardRequests,
        ask_otherwise: Callable[[Iterable[str]], None],
    ) -> None:
        """Ask nothing yet.

        ``ask_otherwise`` takes shards that the other gateway did not ask.
        """
        self._work = work
        self._ask_otherwise = ask_otherwise
        self._link = link
        self._shards = shards
        self._asks = asks
        self._exchanges: set[Exchange] = set()
        self.is_left_running = False

    async def run(self) -> None:
        """Take the group's parts, or what became of them."""
        name = self._link.end.name
        self._work.trace.note(f'{len(self._shards)} shards: asked of {name}')
        try:
            self._take(await self._first_reply())
        finally:
            self._let_go()

    async def more(self) -> None:
        """Take parts that came after the first reply, one by one."""
        parts = self._work.parts
        message = peer_message.more_message(
            self._work.search.request.request_id,
            has_reply=True,
        )
        has_more = True
        while has_more and not parts.settled.is_set():
            ended = await self._link.ask(message, self._work.search.deadline)
            reply = _decoded(ended)
            if reply is None:
                open_shards = parts.open_among(self._shards)
                self._lose(open_shards, 'no more came')
                return
            parts.take_group(reply)
            has_more = reply.has_more

    def leave_running(self) -> None:
        """Let exchanges end by themselves where this is cancelled.

        Guards against a connection that is ended with each answer that does
        not wait for this group: the next search opens a new one, which takes
        one more way there and back, and its group comes too late again. 57
        of 187 searches of five seconds were late so.
        """
        self.is_left_running = self._work.tools.switches.is_on(
            mechanism.Mechanism.KEPT_GROUPS,
        )

    def may_repeat(self) -> bool:
        """Tell whether a reply that is late is asked for once more."""
        return self._work.tools.switches.is_on(
            mechanism.Mechanism.REPEATED_GROUPS,
        )

    async def _first_reply(self) -> outcome.Outcome:
        search = self._work.search
        late_at = search.answer_at + _LATE_S
        message = peer_message.GatherMessage(
            self._request(),
            search.answer_at - self._work.others.slow_way_s(self._name),
        )
        until = min(late_at + _AGAIN_S, search.deadline)
        first = self._begin(self._link.ask(message, until))
        await _wait_until(first, late_at if self.may_repeat() else until)
        if first.done():
            ended = first.result()
        else:
            self._work.trace.note(f'{self._name}: no reply in time')
            ended = await self._either(first, self._begin(self._ask_again()))
        self._learn_way(message, ended)
        return ended

    async def _either(
        self,
        first: Exchange,
        again: Exchange,
    ) -> outcome.Outcome:
        """Return the reply of either; the second's end where none has one."""
        pending = {first, again}
        while pending:
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for exchange in done:
                ended = exchange.result()
                if _decoded(ended) is not None:
                    return ended
        return again.result()

    async def _ask_again(self) -> outcome.Outcome:
        """Ask for a reply that did not come, on another connection.

        Guards against a packet that was lost: it shows as a gateway without
        a reply for the 200 ms until it is sent again, and cost the whole
        group. The gateway hands on what it has, or says that it never got
        the request; one that says neither in time is not waited for.
        """
        message = peer_message.more_message(
            self._work.search.request.request_id,
            has_reply=False,
        )
        until = asyncio.get_running_loop().time() + _AGAIN_S
        ended = await self._link.ask(
            message,
            min(until, self._work.search.deadline),
        )
        match ended:
            case outcome.NotSent(reason=reason):
                # It may have run all the same: the first request was sent.
                return outcome.Broken(reason)
            case _:
                return ended

    def _take(self, ended: outcome.Outcome) -> None:
        reply = _decoded(ended)
        if reply is not None:
            self._take_reply(reply)
            return
        match ended:
            case outcome.Broken(reason=reason):
                self._lose(self._shards, reason)
            case outcome.Reply(status=status) if status == _OK:
                self._lose(self._shards, 'unreadable')
            case _:
                self._ask_otherwise(self._shards)

    def _take_reply(self, reply: gather_request.GatherReply) -> None:
        self._work.trace.note(
            f'a group came after {reply.took_s:.3f} s of work',
        )
        self._work.parts.take_group(reply)
        self._ask_otherwise(reply.unasked)
        if reply.has_more:
            self._asks.add_fallback(self.more)

    def _lose(self, shards: list[str], reason: str) -> None:
        """Go without a group whose gateway fell silent.

        Guards against more attempts than the route allows: the other gateway
        may have asked two searchers for each shard before it fell silent,
        and a third would run the request once too often.
        """
        why = f'{self._name}: {reason}'
        self._work.trace.note(f'lost {len(shards)} shards: {why}')
        for shard in shards:
            self._work.parts.miss(shard, why, has_run=True)

    def _learn_way(
        self,
        message: peer_message.GatherMessage,
        ended: outcome.Outcome,
    ) -> None:
        reply = _decoded(ended)
        if reply is not None and message.sent_at:
            now = asyncio.get_running_loop().time()
            way_s = now - message.sent_at - reply.took_s
            self._work.others.learn_way(self._name, way_s)

    def _request(self) -> gather_request.GatherRequest:
        search = self._work.search
        now = asyncio.get_running_loop().time()
        return gather_request.GatherRequest(
            request_id=search.request.request_id,
            head=search.request.head,
            body=search.request.body,
            route=search.route.name,
            shards=self._shards,
            least_share=search.target.least_share,
            top_count=search.target.top_count,
            max_attempts=search.route.max_attempts,
            answer_in_s=0,
            left_s=search.deadline - now,
            target_latency_s=search.route.target_latency_s,
        )

    def _begin(
        self,
        exchange: Coroutine[Any, Any, outcome.Outcome],
    ) -> Exchange:
        begun = asyncio.create_task(exchange)
        self._exchanges.add(begun)
        return begun

    def _let_go(self) -> None:
        for exchange in self._exchanges:
            if exchange.done():
                continue
            if self.is_left_running:
                self._work.tools.stragglers.keep(exchange)
            else:
                exchange.cancel()

    @property
    def _name(self) -> str:
        return self._link.end.name


async def _wait_until(exchange: Exchange, until: float) -> None:
    left_s = until - asyncio.get_running_loop().time()
    await asyncio.wait({exchange}, timeout=max(0, left_s))


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
