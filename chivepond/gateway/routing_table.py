"""The routing table of one configuration version."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping


@dataclasses.dataclass(slots=True, frozen=True)
class OneService:
    """Sends requests to one service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedServices:
    """Splits requests among services in proportion to their weights."""

    weight_by_service: Mapping[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class AllShards:
    """Sends requests to every shard and merges the results."""

    shards: tuple[str, ...]
    #: Number of records in a response, the greatest ones.
    top_count: int
    #: Minimum share of the shards for a successful response, 0 to 1.
    least_share: float


Target = OneService | WeightedServices | AllShards


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """How requests with one path prefix on one host are handled."""

    name: str
    host: bytes
    prefix: bytes
    target: Target
    is_idempotent: bool
    #: Maximum time until the response, in seconds.
    timeout_s: float
    #: Target time until the response, in seconds.
    target_latency_s: float
    #: Maximum searchers that a request, or each shard of a search, is sent to.
    max_attempts: int
    #: Zero is the most urgent.
    priority: int


@dataclasses.dataclass(slots=True, frozen=True)
class ClientLimits:
    """Size limits and time-outs for client connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


_HEADER_BYTES = 16384
_BODY_BYTES = 262144
_IDLE_S = 15
#: Limits until a configuration is known; typical deployments use the same.
DEFAULT_LIMITS = ClientLimits(
    header_bytes=_HEADER_BYTES,
    body_bytes=_BODY_BYTES,
    header_timeout_s=3,
    idle_timeout_s=_IDLE_S,
)


@dataclasses.dataclass(slots=True, frozen=True)
class HostRoutes:
    """The routes of one host."""

    route_by_prefix: Mapping[bytes, Route]
    #: The distinct prefix lengths in descending order. They stay few also with
    #: thousands of routes, so the lookup time does not grow with the routes.
    prefix_lengths: tuple[int, ...]

    def find(self, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        for length in self.prefix_lengths:
            route = self.route_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingTable:
    """One immutable version of the routing configuration."""

    version: int
    routes_by_host: Mapping[bytes, HostRoutes]
    connection_cap_by_service: Mapping[str, int]
    limits: ClientLimits
    target_by_name: Mapping[str, Target]

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        routes = self.routes_by_host.get(host)
        return routes and routes.find(path)

    def routes(self) -> Iterator[Route]:
        """Yield the routes of all hosts."""
        for host_routes in self.routes_by_host.values():
            yield from host_routes.route_by_prefix.values()


def by_host(routes: Iterable[Route]) -> dict[bytes, HostRoutes]:
    """Return routes by host; the first of two with equal prefixes wins."""
    grouped: dict[bytes, dict[bytes, Route]] = {}
    for route in routes:
        host_route_by_prefix = grouped.setdefault(route.host, {})
        host_route_by_prefix.setdefault(route.prefix, route)
    return {
        host: _host_routes(route_by_prefix)
        for host, route_by_prefix in grouped.items()
    }


def _host_routes(route_by_prefix: Mapping[bytes, Route]) -> HostRoutes:
    lengths = set(map(len, route_by_prefix))
    return HostRoutes(route_by_prefix, tuple(sorted(lengths, reverse=True)))
