"""Forwards requests of gateways that may not connect to a searcher."""

import asyncio

import msgspec

from chivepond.gateway import (
    answer,
    forwarded_request,
    outcome,
    request_trace,
    requests_way,
    route_latencies,
    routing_table,
    service_ask,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.wire import forward_request

_OK = 200
_CONFLICT = 409


class ForwardingService:
    """Serves the requests that other gateways hand on to this one."""

    __slots__ = ('_latencies', '_tools', '_way')

    def __init__(
        self,
        tools: service_ask.AskTools,
        way: requests_way.RequestsWay,
    ) -> None:
        """Forward by the version that ``way`` routes by."""
        self._tools = tools
        self._way = way
        self._latencies = route_latencies.RouteLatencies(lambda: way.table)

    async def serve(
        self, asked: forward_request.ForwardRequest
    ) -> answer.Answer:
        """Return the searcher's response, or why there is none."""
        shares = self._tools.searchers.shares
        if not self._way.forwards(asked.route, asked.service):
            return answer.refusal(_CONFLICT, 'the active version differs here')
        if not shares.connections(asked.service):
            return answer.refusal(_CONFLICT, 'no connection is allowed here')
        clock = asyncio.get_running_loop().time
        trace = request_trace.RequestTrace(clock, clock())
        ask = service_ask.ServiceAsk(
            asked.service,
            forwarded_request.ForwardedRequest(
                asked.request_id,
                asked.head,
                asked.body,
                is_head=asked.is_head,
                is_repeatable=asked.is_idempotent,
            ),
            _route(asked),
            self._tools,
            trace,
        )
        late = self._latencies.of(asked.route)
        came_at = clock()
        times = service_ask.Times(
            came_at + asked.target_latency_s,
            came_at + asked.left_s,
        )
        reply = _reply(await ask.run(times, late))
        self._tools.telemetry.tell(
            events.FORWARD_SERVED,
            is_ordinary=reply.response is not None,
            request=asked.request_id.decode(errors='replace'),
            service=asked.service,
            reason=reply.reason,
            sends=trace.sends,
            notes=trace.notes,
        )
        return answer.Answer(
            _OK,
            [(headers.REQUEST_ID, asked.request_id)],
            msgspec.msgpack.encode(reply),
        )


def _reply(
    ended: outcome.Reply | service_ask.GaveUp,
) -> forward_request.ForwardReply:
    match ended:
        case outcome.Reply() as response:
            return forward_request.ForwardReply(_response(response))
        case service_ask.GaveUp(reply=outcome.Reply() as response):
            return forward_request.ForwardReply(_response(response))
        case service_ask.GaveUp(reason=reason, may_have_run=may_have_run):
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
