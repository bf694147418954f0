"""Routes client requests, and logs their responses."""

import asyncio
import random
from collections.abc import Iterable

from chivepond.decisions import weighted_share
from chivepond.gateway import (
    client_request,
    client_response,
    forwarded_request,
    hedge_timings,
    peers,
    request_trace,
    routing_table,
    scatter_gather,
    shutdown,
    single_request,
    upstream_request,
)
from chivepond.gateway import search as searches
from chivepond.observe import event, events

_BAD_REQUEST = 400
_NOT_FOUND = 404
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_SUCCESSES = range(200, 300)  # noqa: WPS432
_REFUSALS = frozenset((_BAD_REQUEST, _NOT_FOUND, 408, 421, 429, _UNAVAILABLE))
_MS_PER_S = 1000
#: Retry-After while no configuration is known, in seconds. Outages of the
#: store last for seconds, and many clients retry just once.
_NO_CONFIGURATION_RETRY_S = 1.0
#: How long before the client's deadline the gateway gives a request up, in
#: seconds. Covers the network delay of the response, and delays of the event
#: loop on a busy host.
_DEADLINE_MARGIN_S = 0.02
#: The minimum time for a reply of a searcher, in seconds. A request with less
#: time left is refused without being sent.
_MIN_SEARCHER_TIME_S = 0.01


class RequestRouter:
    """Routes requests by the configuration that is active on arrival."""

    __slots__ = (
        '_timings',
        '_peers',
        '_share_by_route',
        '_table',
        '_context',
        'active_since',
    )

    def __init__(
        self,
        context: upstream_request.RequestContext,
        gateways: peers.Peers,
    ) -> None:
        """Start without a configuration."""
        self._context = context
        self._peers = gateways
        self._table: routing_table.RoutingTable | None = None
        #: When the active version became active, on the monotonic clock.
        self.active_since: float | None = None
        self._timings = hedge_timings.HedgeTimings(lambda: self._table)
        self._share_by_route: dict[str, weighted_share.WeightedShare] = {}

    @property
    def table(self) -> routing_table.RoutingTable | None:
        """The routing table of the active version, if there is one."""
        return self._table

    def activate(self, table: routing_table.RoutingTable) -> bool:
        """Activate ``table``; return false if the active one isn't older."""
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._share_by_route = {
            name: share
            for name, share in self._share_by_route.items()
            if name in table.target_by_name
        }
        self.active_since = asyncio.get_running_loop().time()
        return True

    def gathers(self, route_name: str, shards: Iterable[str]) -> bool:
        """Return whether a route of the active version searches ``shards``.

        Guards against serving another gateway by a different version of the
        configuration: either gateway may read a new version first.
        """
        if self._table is None:
            return False
        target = self._table.target_by_name.get(route_name)
        match target:
            case routing_table.AllShards(shards=route_shards):
                return set(route_shards).issuperset(shards)
            case _:
                return False

    def forwards(self, route_name: str, service: str) -> bool:
        """Return whether a route of the active version leads to ``service``."""
        target = self._table and self._table.target_by_name.get(route_name)
        match target:
            case routing_table.OneService(service=route_service):
                return route_service == service
            case routing_table.WeightedServices(weight_by_service=weights):
                return service in weights
            case _:
                return False

    async def serve(
        self,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        """Return the response to a request, and log its outcome."""
        clock = asyncio.get_running_loop().time
        trace = request_trace.RequestTrace(clock, request.received_at)
        table = self._table
        route = table and table.find(request.host, request.path)
        try:
            response = await self._respond(request, table, route, trace)
        except asyncio.CancelledError:
            response = client_response.refusal(
                0, 'the client closed the connection'
            )
            raise
        except Exception as error:
            # An unexpected error still gets a response, with status 500.
            response = client_response.refusal(
                _INTERNAL_ERROR,
                'internal error in the gateway',
            )
            self._context.telemetry.emit(events.GATEWAY_FAULT, what=repr(error))
        finally:
            self._log(request, route, response, trace)
        return response

    async def _respond(
        self,
        request: client_request.ClientRequest,
        table: routing_table.RoutingTable | None,
        route: routing_table.Route | None,
        trace: request_trace.RequestTrace,
    ) -> client_response.ClientResponse:
        if table is None:
            text = 'the gateway has no configuration yet'
            return client_response.refusal(
                _UNAVAILABLE, text, _NO_CONFIGURATION_RETRY_S
            )
        if route is None:
            return client_response.refusal(
                _NOT_FOUND, 'no route matches the host and path'
            )
        if not request.request_id:
            return client_response.refusal(
                _BAD_REQUEST, 'the request ID header is missing'
            )
        return await self._route(request, route, trace)

    async def _route(
        self,
        request: client_request.ClientRequest,
        route: routing_table.Route,
        trace: request_trace.RequestTrace,
    ) -> client_response.ClientResponse:
        deadline = request.deadline(route.timeout_s) - _DEADLINE_MARGIN_S
        if deadline - asyncio.get_running_loop().time() < _MIN_SEARCHER_TIME_S:
            return client_response.refusal(
                _UNAVAILABLE, 'the deadline of the request has passed', 0
            )
        if self._stops_before(route):
            return client_response.refusal(
                _UNAVAILABLE, shutdown.REASON, single_request.RETRY_AFTER_S
            )
        forwarded = forwarded_request.ForwardedRequest.of(
            request,
            is_repeatable=route.is_idempotent,
        )
        retry_after_s = self._context.crash_watch.table.retry_after_s(
            forwarded,
        )
        if retry_after_s is not None:
            text = 'searchers crashed while running identical requests'
            return client_response.refusal(_UNAVAILABLE, text, retry_after_s)
        self._context.crash_watch.follow(forwarded)
        timing = self._timings.of(route.name)
        match route.target:
            case routing_table.AllShards() as target:
                search = searches.Search(
                    forwarded,
                    route,
                    target,
                    request.received_at,
                    deadline,
                    request.network_delay_s,
                )
                return await scatter_gather.ScatterGather(
                    search,
                    self._context,
                    self._peers,
                    timing,
                    trace,
                ).serve()
            case _:
                return await single_request.serve(
                    self._choose_service(route),
                    forwarded,
                    route,
                    deadline,
                    self._context,
                    self._peers,
                    timing,
                    trace,
                )

    def _stops_before(self, route: routing_table.Route) -> bool:
        """Tell whether the gateway stops before a response is expected."""
        left_s = self._context.shutdown.left_s()
        if left_s is None:
            return False
        match route.target:
            case routing_table.OneService(service=service):
                expected_s = self._context.selection.expected_s(service)
            case _:
                expected_s = 0
        return left_s < max(expected_s, _MIN_SEARCHER_TIME_S)

    def _choose_service(self, route: routing_table.Route) -> str:
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

    def _log(
        self,
        request: client_request.ClientRequest,
        route: routing_table.Route | None,
        response: client_response.ClientResponse,
        trace: request_trace.RequestTrace,
    ) -> None:
        took_s = asyncio.get_running_loop().time() - request.received_at
        kind = _event_kind(response)
        label = route.name if route else 'none'
        telemetry = self._context.telemetry
        telemetry.count('requests', f'{label} {kind.text}')
        telemetry.record_response_time(label, took_s)
        is_late = route is not None and took_s > route.target_latency_s
        is_ordinary = kind is events.REQUEST_ANSWERED and not trace.notes
        telemetry.emit(
            kind,
            is_ordinary=is_ordinary and not is_late,
            request=request.request_id.decode(errors='replace'),
            route=label,
            version=self._table.version if self._table else None,
            status=response.status,
            took_ms=round(took_s * _MS_PER_S),
            is_late=is_late,
            shards=_shard_count(route),
            reason=response.reason,
            missing=response.reason_by_shard,
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


def _event_kind(response: client_response.ClientResponse) -> event.Event:
    if response.status in _SUCCESSES:
        if response.reason_by_shard:
            return events.REQUEST_ANSWERED_IN_PART
        return events.REQUEST_ANSWERED
    if not response.status:
        return events.REQUEST_ABANDONED
    if response.status in _REFUSALS:
        return events.REQUEST_REFUSED
    return events.REQUEST_UNANSWERED
