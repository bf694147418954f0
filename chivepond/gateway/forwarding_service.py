"""Forwards requests of gateways that may not connect to a searcher."""

import asyncio

import msgspec

from chivepond.gateway import (
    client_response,
    forwarded_request,
    outcome,
    request_router,
    request_trace,
    route_latencies,
    routing_table,
    upstream_request,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.wire import forward_request

_OK = 200
_CONFLICT = 409


class ForwardingService:
    """Serves the requests that other gateways hand on to this one."""

    __slots__ = ('_latencies', '_tools', '_router')

    def __init__(
        self,
        tools: upstream_request.RequestTools,
        router: request_router.RequestRouter,
    ) -> None:
        """Forward by the version that ``router`` routes by."""
        self._tools = tools
        self._router = router
        self._latencies = route_latencies.RouteLatencies(lambda: router.table)

    async def serve(
        self, asked: forward_request.ForwardRequest
    ) -> client_response.ClientResponse:
        """Return the searcher's response, or why there is none."""
        shares = self._tools.searchers.shares
        if not self._router.forwards(asked.route, asked.service):
            return client_response.refusal(
                _CONFLICT, 'the active version differs here'
            )
        if not shares.connections(asked.service):
            return client_response.refusal(
                _CONFLICT, 'no connection is allowed here'
            )
        clock = asyncio.get_running_loop().time
        trace = request_trace.RequestTrace(clock, clock())
        ask = upstream_request.UpstreamRequest(
            asked.service,
            self._request(asked),
            _route(asked),
            self._tools,
            trace,
        )
        late = self._latencies.of(asked.route)
        came_at = clock()
        times = upstream_request.Times(
            came_at + asked.target_latency_s,
            came_at + asked.left_s,
        )
        reply = _reply(await ask.run(times, late))
        self._tools.telemetry.emit(
            events.FORWARD_SERVED,
            is_ordinary=reply.response is not None,
            request=asked.request_id.decode(errors='replace'),
            service=asked.service,
            reason=reply.reason,
            sends=trace.sends,
            notes=trace.notes,
        )
        return client_response.ClientResponse(
            _OK,
            [(headers.REQUEST_ID, asked.request_id)],
            msgspec.msgpack.encode(reply),
        )

    def _request(
        self,
        asked: forward_request.ForwardRequest,
    ) -> forwarded_request.ForwardedRequest:
        request = forwarded_request.ForwardedRequest(
            asked.request_id,
            asked.head,
            asked.body,
            is_head=asked.is_head,
            is_repeatable=asked.is_idempotent,
        )
        self._tools.crash_watch.follow(request)
        return request


def _reply(
    ended: outcome.Reply | upstream_request.GaveUp,
) -> forward_request.ForwardReply:
    match ended:
        case outcome.Reply() as response:
            return forward_request.ForwardReply(_response(response))
        case upstream_request.GaveUp(reply=outcome.Reply() as response):
            return forward_request.ForwardReply(_response(response))
        case upstream_request.GaveUp(reason=reason, may_have_run=may_have_run):
            return forward_request.ForwardReply(None, reason, may_have_run)


def _response(reply: outcome.Reply) -> forward_request.ForwardedResponse:
    return forward_request.ForwardedResponse(
        reply.status,
        reply.headers.pairs,
        reply.body,
    )


def _route(asked: forward_request.ForwardRequest) -> routing_table.Route:
    return routing_table.Route(
        name=asked.route,
        host=b'',
        prefix=b'',
        target=routing_table.OneService(asked.service),
        is_idempotent=asked.is_idempotent,
        timeout_s=asked.left_s,
        target_latency_s=asked.target_latency_s,
        max_attempts=asked.max_attempts,
        priority=0,
    )
