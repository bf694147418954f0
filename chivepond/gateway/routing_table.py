"""One version of the routing configuration, as the gateway uses it."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(slots=True, frozen=True)
class OneService:
    """Requests go to one service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedServices:
    """Requests are shared out among services in proportion to weights."""

    weight_by_service: Mapping[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class AllShards:
    """Requests go to every shard; the answer is merged from the parts."""

    shards: tuple[str, ...]
    #: How many of the greatest records an answer holds.
    top_count: int
    #: The smallest share of the shards that makes a success, 0 to 1.
    least_share: float


Target = OneService | WeightedServices | AllShards


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """What is done with the requests below one prefix of a host's paths."""

    name: str
    host: bytes
    prefix: bytes
    target: Target
    is_idempotent: bool
    #: The longest a request may be kept waiting, in seconds.
    timeout_s: float
    #: The time within which an answer has its full worth, in seconds.
    target_latency_s: float
    #: The most searchers that one request, or each of its parts, may go to.
    max_attempts: int
    #: Zero is the most urgent.
    priority: int


@dataclasses.dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a caller may send, and how long it may take over it."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


_HEADER_BYTES = 16384
_BODY_BYTES = 262144
_IDLE_S = 15
#: Bounds until a configuration is known, those of the usual deployments.
DEFAULT_LIMITS = ClientLimits(
    header_bytes=_HEADER_BYTES,
    body_bytes=_BODY_BYTES,
    header_timeout_s=3,
    idle_timeout_s=_IDLE_S,
)


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingTable:
    """One whole version; never changed once made."""

    version: int
    routes_by_host: Mapping[bytes, tuple[Route, ...]]
    connection_cap_by_service: Mapping[str, int]
    limits: ClientLimits
    target_by_name: Mapping[str, Target]

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix that begins ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def by_host(routes: list[Route]) -> dict[bytes, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    grouped: dict[bytes, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(same, key=_prefix_length, reverse=True))
        for host, same in grouped.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
