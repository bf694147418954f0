"""Reads the gauges off the parts of a gateway when metrics are asked for."""

import asyncio
import collections
import dataclasses

from chivepond.decisions import searcher_standing
from chivepond.gateway import (
    figures,
    listener,
    requests_way,
    searchers,
    service_ask,
    telemetry,
)
from chivepond.settings import mechanism


@dataclasses.dataclass(slots=True)
class Gauges:
    """The parts that are read; each name is a gauge of the page."""

    front: listener.Listener
    figures: figures.Figures
    way: requests_way.RequestsWay
    searchers: searchers.Searchers
    tools: service_ask.AskTools

    def read(self, told: telemetry.Telemetry, *, is_ready: bool) -> None:
        """Set all gauges to what holds now."""
        told.gauge('ready', int(is_ready))
        told.gauge('caller_connections', self.front.connections)
        told.gauge('requests_in_work', self.front.working)
        told.gauge('searches_let_in', self.tools.admission.share)
        for name in (
            'gateways_known',
            'searchers_known',
            'searcher_connections',
        ):
            told.gauge(name, getattr(self.figures, name))
        told.gauge('routes_age_seconds', self._routes_age_s())
        told.labelled_gauge('searchers', self._searchers_by_state())
        told.labelled_gauge('mechanism_is_on', self._mechanisms())
        told.labelled_gauge(
            'second_sends_left',
            self.tools.budgets.left_by_service(),
        )

    def _mechanisms(self) -> dict[str, float]:
        switched = self.tools.switches
        return {
            str(one): int(switched.is_on(one)) for one in mechanism.Mechanism
        }

    def _routes_age_s(self) -> float:
        if self.way.in_force_since is None:
            return 0
        now = asyncio.get_running_loop().time()
        return now - self.way.in_force_since

    def _searchers_by_state(self) -> dict[str, float]:
        now = asyncio.get_running_loop().time()
        counts: collections.Counter[str] = collections.Counter()
        for trust in searcher_standing.Trust:
            counts[trust.name.lower()] = 0
        counts['leaving'] = 0
        counts.update(self.searchers.states(now))
        return dict(counts)
