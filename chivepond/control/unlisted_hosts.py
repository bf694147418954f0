"""Nodes that are not in the platform's host list yet."""

from collections.abc import Iterable

from chivepond.wire import host

#: Far more nodes than are replaced while the host list lags.
_MAX_UNLISTED = 64
_MAX_ANNOUNCED = 4


class UnlistedHosts:
    """Nodes known from heartbeats only, until the host list has them.

    Guards against a lagging list, with which a new node would get no work
    and its peers could not tell where its calls come from. A node that is
    not in the list sends its address in its heartbeats; peers pass it on.
    """

    __slots__ = ('_listed', 'by_id')

    def __init__(self) -> None:
        """Start with an empty list and no unlisted nodes."""
        self._listed: frozenset[str] = frozenset()
        self.by_id: dict[str, host.Host] = {}

    def drop_listed(self, listed: Iterable[host.Host]) -> None:
        """Set the host list and drop the nodes that it contains."""
        self._listed = frozenset(listed_host.host_id for listed_host in listed)
        for host_id in self._listed & self.by_id.keys():
            self.by_id.pop(host_id)

    def add(self, node: host.Host, *, is_sender: bool) -> bool:
        """Store an unlisted node; tell whether it is new or has changed.

        Only the node itself may change its address: an address that a peer
        passes on may be outdated.
        """
        known = self.by_id.get(node.host_id)
        if node.role != 'node' or node.host_id in self._listed:
            return False
        if known == node or (known is not None and not is_sender):
            return False
        if known is None and len(self.by_id) >= _MAX_UNLISTED:
            return False
        self.by_id[node.host_id] = node
        return True

    def discard(self, host_id: str) -> None:
        """Remove a node that is dead or leaving."""
        self.by_id.pop(host_id, None)

    def to_announce(self, own: host.Host | None) -> list[host.Host]:
        """Return nodes to announce to peers: this one first if unlisted.

        At most the four nodes added last follow.
        """
        latest_nodes = list(self.by_id.values())[-_MAX_ANNOUNCED:]
        if own is None or own.host_id in self._listed:
            return latest_nodes
        return [own, *latest_nodes]
