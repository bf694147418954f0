"""Applies the store's list of gateways to the known peers."""

from chivepond.gateway import peer_record, peers
from chivepond.platform import store_calls, store_codec
from chivepond.transport import address
from chivepond.wire import gateway_entry


class PeerList:
    """Decodes the entries of gateways; skips malformed ones."""

    __slots__ = ('_peers',)

    def __init__(self, peer_gateways: peers.Peers) -> None:
        """Update ``peer_gateways`` from the store."""
        self._peers = peer_gateways

    def apply_list(
        self, stored_objects: list[store_calls.StoredObject]
    ) -> None:
        """Replace the known gateways by a list from the store."""
        node_ids = {stored.meta.name for stored in stored_objects}
        for node_id in self._peers.node_ids():
            if node_id not in node_ids:
                self._peers.remove(node_id)
        for stored in stored_objects:
            self._put(stored)
        if self._peers.own_id not in node_ids:
            self._peers.set_own_entry(None)
        # A list without this gateway is older than its registration, and may
        # lack other gateways that share the connection limits of upstreams.
        if self._peers.own_id in node_ids:
            self._peers.mark_listed()

    def apply_change(self, change: store_calls.WatchEvent) -> None:
        """Apply one change from the store."""
        if change.deleted:
            self._peers.remove(change.object.meta.name)
            if change.object.meta.name == self._peers.own_id:
                self._peers.set_own_entry(None)
            return
        self._put(change.object)
        if change.object.meta.name == self._peers.own_id:
            self._peers.mark_listed()

    def _put(self, stored: store_calls.StoredObject) -> None:
        entry = _entry(stored)
        if stored.meta.name == self._peers.own_id:
            self._peers.set_own_entry(entry)
            return
        record = entry and _record(stored.meta.name, entry)
        if record is not None:
            self._peers.put(record)


def _entry(
    stored: store_calls.StoredObject,
) -> gateway_entry.GatewayEntry | None:
    return store_codec.decode(stored.spec, gateway_entry.GatewayEntry).ok()


def _record(
    node_id: str, entry: gateway_entry.GatewayEntry
) -> peer_record.PeerRecord | None:
    parsed_address = address.parse_remote(entry.address)
    if parsed_address.is_err() or not node_id.isprintable():
        return None
    return peer_record.PeerRecord(
        node_id,
        parsed_address.unwrap(),
        entry.data_centre,
        entry.link_mbps,
    )
