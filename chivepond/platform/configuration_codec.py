"""Decodes the routing configuration that operators write to the store."""

import msgspec
import result

from chivepond.errors import invalid
from chivepond.gateway import routing_table
from chivepond.platform import store_codec

_MS_PER_S = 1000
_REMEDY = 'write a complete configuration; the previous version stays in force'


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int = 1
    #: Responses within this latency have full value; 0 means ``timeout_ms``.
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ''
    #: Services among which requests are distributed by weight.
    traffic_split: list[_WeightedService] = []
    #: Services to fan out to; each one holds one shard.
    gather: list[str] = []
    top_k: int = 0
    min_shard_ratio: float = 0


class _Service(msgspec.Struct):
    name: str
    max_conns: int


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


def decode(
    spec: bytes | msgspec.Raw,
) -> result.Result[routing_table.RoutingTable, invalid.Invalid]:
    """Return the routing table, or ``Invalid`` when decoding fails."""
    match store_codec.decode(spec, _Configuration):
        case result.Ok(configuration):
            return result.Ok(_routing_table(configuration))
        case failure:
            message = failure.unwrap_err().message
            return result.Err(invalid.Invalid(message, _REMEDY))


def _routing_table(configuration: _Configuration) -> routing_table.RoutingTable:
    routes = [_route(entry) for entry in configuration.routes]
    return routing_table.RoutingTable(
        version=configuration.version,
        routes_by_host=routing_table.by_host(routes),
        target_by_name={route.name: route.target for route in routes},
        connection_cap_by_service={
            service.name: service.max_conns
            for service in configuration.services
        },
        limits=routing_table.ClientLimits(
            header_bytes=configuration.limits.max_header_bytes,
            body_bytes=configuration.limits.max_body_bytes,
            header_timeout_s=configuration.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=configuration.limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def _route(entry: _Route) -> routing_table.Route:
    return routing_table.Route(
        name=entry.name,
        host=entry.host.lower().encode(),
        prefix=entry.path_prefix.encode(),
        target=_target(entry),
        is_idempotent=entry.kind == 'idempotent',
        timeout_s=entry.timeout_ms / _MS_PER_S,
        target_latency_s=(entry.target_latency_ms or entry.timeout_ms)
        / _MS_PER_S,
        max_attempts=max(1, entry.max_attempts),
        priority=entry.priority,
    )


def _target(entry: _Route) -> routing_table.Target:
    if entry.gather:
        return routing_table.AllShards(
            shards=tuple(entry.gather),
            top_count=entry.top_k,
            least_share=entry.min_shard_ratio,
        )
    if entry.traffic_split:
        return routing_table.WeightedServices(
            weight_by_service={
                share.service: share.weight for share in entry.traffic_split
            },
        )
    return routing_table.OneService(service=entry.service)
