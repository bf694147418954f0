"""Metrics in the form of Prometheus, made from plain counts on a scrape."""

import aioprometheus
from aioprometheus import renderer
from starlette import requests, responses, routing

from chivepond.observe import node_gauges, telemetry

_PREFIX = 'chivepond'
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class Metrics:
    """Renders what a node has counted; nothing is labelled before."""

    __slots__ = ('_gauges', '_told')

    def __init__(
        self,
        told: telemetry.Telemetry,
        gauges: node_gauges.Read,
    ) -> None:
        """Read requests from ``told`` and the rest from ``gauges``."""
        self._told = told
        self._gauges = gauges

    def route(self) -> routing.Route:
        """Return the route of a scrape."""
        return routing.Route('/metrics', self._scrape)

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of a scrape."""
        registry = aioprometheus.Registry()
        self._node(registry)
        self._requests(registry)
        self._attempts(registry)
        self._latency(registry)
        self._shards(registry)
        return renderer.render(registry, accepts)

    async def _scrape(self, request: requests.Request) -> responses.Response:
        accepts = request.headers.getlist('accept')
        body, headers = self.render(accepts)
        return responses.Response(body, headers=headers)

    def _node(self, registry: aioprometheus.Registry) -> None:
        told = self._gauges()
        for name, meaning, seen in (
            ('configuration_revision', 'Revision in force.', told.revision),
            ('live_nodes', 'Nodes seen as live.', told.live_nodes),
            ('searchers', 'Searchers of the list.', told.searchers),
            ('ready', 'One when callers are taken.', int(told.is_ready)),
        ):
            _gauge(registry, name, meaning).set({}, seen)
        connections = _gauge(
            registry,
            'connections',
            'Connections that are open to this node.',
        )
        for side, count in told.connections_by_side.items():
            connections.set({'side': side}, count)
        self._calls(registry, told)

    def _calls(
        self,
        registry: aioprometheus.Registry,
        told: node_gauges.NodeGauges,
    ) -> None:
        refused = _counter(
            registry,
            'peer_messages_refused_total',
            'Messages between nodes without a valid signature.',
        )
        refused.set({}, told.unsigned_refused)
        calls = _counter(
            registry,
            'platform_calls_total',
            'Calls on the platform by result.',
        )
        for outcome, count in told.platform_calls_by_result.items():
            calls.set({'result': outcome}, count)

    def _requests(self, registry: aioprometheus.Registry) -> None:
        counter = _counter(
            registry,
            'requests_total',
            'Requests by service, operation and outcome.',
        )
        for service, counts in self._told.current().items():
            for ended, count in counts.by_outcome.items():
                operation, outcome = ended
                labels = {
                    'service': _label(service),
                    'operation': operation,
                    'outcome': outcome,
                }
                counter.set(labels, count)

    def _attempts(self, registry: aioprometheus.Registry) -> None:
        attempts = _counter(
            registry,
            'shard_attempts_total',
            'Sub-queries sent to searchers, repeats and hedges included.',
        )
        for service, counts in self._told.current().items():
            attempts.set({'service': _label(service)}, counts.attempts)

    def _latency(self, registry: aioprometheus.Registry) -> None:
        latency = aioprometheus.Histogram(
            f'{_PREFIX}_search_duration_seconds',
            'Time from the arrival of a search to its answer.',
            registry=registry,
        )
        for service, counts in self._told.current().items():
            latency.set_value({'service': _label(service)}, counts.latency)

    def _shards(self, registry: aioprometheus.Registry) -> None:
        asked = _counter(
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
        for service, counts in self._told.current().items():
            label = _label(service)
            asked.set({'service': label}, counts.shards)
            covered.set({'service': label}, counts.shards_covered)
            for reason, count in counts.missing_by_reason.items():
                missing.set(
                    {'service': label, 'reason': _label(reason)},
                    count,
                )


def _gauge(
    registry: aioprometheus.Registry,
    name: str,
    meaning: str,
) -> aioprometheus.Gauge:
    full = f'{_PREFIX}_{name}'
    return aioprometheus.Gauge(full, meaning, registry=registry)


def _counter(
    registry: aioprometheus.Registry,
    name: str,
    meaning: str,
) -> aioprometheus.Counter:
    full = f'{_PREFIX}_{name}'
    return aioprometheus.Counter(full, meaning, registry=registry)


def _label(text: str) -> str:
    """Return a label's value; the library does not escape it."""
    return text.translate(_ESCAPES)
