"""Serves requests that a single searcher answers."""

import asyncio

from chivepond.decisions import hedge_timing
from chivepond.gateway import (
    client_response,
    delegated_request,
    forwarded_request,
    outcome,
    peers,
    request_trace,
    routing_table,
    shutdown,
    upstream_request,
)

_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504
#: Retry-After of refusals, in seconds. An update of the searcher list or a
#: reconnect is complete by then.
RETRY_AFTER_S = 0.2
_NO_BODY = frozenset((204, 304))


async def serve(
    service: str,
    request: forwarded_request.ForwardedRequest,
    route: routing_table.Route,
    deadline: float,
    context: upstream_request.RequestContext,
    gateways: peers.Peers,
    timing: hedge_timing.HedgeTiming,
    trace: request_trace.RequestTrace,
) -> client_response.ClientResponse:
    """Return the unchanged response of the searcher, or an error.

    The error is 503 if no searcher ran the request; otherwise 504 after the
    deadline and 502 before it.
    """
    exchange_outcome = upstream_request.UpstreamFailure(
        shutdown.REASON, may_have_run=False, reached_no_searcher=True
    )
    async with context.shutdown.limit() as limit:
        exchange_outcome = await _run(
            service, request, route, deadline, context, gateways, timing, trace
        )
    if limit.is_expired and request.may_have_run:
        return client_response.refusal(_BAD_GATEWAY, shutdown.REASON)
    return _response(exchange_outcome, request, deadline)


async def _run(
    service: str,
    request: forwarded_request.ForwardedRequest,
    route: routing_table.Route,
    deadline: float,
    context: upstream_request.RequestContext,
    gateways: peers.Peers,
    timing: hedge_timing.HedgeTiming,
    trace: request_trace.RequestTrace,
) -> outcome.Reply | upstream_request.UpstreamFailure:
    if context.searchers.shares.connections(service):
        upstream = upstream_request.UpstreamRequest(
            service, request, route, context, trace
        )
        due = asyncio.get_running_loop().time() + route.target_latency_s
        return await upstream.run(
            upstream_request.Times(due, deadline, needs_late_reply=True),
            timing,
        )
    delegated = delegated_request.DelegatedRequest(
        service,
        request,
        route,
        context.searchers.shares,
        gateways,
    )
    return await delegated.run(deadline, trace)


def _response(
    exchange_outcome: outcome.Reply | upstream_request.UpstreamFailure,
    request: forwarded_request.ForwardedRequest,
    deadline: float,
) -> client_response.ClientResponse:
    match exchange_outcome:
        case outcome.Reply() as reply:
            return _forwarded(reply, is_head=request.is_head)
        case upstream_request.UpstreamFailure(reply=outcome.Reply() as reply):
            return _forwarded(reply, is_head=request.is_head)
        case upstream_request.UpstreamFailure(reason=reason, may_have_run=True):
            is_late = asyncio.get_running_loop().time() >= deadline
            return client_response.refusal(
                _TIMED_OUT if is_late else _BAD_GATEWAY,
                reason,
            )
        case upstream_request.UpstreamFailure(reason=reason):
            return client_response.refusal(_UNAVAILABLE, reason, RETRY_AFTER_S)


def _forwarded(
    reply: outcome.Reply, *, is_head: bool
) -> client_response.ClientResponse:
    head_length = reply.headers.get(b'content-length') if is_head else None
    return client_response.ClientResponse(
        status=reply.status,
        headers=reply.headers.end_to_end((b'content-length',)),
        body=reply.body,
        stated_length=head_length,
    )
