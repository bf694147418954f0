"""One node's view of hosts and searchers, at one moment."""

import dataclasses

from chivepond.decisions import rendezvous
from chivepond.wire import host


@dataclasses.dataclass(slots=True)
class View:
    """Live nodes and known searchers; replaced whole when they change."""

    node_by_id: dict[str, host.Host]
    searcher_by_id: dict[str, host.Host]
    live_by_data_centre: dict[str, list[str]]
    _owners_by_group: dict[str, list[str]] = dataclasses.field(
        default_factory=dict,
    )

    def owners(self, searcher: host.Host) -> list[str]:
        """Return the owner of a searcher, its standby, and the rest."""
        group = searcher.replica_group or searcher.host_id
        key = f'{searcher.data_centre} {group}'
        found = self._owners_by_group.get(key)
        if found is None:
            live = self.live_by_data_centre.get(searcher.data_centre, [])
            found = rendezvous.ranked(group, live)
            self._owners_by_group[key] = found
        return found
