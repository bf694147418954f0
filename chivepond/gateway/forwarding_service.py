"""Forwards requests for gateways that have no connections of their own."""

import asyncio

import msgspec

from chivepond.gateway import (
    client_response,
    forwarded_request,
    hedge_timings,
    outcome,
    request_router,
    request_trace,
    routing_table,
    shutdown,
    upstream_request,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.wire import forward_request

_OK = 200
_CONFLICT = 409


class ForwardingService:
    """Serves forward requests of other gateways."""

    __slots__ = ('_timings', '_context', '_router')

    def __init__(
        self,
        context: upstream_request.RequestContext,
        router: request_router.RequestRouter,
    ) -> None:
        """Forward by the configuration version that is active in ``router``."""
        self._context = context
        self._router = router
        self._timings = hedge_timings.HedgeTimings(lambda: router.table)

    async def serve(
        self, forward: forward_request.ForwardRequest
    ) -> client_response.ClientResponse:
        """Return a response with the encoded ``ForwardReply``.

        Refuses the request with 409 if the active version has no such route
        to the service, or if this gateway has no connection to it either.
        """
        shares = self._context.searchers.shares
        if not self._router.forwards(forward.route, forward.service):
            return client_response.refusal(
                _CONFLICT,
                'the active configuration has no such route to the service',
            )
        if not shares.connections(forward.service):
            return client_response.refusal(
                _CONFLICT, 'this gateway may open no connection to the service'
            )
        clock = asyncio.get_running_loop().time
        trace = request_trace.RequestTrace(clock, clock())
        request = self._request(forward)
        upstream = upstream_request.UpstreamRequest(
            forward.service,
            request,
            _route(forward),
            self._context,
            trace,
        )
        reply = forward_request.ForwardReply(None, shutdown.REASON)
        async with self._context.shutdown.limit(
            shutdown.PEER_MARGIN_S
        ) as limit:
            reply = _reply(
                await upstream.run(
                    _times(forward), self._timings.of(forward.route)
                )
            )
        if limit.is_expired:
            reply.may_have_run = request.may_have_run
        self._context.telemetry.emit(
            events.FORWARD_SERVED,
            is_ordinary=reply.response is not None,
            request=forward.request_id.decode(errors='replace'),
            service=forward.service,
            reason=reply.reason,
            sends=trace.sends,
            notes=trace.notes,
        )
        return client_response.ClientResponse(
            _OK,
            [(headers.REQUEST_ID, forward.request_id)],
            msgspec.msgpack.encode(reply),
        )

    def _request(
        self,
        forward: forward_request.ForwardRequest,
    ) -> forwarded_request.ForwardedRequest:
        request = forwarded_request.ForwardedRequest(
            forward.request_id,
            forward.head,
            forward.body,
            is_head=forward.is_head,
            is_repeatable=forward.is_idempotent,
        )
        self._context.crash_watch.follow(request)
        return request


def _times(forward: forward_request.ForwardRequest) -> upstream_request.Times:
    received_at = asyncio.get_running_loop().time()
    return upstream_request.Times(
        received_at + forward.target_latency_s,
        received_at + forward.left_s,
        needs_late_reply=True,
    )


def _reply(
    attempt_outcome: outcome.Reply | upstream_request.UpstreamFailure,
) -> forward_request.ForwardReply:
    match attempt_outcome:
        case outcome.Reply() as response:
            return forward_request.ForwardReply(_response(response))
        case upstream_request.UpstreamFailure(
            reply=outcome.Reply() as response
        ):
            return forward_request.ForwardReply(_response(response))
        case upstream_request.UpstreamFailure(
            reason=reason, may_have_run=may_have_run
        ):
            return forward_request.ForwardReply(None, reason, may_have_run)


def _response(reply: outcome.Reply) -> forward_request.ForwardedResponse:
    return forward_request.ForwardedResponse(
        reply.status,
        reply.headers.pairs,
        reply.body,
    )


def _route(forward: forward_request.ForwardRequest) -> routing_table.Route:
    return routing_table.Route(
        name=forward.route,
        host=b'',
        prefix=b'',
        target=routing_table.OneService(forward.service),
        is_idempotent=forward.is_idempotent,
        timeout_s=forward.left_s,
        target_latency_s=forward.target_latency_s,
        max_attempts=forward.max_attempts,
        priority=0,
    )
