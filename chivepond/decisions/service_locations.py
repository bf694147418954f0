"""Which data centres have searchers of a service, now and lately.

Load pattern: a few gateways near the searchers send most of the requests, and
searchers move, restart and are replaced while each gateway learns of it at
another moment. A gateway may rely on what all others know by now, and must
expect of the others what any of them may still believe: so a data centre
counts for its own gateways only after searchers were listed there for
``SETTLE_S``, and for those of others until as long after the last one left.
"""

import collections
import dataclasses
import math

#: Longer than a list in use may be old (``burst_share``), as a copy may lack
#: changes that were undone within one update.
SETTLE_S = 10.0


@dataclasses.dataclass(slots=True)
class _Presence:
    searchers: int = 0
    #: When the first searcher came and the last one left, in seconds.
    since: float = math.inf
    left_at: float = -math.inf


class ServiceLocations:
    """Data centres by service, from the entries of searchers in the store.

    Times are in seconds of a steady clock.
    """

    __slots__ = ('_place_by_id', '_presence_by_service')

    def __init__(self) -> None:
        """Start without entries."""
        #: Service and data centre of each searcher.
        self._place_by_id: dict[str, tuple[str, str]] = {}
        self._presence_by_service: dict[str, dict[str, _Presence]] = (
            collections.defaultdict(dict)
        )

    def put(
        self, searcher_id: str, service: str, data_centre: str, now: float
    ) -> None:
        """Add or move a searcher."""
        place = (service, data_centre)
        if self._place_by_id.get(searcher_id) == place:
            return
        presence = self._presence_by_service[service].setdefault(
            data_centre, _Presence()
        )
        if not presence.searchers:
            presence.since = now
        presence.searchers += 1
        self.remove(searcher_id, now)
        self._place_by_id[searcher_id] = place

    def remove(self, searcher_id: str, now: float) -> None:
        """Remove a searcher, if it is known."""
        place = self._place_by_id.pop(searcher_id, None)
        if place is None:
            return
        service, data_centre = place
        presence = self._presence_by_service[service][data_centre]
        presence.searchers -= 1
        if not presence.searchers:
            presence.left_at = now
            self._drop_left(service, now)

    def retain(self, searcher_ids: set[str], now: float) -> None:
        """Remove all other searchers."""
        for searcher_id in self._place_by_id.keys() - searcher_ids:
            self.remove(searcher_id, now)

    def settled(
        self, service: str, now: float, known_since: float
    ) -> frozenset[str]:
        """Return the data centres that all gateways know of.

        The entries have been current since ``known_since``.
        """
        if now < known_since + SETTLE_S:
            return frozenset()
        return frozenset(
            data_centre
            for data_centre, presence in self._presences(service).items()
            if presence.searchers and now >= presence.since + SETTLE_S
        )

    def possible(
        self, service: str, now: float, known_since: float
    ) -> frozenset[str] | None:
        """Return those that some gateway may rely on; none if any may be."""
        if now < known_since + SETTLE_S:
            return None
        return frozenset(
            data_centre
            for data_centre, presence in self._presences(service).items()
            if presence.searchers or now < presence.left_at + SETTLE_S
        )

    def _presences(self, service: str) -> dict[str, _Presence]:
        return self._presence_by_service.get(service, {})

    def _drop_left(self, service: str, now: float) -> None:
        presences = {
            data_centre: presence
            for data_centre, presence in self._presences(service).items()
            if presence.searchers or now < presence.left_at + SETTLE_S
        }
        self._presence_by_service[service] = presences
        if not presences:
            self._presence_by_service.pop(service)
