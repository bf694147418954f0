"""Serves counters, gauges and histograms in the Prometheus text format."""

from collections.abc import Callable, Mapping

from chivepond.gateway import client_request, client_response, telemetry

_OK = 200
_NOT_FOUND = 404
_PATH = b'/metrics'
_TYPE = (b'Content-Type', b'text/plain; version=0.0.4; charset=utf-8')
_PREFIX = 'chivepond_gateway'
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class MetricsPage:
    """Renders the current metrics for each scrape.

    It does not use aioprometheus: the library takes a megabyte of memory on
    each small host, and only a page of a few dozen lines would need it.
    """

    __slots__ = ('_update_gauges', '_telemetry')

    def __init__(
        self,
        gateway_telemetry: telemetry.Telemetry,
        update_gauges: Callable[[], None],
    ) -> None:
        """Call ``read_gauges`` to update the gauges before each page."""
        self._telemetry = gateway_telemetry
        self._update_gauges = update_gauges

    async def serve(
        self,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        """Return the metrics page, or 404 for another path."""
        if request.path != _PATH:
            return client_response.refusal(
                _NOT_FOUND, 'not found; metrics are served at /metrics'
            )
        self._update_gauges()
        return client_response.ClientResponse(
            _OK, [_TYPE], self.render().encode()
        )

    def render(self) -> str:
        """Return the text of the metrics page."""
        lines: list[str] = []
        for name, sample in sorted(self._telemetry.gauge_by_name.items()):
            lines.append(f'# TYPE {_PREFIX}_{name} gauge')
            lines.append(f'{_PREFIX}_{name} {sample}')
        for name, gauges in sorted(self._telemetry.gauges_by_name.items()):
            lines.append(f'# TYPE {_PREFIX}_{name} gauge')
            lines.extend(
                f'{_PREFIX}_{name}{{of="{label.translate(_ESCAPES)}"}} {sample}'
                for label, sample in sorted(gauges.items())
            )
        for name, counts in sorted(self._telemetry.counts_by_name.items()):
            metric_name = f'{_PREFIX}_{name}_total'
            lines.append(f'# TYPE {metric_name} counter')
            lines.extend(
                f'{metric_name}{{of="{label.translate(_ESCAPES)}"}} {count}'
                for label, count in sorted(counts.items())
            )
        lines.extend(
            _histogram(
                f'{_PREFIX}_request_duration_seconds',
                'route',
                self._telemetry.latency_by_route,
            ),
        )
        lines.extend(
            _histogram(
                f'{_PREFIX}_connection_wait_seconds',
                'of',
                self._telemetry.wait_by_kind,
            ),
        )
        return '\n'.join([*lines, ''])


def _histogram(
    metric_name: str,
    label_name: str,
    latency_by_label: Mapping[str, telemetry.LatencyHistogram],
) -> list[str]:
    lines = [f'# TYPE {metric_name} histogram']
    for label_value, latency in sorted(latency_by_label.items()):
        label = f'{label_name}="{label_value.translate(_ESCAPES)}"'
        for bound, count in latency.cumulative_counts():
            lines.append(
                f'{metric_name}_bucket{{{label},le="{bound}"}} {count}'
            )
        lines.append(f'{metric_name}_sum{{{label}}} {latency.total_s}')
        lines.append(f'{metric_name}_count{{{label}}} {sum(latency.counts)}')
    return lines
