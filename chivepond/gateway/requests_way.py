"""Takes a caller's request from its route to its answer."""

import asyncio

from chivepond.decisions import second_ask_time, weighted_share
from chivepond.gateway import (
    answer,
    caller_request,
    forwarded_request,
    gathered_request,
    routing_table,
    service_ask,
    single_request,
)

_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TIMED_OUT = 504
#: When to come back while no configuration is known, in seconds.
_UNKNOWN_RETRY_S = 0.5
#: How long before the caller's deadline the last word is said, in seconds:
#: the way back to the caller, and the loop's delay on a busy host.
_LAST_WORD_S = 0.02


class RequestsWay:
    """Routes requests by the version in force when they come."""

    __slots__ = ('_late_by_route', '_share_by_route', '_table', '_tools')

    def __init__(self, tools: service_ask.AskTools) -> None:
        """Know no configuration yet."""
        self._tools = tools
        self._table: routing_table.RoutingTable | None = None
        self._late_by_route: dict[str, second_ask_time.SecondAskTime] = {}
        self._share_by_route: dict[str, weighted_share.WeightedShare] = {}

    @property
    def table(self) -> routing_table.RoutingTable | None:
        """The version in force."""
        return self._table

    def put_in_force(self, table: routing_table.RoutingTable) -> None:
        """Route by ``table`` from now on, unless a newer one is in force."""
        if self._table is None or table.version > self._table.version:
            self._table = table

    async def serve(
        self,
        request: caller_request.CallerRequest,
    ) -> answer.Answer:
        """Return the answer to one request."""
        table = self._table
        if table is None:
            return answer.refusal(
                _UNAVAILABLE,
                'no configuration is known yet',
                _UNKNOWN_RETRY_S,
            )
        route = table.find(request.host, request.path)
        if route is None:
            return answer.refusal(_NOT_FOUND, 'no route leads there')
        if not request.request_id:
            return answer.refusal(_BAD_REQUEST, 'the request has no identifier')
        return await self._route(request, route)

    async def _route(
        self,
        request: caller_request.CallerRequest,
        route: routing_table.Route,
    ) -> answer.Answer:
        deadline = request.deadline(route.timeout_s) - _LAST_WORD_S
        if asyncio.get_running_loop().time() >= deadline:
            return answer.refusal(_UNAVAILABLE, 'the time is over', 0)
        forwarded = forwarded_request.ForwardedRequest(request)
        late = self._late_by_route.setdefault(
            route.name,
            second_ask_time.SecondAskTime(),
        )
        match route.target:
            case routing_table.AllShards() as target:
                return await gathered_request.serve(
                    gathered_request.Gathering(
                        forwarded,
                        route,
                        target,
                        request.came_at,
                        deadline,
                    ),
                    self._tools,
                    late,
                )
            case _:
                return await single_request.serve(
                    self._service(route),
                    forwarded,
                    route,
                    deadline,
                    self._tools,
                    late,
                )

    def _service(self, route: routing_table.Route) -> str:
        match route.target:
            case routing_table.OneService(service=service):
                return service
            case routing_table.WeightedServices(weight_by_service=weights):
                share = self._share_by_route.get(route.name)
                if share is None or share.weight_by_name != weights:
                    share = weighted_share.WeightedShare(weights)
                    self._share_by_route[route.name] = share
                return share.take()
            case _:
                raise TypeError(route.target)
