"""Selects the searchers of a service by their health."""

import asyncio
from collections.abc import Iterable

from chivepond.decisions import (
    searcher_choice,
    switches,
    upstream_health,
)
from chivepond.gateway import peer_channel, searchers
from chivepond.settings import mechanism


class SearcherSelection:
    """Selects among the registered searchers."""

    __slots__ = ('_loop', '_searchers', '_switches')

    def __init__(
        self,
        registered: searchers.Searchers,
        mechanism_switches: switches.Switches,
    ) -> None:
        """Select among ``registered``."""
        self._searchers = registered
        self._switches = mechanism_switches
        self._loop = asyncio.get_running_loop()

    def query_locations(
        self,
        services: Iterable[str],
        target_latency_s: float,
    ) -> dict[str, list[searcher_choice.QueryLocation]]:
        """Return the data centres of each service, the best one first.

        Services without a searcher are left out.
        """
        now = self._loop.time()
        locations_by_service = {}
        for service in services:
            locations = searcher_choice.query_locations(
                self._searchers.candidates(service),
                now,
                self._switches,
                target_latency_s,
            )
            if locations:
                locations_by_service[service] = locations
        return locations_by_service

    def choose(
        self,
        service: str,
        tried: set[str],
        requirements: searcher_choice.SearcherRequirements,
    ) -> peer_channel.PeerChannel | None:
        """Return the channel to the best searcher not tried yet, if any."""
        chosen = searcher_choice.choose(
            self._untried(service, tried),
            self._loop.time(),
            self._switches,
            requirements,
        )
        return chosen and self._searchers.channel(chosen.searcher_id)

    def has_other(self, service: str, tried: set[str]) -> bool:
        """Tell whether there is a searcher that was not tried yet."""
        return bool(self._untried(service, tried))

    def expected_s(self, service: str) -> float:
        """Return the lowest expected latency of a service in seconds.

        Returns zero for a service without searchers.
        """
        now = self._loop.time()
        return min(
            (
                candidate.health.expected_s(now)
                for candidate in self._searchers.candidates(service)
            ),
            default=0,
        )

    def is_queued(self, service: str) -> bool:
        """Tell whether each searcher of a service has a long queue."""
        now = self._loop.time()
        return all(
            candidate.health.is_queued(now)
            for candidate in self._searchers.candidates(service)
        )

    def is_hopeless(self, service: str) -> bool:
        """Tell whether all searchers of a service are ejected.

        Returns false while the mechanism is switched off.
        """
        if not self._switches.is_on(mechanism.Mechanism.HOPELESS_SHARDS):
            return False
        now = self._loop.time()
        return all(
            searcher_choice.health_state(candidate, now, self._switches)
            >= upstream_health.HealthState.ON_TRIAL
            for candidate in self._searchers.candidates(service)
        )

    def _untried(
        self,
        service: str,
        tried: set[str],
    ) -> list[searcher_choice.Candidate]:
        candidates = self._searchers.candidates(service)
        if not tried:
            return candidates
        return [
            candidate
            for candidate in candidates
            if candidate.searcher_id not in tried
        ]
