"""Which owner serves which shard."""

from chivepond.control import view
from chivepond.entry import place
from chivepond.wire import host

#: How many nodes of a data centre are tried for a searcher: its owner, and
#: the standby when the owner can't be reached.
_RANKS = 2
_NOBODY: frozenset[str] = frozenset()


class Planner:
    """Places shards near by first, and elsewhere after a failure."""

    __slots__ = ('_data_centre', '_region')

    def __init__(self, data_centre: str, region: str) -> None:
        """Plan for a node that is there."""
        self._data_centre = data_centre
        self._region = region

    def places(
        self,
        seen: view.View,
        replicas: list[str],
        avoided: frozenset[str] = _NOBODY,
    ) -> dict[place.Place, list[str]]:
        """Return the places of a shard, best first, with their replicas.

        Nodes that are ``avoided`` come after all others of their data
        centre, and their places after all other places.
        """
        known = [
            seen.searcher_by_id[one]
            for one in replicas
            if one in seen.searcher_by_id
        ]
        live = [one for one in known if one.state == 'live']
        found: dict[place.Place, list[str]] = {}
        for rank in range(_RANKS):
            for searcher in sorted(live, key=self._distance):
                owners = sorted(
                    seen.owners(searcher),
                    key=avoided.__contains__,
                )
                if rank < len(owners):
                    where = place.Place(searcher.data_centre, owners[rank])
                    found.setdefault(where, []).append(searcher.host_id)
        order = sorted(found, key=lambda one: one.node_id in avoided)
        return {where: found[where] for where in order}

    def _distance(self, searcher: host.Host) -> int:
        if searcher.data_centre == self._data_centre:
            return 0
        return 1 if searcher.region == self._region else 2
