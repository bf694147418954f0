"""An entry in the platform's list of hosts."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """A node or searcher process, with its location and address.

    ``role`` is ``node`` or ``searcher``; ``state`` is ``live`` or ``leaving``.
    ``service`` and ``replica_group`` are empty for nodes; searchers of one
    replica group hold the same shards and have the same owner.
    """

    host_id: str
    role: str
    data_centre: str
    region: str
    address: str
    state: str = 'live'
    service: str = ''
    replica_group: str = ''
