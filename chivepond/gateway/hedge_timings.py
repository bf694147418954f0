"""Hedge timing for each route of the active configuration."""

from collections.abc import Callable

from chivepond.decisions import hedge_timing
from chivepond.gateway import routing_table


class HedgeTimings:
    """Learned hedge timing by route; drops routes that no longer exist."""

    __slots__ = ('_timing_by_route', '_table', '_version')

    def __init__(
        self,
        table: Callable[[], routing_table.RoutingTable | None],
    ) -> None:
        """Use the routing table that ``table`` returns."""
        self._table = table
        self._version: int | None = None
        self._timing_by_route: dict[str, hedge_timing.HedgeTiming] = {}

    def __len__(self) -> int:
        """Return the number of routes with a hedge timing."""
        return len(self._timing_by_route)

    def of(self, route_name: str) -> hedge_timing.HedgeTiming:
        """Return the hedge timing of a route, a new one if there is none."""
        table = self._table()
        if table is not None and table.version != self._version:
            self._version = table.version
            self._timing_by_route = {
                name: timing
                for name, timing in self._timing_by_route.items()
                if name in table.target_by_name
            }
        return self._timing_by_route.setdefault(
            route_name,
            hedge_timing.HedgeTiming(),
        )
