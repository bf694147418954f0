"""Requests a group of shards of a search through another gateway."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from chivepond.gateway import (
    gather_id,
    outcome,
    peer_channel,
    peer_message,
    peers,
    request_trace,
    shard_requests,
    shard_results,
    upstream_request,
)
from chivepond.gateway import search as searches
from chivepond.settings import mechanism
from chivepond.wire import gather_request, peer_codec

_OK = 200
_NOT_FOUND = 404
#: How long after the answer is due the reply for a group may still arrive
#: before it is requested again, in seconds. Network delays vary by that much.
_REPLY_GRACE_S = 0.015
#: Time-out of the second request for a reply, in seconds: a round trip to any
#: other gateway, and a new connection.
_RETRY_TIMEOUT_S = 0.08

Exchange = asyncio.Task[outcome.Outcome]


@dataclasses.dataclass(slots=True)
class SearchContext:
    """The objects that all requests of one search share."""

    search: searches.Search
    shard_results: shard_results.ShardResults
    request_context: upstream_request.RequestContext
    others: peers.Peers
    trace: request_trace.RequestTrace


class GroupRequest:
    """Requests shards through one gateway until their last result arrives."""

    __slots__ = (
        '_shard_requests',
        '_start_elsewhere',
        '_exchanges',
        '_gather_id',
        'is_left_running',
        '_channel',
        '_moved_shards',
        '_shards',
        '_context',
    )

    def __init__(
        self,
        context: SearchContext,
        channel: peer_channel.PeerChannel,
        shards: list[str],
        requests: shard_requests.ShardRequests,
        start_elsewhere: Callable[[Iterable[str]], None],
    ) -> None:
        """Prepare the request; ``run`` sends it.

        ``start_elsewhere`` requests shards that the other gateway did not
        request from any searcher.
        """
        self._context = context
        self._start_elsewhere = start_elsewhere
        self._channel = channel
        self._shards = shards
        #: Shards that the other gateway did not request.
        self._moved_shards: set[str] = set()
        self._gather_id = b''
        self._shard_requests = requests
        self._exchanges: set[Exchange] = set()
        self.is_left_running = False

    async def run(self) -> None:
        """Add the results of the group, or mark its shards as missing."""
        name = self._channel.end.name
        self._gather_id = gather_id.new(self._context.others.own_id)
        self._context.trace.note(
            f'{len(self._shards)} shards: requested through {name}'
        )
        try:
            self._process_outcome(await self._first_reply())
        finally:
            self._release_exchanges()

    async def fetch_more(self) -> None:
        """Fetch the results after the first reply, as they arrive."""
        collected = self._context.shard_results
        message = self._remaining_parts_message(has_reply=True)
        has_more = True
        while has_more and not collected.settled.is_set():
            exchange_outcome = await self._channel.send(
                message, self._context.search.deadline
            )
            reply = self._decode_reply(exchange_outcome)
            if reply is None:
                pending_shards = collected.pending_among(
                    shard
                    for shard in self._shards
                    if shard not in self._moved_shards
                )
                self._fail_shards(pending_shards, 'no further results received')
                return
            self._add_reply(reply)
            has_more = reply.has_more

    def keep_attempts_running(self) -> None:
        """Let running exchanges finish after ``run`` is cancelled.

        Guards against closing the connection whenever a search is answered
        without this group: the next search has to open a new one, which takes
        one more round trip, and its group is late again. 57 of 187
        searches in five seconds were late for this reason.
        """
        self.is_left_running = self._context.request_context.switches.is_on(
            mechanism.Mechanism.KEPT_GROUPS,
        )

    def may_retry(self) -> bool:
        """Return whether a late reply is requested a second time."""
        return self._context.request_context.switches.is_on(
            mechanism.Mechanism.REPEATED_GROUPS,
        )

    async def _first_reply(self) -> outcome.Outcome:
        search = self._context.search
        retry_at = search.answer_at + _REPLY_GRACE_S
        message = peer_message.GatherMessage(
            self._request(),
            search.answer_at
            - self._context.others.round_trip_estimate_s(self._gateway_name),
            search.request,
        )
        until = min(retry_at + _RETRY_TIMEOUT_S, search.deadline)
        first_exchange = self._start_exchange(
            self._channel.send(message, until)
        )
        await _wait_until(
            first_exchange, retry_at if self.may_retry() else until
        )
        if first_exchange.done():
            exchange_outcome = first_exchange.result()
        else:
            self._context.trace.note(
                f'{self._gateway_name}: no reply in time, requested again'
            )
            exchange_outcome = await self._first_decodable(
                first_exchange,
                self._start_exchange(self._retry_reply(message)),
            )
        self._record_network_delay(message, exchange_outcome)
        return exchange_outcome

    async def _first_decodable(
        self,
        first_exchange: Exchange,
        retry: Exchange,
    ) -> outcome.Outcome:
        """Return the first reply that can be decoded.

        If there is none, returns the outcome of ``retry``, unless the first
        connection was closed: the other gateway may have restarted since it
        received the request, and know nothing of it.
        """
        pending = {first_exchange, retry}
        while pending:
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for exchange in done:
                exchange_outcome = exchange.result()
                if self._decode_reply(exchange_outcome) is not None:
                    return exchange_outcome
        match first_exchange.result():
            case outcome.Broken(is_disconnect=True) as disconnect:
                return disconnect
            case _:
                return retry.result()

    async def _retry_reply(
        self, gather_message: peer_message.GatherMessage
    ) -> outcome.Outcome:
        """Request a missing reply again, on another connection.

        Guards against a lost packet: for the 200 ms until TCP retransmits it,
        the gateway appears to send no reply, and the search lost the whole
        group. The gateway returns the results that it has, or reports that it
        never received ``gather_message``; if it does neither in time, the
        shards of the group are missing.

        Guards also against a third attempt at a shard after a pause of this
        host: the other gateway has discarded the results by then, and its
        report does not mean that it never received the request.
        """
        message = self._remaining_parts_message(has_reply=False)
        until = asyncio.get_running_loop().time() + _RETRY_TIMEOUT_S
        exchange_outcome = await self._channel.send(
            message,
            min(until, self._context.search.deadline),
        )
        match exchange_outcome:
            case outcome.NotSent(reason=reason):
                # The search may have run: the first request was sent.
                return outcome.Broken(reason)
            case outcome.Reply(status=status) if (
                status == _NOT_FOUND
                and not gather_message.is_retained(
                    asyncio.get_running_loop().time()
                )
            ):
                return outcome.Broken('requested again too late')
            case _:
                return exchange_outcome

    def _process_outcome(self, exchange_outcome: outcome.Outcome) -> None:
        reply = self._decode_reply(exchange_outcome)
        if reply is not None:
            self._process_reply(reply)
            return
        match exchange_outcome:
            case outcome.Broken(reason=reason):
                self._fail_shards(self._shards, reason)
            case outcome.Reply(status=status) if status == _OK:
                self._fail_shards(self._shards, 'unreadable')
            case _:
                self._mark_not_run()
                self._start_elsewhere(self._shards)

    def _process_reply(self, reply: gather_request.GatherReply) -> None:
        self._context.trace.note(
            f'group reply received, gathered in {reply.took_s:.3f} s',
        )
        self._add_reply(reply)
        if reply.has_more:
            self._shard_requests.add_fallback(self.fetch_more)

    def _add_reply(self, reply: gather_request.GatherReply) -> None:
        """Add results, and request shards elsewhere that were not requested."""
        if not reply.may_have_run:
            self._mark_not_run()
        self._context.shard_results.add_group(reply)
        moved_shards = set(reply.unasked) - self._moved_shards
        self._moved_shards |= moved_shards
        self._start_elsewhere(sorted(moved_shards))

    def _mark_not_run(self) -> None:
        self._context.search.request.mark_not_run(self._gather_id.hex())

    def _fail_shards(self, shards: list[str], reason: str) -> None:
        """Mark shards as missing after their gateway stopped replying.

        Guards against more attempts than the route allows: the other gateway
        may have sent the request to two searchers of each shard before it
        stopped replying, and another attempt would exceed the maximum.
        """
        full_reason = f'{self._gateway_name}: {reason}'
        self._context.trace.note(f'missing {len(shards)} shards: {full_reason}')
        for shard in shards:
            self._context.shard_results.mark_missing(
                shard, full_reason, has_run=True
            )

    def _record_network_delay(
        self,
        message: peer_message.GatherMessage,
        exchange_outcome: outcome.Outcome,
    ) -> None:
        reply = self._decode_reply(exchange_outcome)
        if reply is not None and message.sent_at:
            now = asyncio.get_running_loop().time()
            delay_s = now - message.sent_at - reply.took_s
            self._context.others.record_round_trip(self._gateway_name, delay_s)

    def _request(self) -> gather_request.GatherRequest:
        search = self._context.search
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
            gather_id=self._gather_id,
        )

    def _remaining_parts_message(
        self, *, has_reply: bool
    ) -> peer_message.PeerMessage:
        return peer_message.remaining_parts_message(
            self._context.search.request.request_id,
            has_reply=has_reply,
            gather_id=self._gather_id,
        )

    def _decode_reply(
        self, exchange_outcome: outcome.Outcome
    ) -> gather_request.GatherReply | None:
        """Return the reply for this group, or ``None`` after any failure.

        Gateways of an earlier release reply without a ``gather_id``, and may
        return the results of another group.
        """
        reply = _decode_reply(exchange_outcome)
        if reply is None or reply.gather_id not in {b'', self._gather_id}:
            return None
        is_own = reply.signature_by_shard.keys() <= set(self._shards)
        return reply if is_own else None

    def _start_exchange(
        self,
        exchange: Coroutine[Any, Any, outcome.Outcome],
    ) -> Exchange:
        task = asyncio.create_task(exchange)
        self._exchanges.add(task)
        return task

    def _release_exchanges(self) -> None:
        for exchange in self._exchanges:
            if exchange.done():
                continue
            if self.is_left_running:
                self._context.request_context.late_responses.keep(exchange)
            else:
                exchange.cancel()

    @property
    def _gateway_name(self) -> str:
        return self._channel.end.name


async def _wait_until(exchange: Exchange, until: float) -> None:
    left_s = until - asyncio.get_running_loop().time()
    await asyncio.wait({exchange}, timeout=max(0, left_s))


def _decode_reply(
    exchange_outcome: outcome.Outcome,
) -> gather_request.GatherReply | None:
    """Return the decoded reply, or ``None`` after any kind of failure."""
    match exchange_outcome:
        case outcome.Reply(status=status, body=body) if status == _OK:
            return peer_codec.decode(body, gather_request.GatherReply).ok()
        case _:
            return None
