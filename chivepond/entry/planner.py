"""Ranks the owners that can serve a shard."""

from chivepond.control import view
from chivepond.entry import place
from chivepond.wire import host

#: Nodes of a data centre that are tried for a searcher: its owner, and the
#: standby if the owner is unreachable.
_OWNERS_PER_SEARCHER = 2
_NO_NODES: frozenset[str] = frozenset()


class Planner:
    """Ranks the owners of replicas: near ones first, standbys last."""

    __slots__ = ('_data_centre', '_region')

    def __init__(self, data_centre: str, region: str) -> None:
        """Rank owners by their distance to this data centre and region."""
        self._data_centre = data_centre
        self._region = region

    def replicas_by_owner(
        self,
        host_view: view.View,
        replicas: list[str],
        avoided: frozenset[str] = _NO_NODES,
    ) -> dict[place.OwnerNode, list[str]]:
        """Return the owners of a shard, best first, with their replicas.

        Only live searchers count. Nodes in ``avoided`` rank behind the other
        nodes of their data centre, and last in the result.
        """
        listed = [
            host_view.searcher_by_id[host_id]
            for host_id in replicas
            if host_id in host_view.searcher_by_id
        ]
        live = [searcher for searcher in listed if searcher.state == 'live']
        replicas_by_owner: dict[place.OwnerNode, list[str]] = {}
        for rank in range(_OWNERS_PER_SEARCHER):
            for searcher in sorted(live, key=self._distance):
                owners = sorted(
                    host_view.owners(searcher),
                    key=avoided.__contains__,
                )
                if rank < len(owners):
                    target = place.OwnerNode(searcher.data_centre, owners[rank])
                    replicas_by_owner.setdefault(target, []).append(
                        searcher.host_id
                    )
        order = sorted(
            replicas_by_owner, key=lambda target: target.node_id in avoided
        )
        return {target: replicas_by_owner[target] for target in order}

    def _distance(self, searcher: host.Host) -> int:
        if searcher.data_centre == self._data_centre:
            return 0
        return 1 if searcher.region == self._region else 2
