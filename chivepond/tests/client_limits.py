"""Routes with the limits on requests that small deployments have."""

from chivepond.gateway import routing_table
from chivepond.platform import documents, store_calls
from chivepond.tests import gateway_bench

LIMITS = routing_table.ClientLimits(
    header_bytes=16384,
    body_bytes=262144,
    header_timeout_s=3,
    idle_timeout_s=15,
)


def configure(
    bench: gateway_bench.Bench,
    limits: routing_table.ClientLimits = LIMITS,
) -> None:
    """Write one route that may be repeated, and one that may not."""
    routes = [
        gateway_bench.route('r', '/r/', service='desk', timeout_ms=8000),
        gateway_bench.route(
            'once',
            '/once/',
            service='desk',
            kind='non_idempotent',
            timeout_ms=8000,
        ),
    ]
    bench.store.put(
        store_calls.CONFIGURATION,
        store_calls.CONFIGURATION_NAME,
        documents.configuration(1, routes, limits, 40),
    )
