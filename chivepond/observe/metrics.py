"""Renders counters of a node in the Prometheus format on each scrape."""

import aioprometheus
from aioprometheus import renderer
from starlette import requests, responses, routing

from chivepond.observe import node_gauges, telemetry

_PREFIX = 'chivepond'
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class Metrics:
    """Builds all metrics of a node at the time of a scrape."""

    __slots__ = ('_gauges', '_telemetry')

    def __init__(
        self,
        node_telemetry: telemetry.Telemetry,
        gauges: node_gauges.ReadGauges,
    ) -> None:
        """Read requests from ``node_telemetry``, the rest from ``gauges``."""
        self._telemetry = node_telemetry
        self._gauges = gauges

    def route(self) -> routing.Route:
        """Return the route of the metrics endpoint."""
        return routing.Route('/metrics', self._scrape)

    def render(self, accept_headers: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers for a scrape.

        ``accept_headers`` are the Accept headers, which select the format.
        """
        registry = aioprometheus.Registry()
        self._add_node_gauges(registry)
        self._add_requests(registry)
        self._add_attempts(registry)
        self._add_latency(registry)
        self._add_shards(registry)
        return renderer.render(registry, accept_headers)

    async def _scrape(self, request: requests.Request) -> responses.Response:
        accept_headers = request.headers.getlist('accept')
        body, headers = self.render(accept_headers)
        return responses.Response(body, headers=headers)

    def _add_node_gauges(self, registry: aioprometheus.Registry) -> None:
        gauges = self._gauges()
        for name, meaning, reading in (
            ('configuration_revision', 'Revision in force.', gauges.revision),
            ('live_nodes', 'Nodes seen as live.', gauges.live_nodes),
            ('searchers', 'Searchers of the list.', gauges.searchers),
            ('ready', 'One when callers are taken.', int(gauges.is_ready)),
        ):
            _gauge(registry, name, meaning).set({}, reading)
        connections = _gauge(
            registry,
            'connections',
            'Connections that are open to this node.',
        )
        for side, count in gauges.connections_by_side.items():
            connections.set({'side': side}, count)
        self._add_call_counters(registry, gauges)

    def _add_call_counters(
        self,
        registry: aioprometheus.Registry,
        gauges: node_gauges.NodeGauges,
    ) -> None:
        refused = _counter(
            registry,
            'peer_messages_refused_total',
            'Messages between nodes without a valid signature.',
        )
        refused.set({}, gauges.unsigned_refused)
        refused_for_memory = _counter(
            registry,
            'clients_refused_for_memory_total',
            'Clients refused as the memory for requests was used up.',
        )
        refused_for_memory.set({}, gauges.memory_refused)
        calls = _counter(
            registry,
            'platform_calls_total',
            'Calls on the platform by result.',
        )
        for outcome, count in gauges.platform_calls_by_result.items():
            calls.set({'result': outcome}, count)

    def _add_requests(self, registry: aioprometheus.Registry) -> None:
        counter = _counter(
            registry,
            'requests_total',
            'Requests by service, operation and outcome.',
        )
        for service, counts in self._telemetry.current_counts().items():
            for operation_and_outcome, count in counts.by_outcome.items():
                operation, outcome = operation_and_outcome
                labels = {
                    'service': _escape_label(service),
                    'operation': operation,
                    'outcome': outcome,
                }
                counter.set(labels, count)

    def _add_attempts(self, registry: aioprometheus.Registry) -> None:
        attempts = _counter(
            registry,
            'shard_attempts_total',
            'Sub-queries sent to searchers, repeats and hedges included.',
        )
        for service, counts in self._telemetry.current_counts().items():
            attempts.set({'service': _escape_label(service)}, counts.attempts)

    def _add_latency(self, registry: aioprometheus.Registry) -> None:
        latency = aioprometheus.Histogram(
            f'{_PREFIX}_search_duration_seconds',
            'Time from the arrival of a search to its answer.',
            registry=registry,
        )
        for service, counts in self._telemetry.current_counts().items():
            latency.set_value(
                {'service': _escape_label(service)}, counts.latency
            )

    def _add_shards(self, registry: aioprometheus.Registry) -> None:
        total = _counter(
            registry,
            'search_shards_total',
            'Shards of the snapshots that answers were drawn from.',
        )
        covered = _counter(
            registry,
            'search_shards_covered_total',
            'Shards that answers covered.',
        )
        missing = _counter(
            registry,
            'search_shards_missing_total',
            'Shards that answers did not cover, by reason.',
        )
        for service, counts in self._telemetry.current_counts().items():
            label = _escape_label(service)
            total.set({'service': label}, counts.shards)
            covered.set({'service': label}, counts.shards_covered)
            for reason, count in counts.missing_by_reason.items():
                missing.set(
                    {'service': label, 'reason': _escape_label(reason)},
                    count,
                )


def _gauge(
    registry: aioprometheus.Registry,
    name: str,
    meaning: str,
) -> aioprometheus.Gauge:
    full_name = f'{_PREFIX}_{name}'
    return aioprometheus.Gauge(full_name, meaning, registry=registry)


def _counter(
    registry: aioprometheus.Registry,
    name: str,
    meaning: str,
) -> aioprometheus.Counter:
    full_name = f'{_PREFIX}_{name}'
    return aioprometheus.Counter(full_name, meaning, registry=registry)


def _escape_label(text: str) -> str:
    """Escape a label value, which the library does not do."""
    return text.translate(_ESCAPES)
