"""Builds documents in the platform's format, as operators and searchers do.

Used by stand-ins and tests; the gateway itself only reads such documents.
"""

from typing import Any

import msgspec

from chivepond.gateway import routing_table
from chivepond.transport import address

_MS_PER_S = 1000


def route(
    name: str, host: str, prefix: str, **overrides: Any
) -> dict[str, Any]:
    """Return a route, by default idempotent and with two attempts.

    ``overrides`` replaces fields by their platform names.
    """
    return {
        'name': name,
        'host': host,
        'path_prefix': prefix,
        'kind': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'max_attempts': 2,
        'priority': 1,
    } | overrides


def gathered(
    shards: list[str],
    top_count: int,
    least_share: float,
    target_latency_ms: float,
) -> dict[str, Any]:
    """Return the route fields that gather from all of ``shards``."""
    return {
        'gather': shards,
        'top_k': top_count,
        'min_shard_ratio': least_share,
        'target_latency_ms': target_latency_ms,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    limits: routing_table.ClientLimits,
    connection_cap: int = 40,
) -> dict[str, Any]:
    """Return a complete configuration."""
    services = {
        name
        for entry in routes
        for name in (entry.get('service'), *entry.get('gather', ()))
        if name
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': connection_cap,
            }
            for name in sorted(services)
        ],
        'limits': {
            'max_header_bytes': limits.header_bytes,
            'max_body_bytes': limits.body_bytes,
            'header_timeout_ms': limits.header_timeout_s * _MS_PER_S,
            'idle_timeout_ms': limits.idle_timeout_s * _MS_PER_S,
        },
    }


def encode(spec: Any) -> bytes:
    """Return ``spec`` as the JSON bytes that the store holds."""
    return msgspec.json.encode(spec)


def searcher(
    service: str,
    endpoint: address.Address,
    **overrides: Any,
) -> dict[str, Any]:
    """Return a searcher's registration, by default in state ``ready``.

    ``overrides`` replaces fields by their platform names.
    """
    return {
        'service': service,
        'address': str(endpoint),
        'zone': 'base',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': 1000,
    } | overrides
