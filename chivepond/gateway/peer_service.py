"""Gathers for other gateways, beside the searchers."""

import asyncio
import types
from collections.abc import Callable, Mapping

import msgspec

from chivepond.decisions import second_ask_time
from chivepond.gateway import (
    answer,
    caller_request,
    forwarded_request,
    gather_asks,
    gathering,
    merge,
    peer_message,
    replica,
    request_trace,
    routing_table,
    service_ask,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.wire import gateway_news, gather_request

_KIND_BY_PATH: Mapping[bytes, type[msgspec.Struct]] = types.MappingProxyType(
    {
        peer_message.GATHER_PATH: gather_request.GatherRequest,
        peer_message.NEWS_PATH: gateway_news.NewsRequest,
    },
)
_MS_PER_S = 1000
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503


class PeerService:
    """Answers the requests of other gateways."""

    __slots__ = (
        '_changed',
        '_is_stopping',
        '_late_by_route',
        '_replica_by_kind',
        '_tools',
    )

    def __init__(
        self,
        tools: service_ask.AskTools,
        replica_by_kind: Mapping[str, replica.Replica],
        changed: asyncio.Event,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Begin nothing once ``is_stopping``; tell news when ``changed``."""
        self._replica_by_kind = replica_by_kind
        self._changed = changed
        self._tools = tools
        self._is_stopping = is_stopping
        self._late_by_route: dict[str, second_ask_time.SecondAskTime] = {}

    async def serve(
        self,
        request: caller_request.CallerRequest,
    ) -> answer.Answer:
        """Return the answer to one request."""
        if self._is_stopping():
            return answer.refusal(_UNAVAILABLE, 'this gateway stops')
        kind = _KIND_BY_PATH.get(request.path)
        if kind is None:
            return answer.refusal(_NOT_FOUND, 'nothing is served there')
        try:
            asked = msgspec.msgpack.decode(request.body, type=kind)
        except msgspec.DecodeError as error:
            return answer.refusal(_BAD_REQUEST, str(error))
        match asked:
            case gather_request.GatherRequest():
                return await self._gather(asked)
            case gateway_news.NewsRequest():
                return await self._tell(request.request_id, asked)

    async def _tell(
        self,
        request_id: bytes,
        asked: gateway_news.NewsRequest,
    ) -> answer.Answer:
        reply = self._news(asked)
        until = asyncio.get_running_loop().time() + asked.wait_s
        while not reply.news_by_kind:
            self._changed.clear()
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
            reply = self._news(asked)
        return answer.Answer(
            _OK,
            [(headers.REQUEST_ID, request_id)],
            msgspec.msgpack.encode(reply),
        )

    def _news(self, asked: gateway_news.NewsRequest) -> gateway_news.NewsReply:
        found = {}
        for kind, since in asked.revision_by_kind.items():
            known = self._replica_by_kind.get(kind)
            news = known and known.news(since)
            if news is not None:
                found[kind] = news
        return gateway_news.NewsReply(found)

    async def _gather(
        self,
        asked: gather_request.GatherRequest,
    ) -> answer.Answer:
        clock = asyncio.get_running_loop().time
        began = clock()
        trace = request_trace.RequestTrace(clock, began)
        parts = gathering.Gathering(tuple(asked.shards), len(asked.shards))
        request = forwarded_request.ForwardedRequest(
            asked.request_id,
            asked.head,
            asked.body,
            is_head=False,
        )
        with gather_asks.GatherAsks(
            parts,
            _route(asked),
            self._tools,
            self._late(asked.route),
            trace,
        ) as asks:
            asks.ask(asked.shards, request, began + asked.left_s)
            await asks.wait_all(began + asked.answer_in_s)
        missing = parts.why_missing()
        self._tools.telemetry.tell(
            events.GATHER_SERVED,
            is_ordinary=not missing,
            request=asked.request_id.decode(errors='replace'),
            shards=len(asked.shards),
            missing=missing,
            took_ms=round((clock() - began) * _MS_PER_S),
            sends=trace.sends,
            notes=trace.notes,
        )
        return _answer(asked, parts, began)

    def _late(self, route: str) -> second_ask_time.SecondAskTime:
        return self._late_by_route.setdefault(
            route,
            second_ask_time.SecondAskTime(),
        )


def _route(asked: gather_request.GatherRequest) -> routing_table.Route:
    return routing_table.Route(
        name=asked.route,
        host=b'',
        prefix=b'',
        target=routing_table.AllShards(
            tuple(asked.shards),
            asked.top_count,
            1,
        ),
        is_idempotent=True,
        timeout_s=asked.left_s,
        target_latency_s=asked.target_latency_s,
        max_attempts=asked.max_attempts,
        priority=0,
    )


def _answer(
    asked: gather_request.GatherRequest,
    parts: gathering.Gathering,
    began: float,
) -> answer.Answer:
    reply = gather_request.GatherReply(
        records=merge.greatest(parts.bodies, asked.top_count),
        signature_by_shard=parts.signature_by_shard,
        reason_by_shard=parts.why_missing(),
        unasked=parts.unasked,
        took_s=asyncio.get_running_loop().time() - began,
    )
    return answer.Answer(
        _OK,
        [(headers.REQUEST_ID, asked.request_id)],
        msgspec.msgpack.encode(reply),
    )
