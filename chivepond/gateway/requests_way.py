"""Takes a caller's request from its route to its answer."""

import asyncio
import random
from collections.abc import Iterable

from chivepond.decisions import weighted_share
from chivepond.gateway import (
    answer,
    caller_request,
    forwarded_request,
    gathered_request,
    peers,
    request_trace,
    route_latencies,
    routing_table,
    service_ask,
    single_request,
)
from chivepond.gateway import search as searches
from chivepond.observe import event, events

_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_SUCCESSES = range(200, 300)  # noqa: WPS432
_REFUSALS = frozenset((_BAD_REQUEST, _NOT_FOUND, 408, 421, 429, _UNAVAILABLE))
_MS_PER_S = 1000
#: When to come back while no configuration is known, in seconds. A store
#: that is away is so for seconds, and many callers come back just once.
_UNKNOWN_RETRY_S = 1.0
#: How long before the caller's deadline the last word is said, in seconds:
#: the way back to the caller, and the loop's delay on a busy host.
_LAST_WORD_S = 0.02
#: The least time in which a searcher may reply, in seconds; a request with
#: less is refused before any is asked.
_LEAST_S = 0.01


class RequestsWay:
    """Routes requests by the version in force when they come."""

    __slots__ = (
        '_latencies',
        '_peers',
        '_share_by_route',
        '_table',
        '_tools',
        'in_force_since',
    )

    def __init__(
        self,
        tools: service_ask.AskTools,
        others: peers.Peers,
    ) -> None:
        """Know no configuration yet."""
        self._tools = tools
        self._peers = others
        self._table: routing_table.RoutingTable | None = None
        #: When the version in force was put in force, on the steady clock.
        self.in_force_since: float | None = None
        self._latencies = route_latencies.RouteLatencies(lambda: self._table)
        self._share_by_route: dict[str, weighted_share.WeightedShare] = {}

    @property
    def table(self) -> routing_table.RoutingTable | None:
        """The version in force."""
        return self._table

    def put_in_force(self, table: routing_table.RoutingTable) -> bool:
        """Route by ``table`` from now on, unless a newer one is in force."""
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._share_by_route = {
            name: share
            for name, share in self._share_by_route.items()
            if name in table.target_by_name
        }
        self.in_force_since = asyncio.get_running_loop().time()
        return True

    def gathers(self, route_name: str, shards: Iterable[str]) -> bool:
        """Tell whether the version in force gathers ``shards`` on a route.

        Guards against acts by an older version, or by a newer one than is in
        force here, for another gateway that has read it later or sooner.
        """
        if self._table is None:
            return False
        target = self._table.target_by_name.get(route_name)
        match target:
            case routing_table.AllShards(shards=own):
                return set(own).issuperset(shards)
            case _:
                return False

    def forwards(self, route_name: str, service: str) -> bool:
        """Tell whether the active version has ``service`` on a route."""
        target = self._table and self._table.target_by_name.get(route_name)
        match target:
            case routing_table.OneService(service=own):
                return own == service
            case routing_table.WeightedServices(weight_by_service=weights):
                return service in weights
            case _:
                return False

    async def serve(
        self,
        request: caller_request.CallerRequest,
    ) -> answer.Answer:
        """Return the answer to one request, and write what became of it."""
        clock = asyncio.get_running_loop().time
        trace = request_trace.RequestTrace(clock, request.came_at)
        table = self._table
        route = table and table.find(request.host, request.path)
        try:
            told = await self._answer(request, table, route, trace)
        except asyncio.CancelledError:
            told = answer.refusal(0, 'the caller left')
            raise
        except Exception as error:
            # Whatever a fault of ours is, the caller gets an answer now.
            told = answer.refusal(500, 'a fault of the gateway')  # noqa: WPS432
            self._tools.telemetry.tell(events.GATEWAY_FAULT, what=repr(error))
        finally:
            self._tell(request, route, told, trace)
        return told

    async def _answer(
        self,
        request: caller_request.CallerRequest,
        table: routing_table.RoutingTable | None,
        route: routing_table.Route | None,
        trace: request_trace.RequestTrace,
    ) -> answer.Answer:
        if table is None:
            text = 'no configuration is known yet'
            return answer.refusal(_UNAVAILABLE, text, _UNKNOWN_RETRY_S)
        if route is None:
            return answer.refusal(_NOT_FOUND, 'no route leads there')
        if not request.request_id:
            return answer.refusal(_BAD_REQUEST, 'the request has no identifier')
        return await self._route(request, route, trace)

    async def _route(
        self,
        request: caller_request.CallerRequest,
        route: routing_table.Route,
        trace: request_trace.RequestTrace,
    ) -> answer.Answer:
        deadline = request.deadline(route.timeout_s) - _LAST_WORD_S
        if deadline - asyncio.get_running_loop().time() < _LEAST_S:
            return answer.refusal(_UNAVAILABLE, 'the time is over', 0)
        forwarded = forwarded_request.ForwardedRequest.of(
            request,
            is_repeatable=route.is_idempotent,
        )
        late = self._latencies.of(route.name)
        match route.target:
            case routing_table.AllShards() as target:
                search = searches.Search(
                    forwarded,
                    route,
                    target,
                    request.came_at,
                    deadline,
                    request.way_s,
                )
                return await gathered_request.GatheredRequest(
                    search,
                    self._tools,
                    self._peers,
                    late,
                    trace,
                ).serve()
            case _:
                return await single_request.serve(
                    self._service(route),
                    forwarded,
                    route,
                    deadline,
                    self._tools,
                    self._peers,
                    late,
                    trace,
                )

    def _service(self, route: routing_table.Route) -> str:
        match route.target:
            case routing_table.OneService(service=service):
                return service
            case routing_table.WeightedServices(weight_by_service=weights):
                share = self._share_by_route.get(route.name)
                if share is None or share.weight_by_name != weights:
                    share = weighted_share.WeightedShare(weights, random.random)
                    self._share_by_route[route.name] = share
                return share.take()
            case _:
                raise TypeError(route.target)

    def _tell(
        self,
        request: caller_request.CallerRequest,
        route: routing_table.Route | None,
        told: answer.Answer,
        trace: request_trace.RequestTrace,
    ) -> None:
        took_s = asyncio.get_running_loop().time() - request.came_at
        kind = _kind(told)
        label = route.name if route else 'none'
        telemetry = self._tools.telemetry
        telemetry.count('requests', f'{label} {kind.text}')
        telemetry.took(label, took_s)
        is_late = route is not None and took_s > route.target_latency_s
        is_ordinary = kind is events.REQUEST_ANSWERED and not trace.notes
        telemetry.tell(
            kind,
            is_ordinary=is_ordinary and not is_late,
            request=request.request_id.decode(errors='replace'),
            route=label,
            version=self._table.version if self._table else None,
            status=told.status,
            took_ms=round(took_s * _MS_PER_S),
            is_late=is_late,
            shards=_shard_count(route),
            reason=told.reason,
            missing=told.reason_by_shard,
            sends=trace.sends,
            second_sends=trace.second_sends,
            notes=trace.notes,
        )


def _shard_count(route: routing_table.Route | None) -> int:
    match route:
        case routing_table.Route(target=routing_table.AllShards(shards=shards)):
            return len(shards)
        case _:
            return 0


def _kind(told: answer.Answer) -> event.Event:
    if told.status in _SUCCESSES:
        if told.reason_by_shard:
            return events.REQUEST_ANSWERED_IN_PART
        return events.REQUEST_ANSWERED
    if not told.status:
        return events.REQUEST_ABANDONED
    if told.status in _REFUSALS:
        return events.REQUEST_REFUSED
    return events.REQUEST_UNANSWERED
