"""Updates the gauges of a gateway when its metrics are scraped."""

import asyncio
import collections
import dataclasses

from chivepond.decisions import upstream_health
from chivepond.gateway import (
    gateway_counts,
    listener,
    request_router,
    searchers,
    telemetry,
    upstream_request,
)
from chivepond.settings import mechanism


@dataclasses.dataclass(slots=True)
class Gauges:
    """The components that the gauges are read from."""

    client_listener: listener.Listener
    counts: gateway_counts.GatewayCounts
    router: request_router.RequestRouter
    searchers: searchers.Searchers
    context: upstream_request.RequestContext

    def publish(
        self, gateway_telemetry: telemetry.Telemetry, *, is_ready: bool
    ) -> None:
        """Set all gauges to their current readings."""
        gateway_telemetry.gauge('ready', int(is_ready))
        gateway_telemetry.gauge(
            'caller_connections', self.client_listener.connections
        )
        gateway_telemetry.gauge(
            'requests_in_work', self.client_listener.requests_in_progress
        )
        gateway_telemetry.gauge('searches_let_in', self.context.admission.share)
        for name in (
            'gateways_known',
            'searchers_known',
            'searcher_connections',
        ):
            gateway_telemetry.gauge(name, getattr(self.counts, name))
        gateway_telemetry.gauge('routes_age_seconds', self._routes_age_s())
        gateway_telemetry.labelled_gauge(
            'searchers', self._searchers_by_state()
        )
        gateway_telemetry.labelled_gauge('mechanism_is_on', self._mechanisms())
        gateway_telemetry.labelled_gauge(
            'second_sends_left',
            self.context.budgets.left_by_service(),
        )

    def _mechanisms(self) -> dict[str, float]:
        mechanism_switches = self.context.switches
        return {
            str(feature): int(mechanism_switches.is_on(feature))
            for feature in mechanism.Mechanism
        }

    def _routes_age_s(self) -> float:
        if self.router.active_since is None:
            return 0
        now = asyncio.get_running_loop().time()
        return now - self.router.active_since

    def _searchers_by_state(self) -> dict[str, float]:
        now = asyncio.get_running_loop().time()
        counts: collections.Counter[str] = collections.Counter()
        for state in upstream_health.HealthState:
            counts[state.name.lower()] = 0
        counts['leaving'] = 0
        counts.update(self.searchers.states(now))
        return dict(counts)
