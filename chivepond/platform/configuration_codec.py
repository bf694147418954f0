"""Decodes the operators' routing configuration."""

import msgspec
import result

from chivepond.errors import invalid
from chivepond.gateway import routing_table

_MS_PER_S = 1000
_REMEDY = 'write a whole configuration; the version before it stays in force'


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int = 1
    #: The latency at which an answer earns its full worth.
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ''
    #: Services that share the requests by weight.
    traffic_split: list[_Weighted] = []
    #: Services that each hold one shard.
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
    """Return the routing table, or what is wrong with the document."""
    try:
        told = msgspec.json.decode(spec, type=_Configuration)
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(invalid.Invalid(str(error), _REMEDY))
    return result.Ok(_table(told))


def _table(told: _Configuration) -> routing_table.RoutingTable:
    routes = [_route(one) for one in told.routes]
    return routing_table.RoutingTable(
        version=told.version,
        routes_by_host=routing_table.by_host(routes),
        target_by_name={one.name: one.target for one in routes},
        connection_cap_by_service={
            one.name: one.max_conns for one in told.services
        },
        limits=routing_table.ClientLimits(
            header_bytes=told.limits.max_header_bytes,
            body_bytes=told.limits.max_body_bytes,
            header_timeout_s=told.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=told.limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def _route(told: _Route) -> routing_table.Route:
    return routing_table.Route(
        name=told.name,
        host=told.host.lower().encode(),
        prefix=told.path_prefix.encode(),
        target=_target(told),
        is_idempotent=told.kind == 'idempotent',
        timeout_s=told.timeout_ms / _MS_PER_S,
        target_latency_s=(told.target_latency_ms or told.timeout_ms)
        / _MS_PER_S,
        max_attempts=max(1, told.max_attempts),
        priority=told.priority,
    )


def _target(told: _Route) -> routing_table.Target:
    if told.gather:
        return routing_table.AllShards(
            shards=tuple(told.gather),
            top_count=told.top_k,
            least_share=told.min_shard_ratio,
        )
    if told.traffic_split:
        return routing_table.WeightedServices(
            weight_by_service={
                one.service: one.weight for one in told.traffic_split
            },
        )
    return routing_table.OneService(service=told.service)
