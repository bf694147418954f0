"""Serves searches, forwarded requests and store updates to other gateways."""

import asyncio
import types
from collections.abc import Callable, Mapping

import msgspec
import result

from chivepond.gateway import (
    client_request,
    client_response,
    forwarding_service,
    hedge_timings,
    peer_message,
    pending_search,
    request_router,
    shutdown,
    sync_service,
    upstream_request,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.wire import (
    forward_request,
    gather_request,
    peer_codec,
    sync_message,
)

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_MS_PER_S = 1000
#: How long a request may be delayed in the network, in seconds: TCP sends a
#: lost packet again for many seconds.
_UNRECEIVED_S = 60.0
#: Identifies a gather: the identifier of the group, and that of the client's
#: request, which alone identifies it if the other gateway is of an earlier
#: release.
_GatherKey = tuple[bytes, bytes]
_MESSAGE_TYPE_BY_PATH: Mapping[bytes, type[msgspec.Struct]] = (
    types.MappingProxyType(
        {
            peer_message.GATHER_PATH: gather_request.GatherRequest,
            peer_message.MORE_PATH: gather_request.MoreRequest,
            peer_message.SYNC_PATH: sync_message.SyncRequest,
            peer_message.FORWARD_PATH: forward_request.ForwardRequest,
        },
    )
)


class PeerService:
    """Handles the requests of other gateways."""

    __slots__ = (
        '_forwarding',
        '_serves_shards',
        '_pending_by_key',
        '_requests_in_progress',
        '_is_stopping',
        '_timings',
        '_sync',
        '_context',
        '_unreceived_keys',
    )

    def __init__(
        self,
        context: upstream_request.RequestContext,
        sync: sync_service.SyncService,
        is_stopping: Callable[[], bool],
        router: request_router.RequestRouter,
    ) -> None:
        """Refuse new requests once ``is_stopping``.

        Shards of a search are checked against the active routing table of
        ``router``.
        """
        self._serves_shards = router.gathers
        self._forwarding = forwarding_service.ForwardingService(context, router)
        self._sync = sync
        self._context = context
        self._is_stopping = is_stopping
        self._timings = hedge_timings.HedgeTimings(lambda: router.table)
        self._pending_by_key: dict[
            _GatherKey, pending_search.PendingSearch
        ] = {}
        #: Gathers that were reported as never received.
        self._unreceived_keys: set[_GatherKey] = set()
        self._requests_in_progress = 0

    @property
    def is_busy(self) -> bool:
        """Whether another gateway waits, or may ask, for results."""
        return bool(self._requests_in_progress or self._pending_by_key)

    async def serve(
        self,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        """Return the response to one request."""
        message_type = _MESSAGE_TYPE_BY_PATH.get(request.path)
        if message_type is None:
            return client_response.refusal(
                _NOT_FOUND, 'no endpoint at this path'
            )
        match peer_codec.decode(request.body, message_type):
            case result.Ok(message):
                return await self._dispatch(request.request_id, message)
            case failure:
                return client_response.refusal(
                    _BAD_REQUEST, failure.unwrap_err().message
                )

    async def _dispatch(
        self,
        request_id: bytes,
        message: msgspec.Struct,
    ) -> client_response.ClientResponse:
        match message:
            case sync_message.SyncRequest() if not self._is_stopping():
                return _response(request_id, await self._sync.serve(message))
        self._requests_in_progress += 1
        try:
            return await self._serve_request(message)
        finally:
            self._requests_in_progress -= 1

    async def _serve_request(
        self, message: msgspec.Struct
    ) -> client_response.ClientResponse:
        match message:
            case gather_request.MoreRequest():
                return await self._gather_more(message)
            case gather_request.GatherRequest() if not self._is_stopping():
                return await self._gather(message)
            case forward_request.ForwardRequest() if not self._is_stopping():
                return await self._forwarding.serve(message)
            case _:
                return client_response.refusal(_UNAVAILABLE, shutdown.REASON)

    async def _gather(
        self,
        message: gather_request.GatherRequest,
    ) -> client_response.ClientResponse:
        key = _key(message)
        if key in self._unreceived_keys:
            return client_response.refusal(
                _CONFLICT, 'the search was reported as never received'
            )
        if key in self._pending_by_key:
            return client_response.refusal(
                _CONFLICT, 'a search with this identifier is pending'
            )
        if not self._serves_shards(message.route, message.shards):
            return client_response.refusal(
                _CONFLICT,
                'the active routing table has other shards for this route',
            )
        hedge_timing = self._timings.of(message.route)
        pending = pending_search.PendingSearch(
            message, self._context, hedge_timing
        )
        self._retain(key, pending, message.answer_in_s)
        try:
            reply = await pending.first_reply()
        except asyncio.CancelledError:
            # The requesting gateway disconnected: cancel at the searchers now.
            self._discard(key, pending.hold_count)
            raise
        self._log_gather(message, pending, reply)
        return _response(message.request_id, reply)

    async def _gather_more(
        self, message: gather_request.MoreRequest
    ) -> client_response.ClientResponse:
        key = _key(message)
        pending = self._pending_by_key.get(key)
        if pending is None:
            if not message.has_reply:
                self._refuse_later(key)
            return client_response.refusal(
                _NOT_FOUND, 'no pending search with this request ID'
            )
        if not message.has_reply:
            return _response(message.request_id, pending.repeat_reply())
        self._pending_by_key.pop(key)
        try:
            reply = await pending.next_reply()
        except asyncio.CancelledError:
            pending.end(is_answered=False)
            raise
        self._retain(key, pending, 0)
        return _response(message.request_id, reply)

    def _refuse_later(self, key: _GatherKey) -> None:
        """Refuse a search that may still be on its way.

        The other gateway sends the shards itself.
        """
        self._unreceived_keys.add(key)
        asyncio.get_running_loop().call_later(
            _UNRECEIVED_S, self._unreceived_keys.discard, key
        )

    def _retain(
        self,
        key: _GatherKey,
        pending: pending_search.PendingSearch,
        due_in_s: float,
    ) -> None:
        """Retain a search until its reply is due plus the retention time."""
        pending.hold_count += 1
        self._pending_by_key[key] = pending
        asyncio.get_running_loop().call_later(
            max(0, due_in_s) + peer_message.RETENTION_S,
            self._discard,
            key,
            pending.hold_count,
        )

    def _discard(self, key: _GatherKey, hold_count: int) -> None:
        pending = self._pending_by_key.get(key)
        if pending is not None and pending.hold_count == hold_count:
            self._pending_by_key.pop(key)
            pending.end(is_answered=False)

    def _log_gather(
        self,
        message: gather_request.GatherRequest,
        pending: pending_search.PendingSearch,
        reply: gather_request.GatherReply,
    ) -> None:
        missing = pending.missing()
        self._context.telemetry.emit(
            events.GATHER_SERVED,
            is_ordinary=not missing,
            request=message.request_id.decode(errors='replace'),
            shards=len(message.shards),
            missing=missing,
            has_more=reply.has_more,
            took_ms=round(reply.took_s * _MS_PER_S),
            sends=pending.trace.sends,
            notes=pending.trace.notes,
        )


def _key(
    message: gather_request.GatherRequest | gather_request.MoreRequest,
) -> _GatherKey:
    return (message.gather_id, message.request_id)


def _response(
    request_id: bytes, reply: msgspec.Struct
) -> client_response.ClientResponse:
    return client_response.ClientResponse(
        _OK,
        [(headers.REQUEST_ID, request_id)],
        msgspec.msgpack.encode(reply),
    )
