"""A snapshot of the hosts and searchers that one node knows."""

import dataclasses

from chivepond.decisions import rendezvous
from chivepond.wire import host


@dataclasses.dataclass(slots=True)
class View:
    """Known nodes and searchers, and live node ids by data centre.

    A view is replaced as a whole when any of them changes.
    """

    node_by_id: dict[str, host.Host]
    searcher_by_id: dict[str, host.Host]
    live_by_data_centre: dict[str, list[str]]
    _ranked_by_key: dict[tuple[str, str], list[str]] = dataclasses.field(
        default_factory=dict,
    )

    def owners(self, searcher: host.Host) -> list[str]:
        """Return live node ids: owner of a searcher, standby, and others."""
        group = searcher.replica_group or searcher.host_id
        return self.ranked(group, searcher.data_centre)

    def ranked(self, key: str, data_centre: str) -> list[str]:
        """Return ids of live nodes of a data centre, ranked for ``key``.

        The order is that of rendezvous hashing. It is cached per view, since
        a data centre has hundreds of searchers.
        """
        cache_key = (data_centre, key)
        ranked_ids = self._ranked_by_key.get(cache_key)
        if ranked_ids is None:
            live = self.live_by_data_centre.get(data_centre, [])
            ranked_ids = rendezvous.ranked(key, live)
            self._ranked_by_key[cache_key] = ranked_ids
        return ranked_ids
