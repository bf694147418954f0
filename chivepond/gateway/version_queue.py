"""Activates versions of the routing table, some after a short wait."""

import asyncio
from collections.abc import Callable

from chivepond.decisions import switches, version_wait
from chivepond.gateway import (
    closeable,
    request_router,
    routing_table,
    searchers,
)
from chivepond.settings import mechanism


class VersionQueue(closeable.Closeable):
    """Holds at most one version, until it can be served or its wait ends."""

    __slots__ = (
        '_bound_s',
        '_timer',
        '_on_active',
        '_searchers',
        '_switches',
        '_waiting',
        '_router',
    )

    def __init__(
        self,
        router: request_router.RequestRouter,
        searcher_registry: searchers.Searchers,
        bound_s: float,
        on_active: Callable[[routing_table.RoutingTable], None],
        mechanism_switches: switches.Switches,
    ) -> None:
        """Activate each version within ``bound_s`` seconds.

        ``on_active`` is called with each version that was activated.
        """
        self._router = router
        self._switches = mechanism_switches
        self._searchers = searcher_registry
        self._bound_s = bound_s
        self._on_active = on_active
        self._waiting: routing_table.RoutingTable | None = None
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Discard the waiting version."""
        self._clear()

    def offer(
        self, table: routing_table.RoutingTable, age_s: float = 0
    ) -> bool:
        """Activate or queue a version; return whether it waits.

        The previous version was confirmed ``age_s`` seconds ago. A newer
        version replaces the waiting one and inherits its deadline. Versions
        that are not newer are ignored.
        """
        newest = self._waiting or self._router.table
        if newest is not None and table.version <= newest.version:
            return False
        if not self._leaves_more_unserved(table):
            self._activate(table)
            return False
        self._waiting = table
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                version_wait.max_delay_s(self._bound_s, age_s),
                self._activate_waiting,
            )
        return True

    def recheck(self) -> None:
        """Activate the waiting version if its searchers are listed by now."""
        if self._waiting is not None and not self._leaves_more_unserved(
            self._waiting
        ):
            self._activate_waiting()

    def _activate_waiting(self) -> None:
        if self._waiting is not None:
            self._activate(self._waiting)

    def _activate(self, table: routing_table.RoutingTable) -> None:
        self._clear()
        if self._router.activate(table):
            self._on_active(table)

    def _clear(self) -> None:
        self._waiting = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _leaves_more_unserved(self, table: routing_table.RoutingTable) -> bool:
        is_on = self._switches.is_on(mechanism.Mechanism.VERSION_WAIT)
        if self._router.table is None or not is_on:
            return False
        return self._count_unserved(table) > self._count_unserved(
            self._router.table
        )

    def _count_unserved(self, table: routing_table.RoutingTable) -> int:
        return sum(
            not self._is_served(route.target) for route in table.routes()
        )

    def _is_served(self, target: routing_table.Target) -> bool:
        match target:
            case routing_table.OneService(service=service):
                return self._searchers.is_listed(service)
            case routing_table.WeightedServices(weight_by_service=weights):
                return all(map(self._searchers.is_listed, weights))
            case routing_table.AllShards() as search:
                return version_wait.is_search_served(
                    search.shards,
                    search.least_share,
                    self._searchers.is_listed,
                )
