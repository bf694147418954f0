"""Serves other gateways: gathers, forwarded requests, the store's content."""

import asyncio
import types
from collections.abc import Callable, Mapping

import msgspec

from chivepond.gateway import (
    client_request,
    client_response,
    forwarding_service,
    peer_message,
    pending_search,
    request_router,
    route_latencies,
    sync_service,
    upstream_request,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.wire import forward_request, gather_request, sync_message

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_MS_PER_S = 1000
_KIND_BY_PATH: Mapping[bytes, type[msgspec.Struct]] = types.MappingProxyType(
    {
        peer_message.GATHER_PATH: gather_request.GatherRequest,
        peer_message.MORE_PATH: gather_request.MoreRequest,
        peer_message.SYNC_PATH: sync_message.SyncRequest,
        peer_message.FORWARD_PATH: forward_request.ForwardRequest,
    },
)
#: How long a gather may be asked for once more after its reply, or after its
#: connection ended, in seconds: the way back and forth between any two
#: gateways. Searchers learn after it that nobody waits any more.
_HELD_S = 0.3


class PeerService:
    """Answers the requests of other gateways."""

    __slots__ = (
        '_forwarding',
        '_gathers',
        '_held_by_id',
        '_is_stopping',
        '_latencies',
        '_sync',
        '_tools',
    )

    def __init__(
        self,
        tools: upstream_request.RequestTools,
        sync: sync_service.SyncService,
        is_stopping: Callable[[], bool],
        router: request_router.RequestRouter,
    ) -> None:
        """Begin nothing once ``is_stopping``.

        What is asked is checked against the version that ``router`` routes by.
        """
        self._gathers = router.gathers
        self._forwarding = forwarding_service.ForwardingService(tools, router)
        self._sync = sync
        self._tools = tools
        self._is_stopping = is_stopping
        self._latencies = route_latencies.RouteLatencies(lambda: router.table)
        self._held_by_id: dict[bytes, pending_search.PendingSearch] = {}

    async def serve(
        self,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        """Return the answer to one request."""
        kind = _KIND_BY_PATH.get(request.path)
        if kind is None:
            return client_response.refusal(
                _NOT_FOUND, 'nothing is served there'
            )
        try:
            asked = msgspec.msgpack.decode(request.body, type=kind)
        except msgspec.DecodeError as error:
            return client_response.refusal(_BAD_REQUEST, str(error))
        return await self._dispatch(request.request_id, asked)

    async def _dispatch(
        self,
        request_id: bytes,
        asked: msgspec.Struct,
    ) -> client_response.ClientResponse:
        match asked:
            case gather_request.MoreRequest():
                return await self._more(asked)
            case _ if self._is_stopping():
                return client_response.refusal(
                    _UNAVAILABLE, 'this gateway stops'
                )
            case gather_request.GatherRequest():
                return await self._gather(asked)
            case forward_request.ForwardRequest():
                return await self._forwarding.serve(asked)
            case _:
                return _answer(request_id, await self._sync.serve(asked))

    async def _gather(
        self,
        asked: gather_request.GatherRequest,
    ) -> client_response.ClientResponse:
        if not self._gathers(asked.route, asked.shards):
            return client_response.refusal(
                _CONFLICT,
                'the version in force here has other shards',
            )
        late = self._latencies.of(asked.route)
        gather = pending_search.PendingSearch(asked, self._tools, late)
        self._hold(asked.request_id, gather, asked.answer_in_s)
        try:
            reply = await gather.first()
        except asyncio.CancelledError:
            # Whoever asked has left: the searchers learn it at once.
            self._let_go(asked.request_id, gather.turn)
            raise
        self._log(asked, gather, reply)
        return _answer(asked.request_id, reply)

    async def _more(
        self, asked: gather_request.MoreRequest
    ) -> client_response.ClientResponse:
        gather = self._held_by_id.get(asked.request_id)
        if gather is None:
            return client_response.refusal(_NOT_FOUND, 'no such gather is held')
        if not asked.has_reply:
            return _answer(asked.request_id, gather.again())
        self._held_by_id.pop(asked.request_id)
        try:
            reply = await gather.more()
        except asyncio.CancelledError:
            gather.end(is_answered=False)
            raise
        self._hold(asked.request_id, gather, 0)
        return _answer(asked.request_id, reply)

    def _hold(
        self,
        request_id: bytes,
        gather: pending_search.PendingSearch,
        due_in_s: float,
    ) -> None:
        """Keep a gather until its reply is due and a while longer."""
        gather.turn += 1
        self._held_by_id[request_id] = gather
        asyncio.get_running_loop().call_later(
            max(0, due_in_s) + _HELD_S,
            self._let_go,
            request_id,
            gather.turn,
        )

    def _let_go(self, request_id: bytes, turn: int) -> None:
        gather = self._held_by_id.get(request_id)
        if gather is not None and gather.turn == turn:
            self._held_by_id.pop(request_id)
            gather.end(is_answered=False)

    def _log(
        self,
        asked: gather_request.GatherRequest,
        gather: pending_search.PendingSearch,
        reply: gather_request.GatherReply,
    ) -> None:
        missing = gather.missing()
        self._tools.telemetry.emit(
            events.GATHER_SERVED,
            is_ordinary=not missing,
            request=asked.request_id.decode(errors='replace'),
            shards=len(asked.shards),
            missing=missing,
            has_more=reply.has_more,
            took_ms=round(reply.took_s * _MS_PER_S),
            sends=gather.trace.sends,
            notes=gather.trace.notes,
        )


def _answer(
    request_id: bytes, reply: msgspec.Struct
) -> client_response.ClientResponse:
    return client_response.ClientResponse(
        _OK,
        [(headers.REQUEST_ID, request_id)],
        msgspec.msgpack.encode(reply),
    )
