"""Registers this gateway in the store, and takes who else is there."""

import asyncio
import random

import msgspec

from chivepond.gateway import outcome, peer_record, peers, store_client
from chivepond.platform import store_calls
from chivepond.transport import address
from chivepond.wire import gateway_entry

_CALL_S = 1.0
#: Between two tries, in seconds; many gateways may start at once.
_PAUSE_S = 0.5
_JITTER = (0.7, 1.3)
_OK = 200
_CREATED = 201
_CONFLICT = 409


class PeerRegistry:
    """Writes one object at the start, and again where it vanished."""

    __slots__ = ('_client', '_entry', '_node_id', '_peers')

    def __init__(
        self,
        node_id: str,
        entry: gateway_entry.GatewayEntry,
        store: address.Address,
        others: peers.Peers,
    ) -> None:
        """Tell ``others`` of each gateway."""
        self._node_id = node_id
        self._entry = entry
        self._client = store_client.StoreClient(store)
        self._peers = others

    def take_list(self, found: list[store_calls.StoredObject]) -> None:
        """Take all gateways."""
        names = {stored.meta.name for stored in found}
        for node_id in self._peers.known():
            if node_id not in names:
                self._peers.remove(node_id)
        for stored in found:
            self._put(stored)

    def take_change(self, change: store_calls.Change) -> None:
        """Take the news of one gateway."""
        if change.deleted:
            self._peers.remove(change.object.meta.name)
        else:
            self._put(change.object)

    async def run(self) -> None:
        """Keep registered until cancelled."""
        with self._client:
            while not await self._register():
                await asyncio.sleep(_PAUSE_S * random.uniform(*_JITTER))

    def _put(self, stored: store_calls.StoredObject) -> None:
        record = _record(stored)
        if record is not None:
            self._peers.put(record)

    async def _register(self) -> bool:
        body = store_calls.new_object(self._node_id, self._entry)
        path = store_calls.kind_path(store_calls.GATEWAYS)
        match await self._client.post(path, body, _CALL_S):
            case outcome.Reply(status=status) if status in {_OK, _CREATED}:
                return True
            case outcome.Reply(status=status, body=known):
                if status != _CONFLICT:
                    return False
                return self._is_own(known) or await self._replace(body)
            case _:
                return False

    def _is_own(self, known: bytes) -> bool:
        try:
            stored = msgspec.json.decode(known, type=store_calls.StoredObject)
            entry = msgspec.json.decode(
                stored.spec,
                type=gateway_entry.GatewayEntry,
            )
        except msgspec.DecodeError:
            return False
        return entry == self._entry

    async def _replace(self, body: bytes) -> bool:
        path = store_calls.object_path(store_calls.GATEWAYS, self._node_id)
        match await self._client.put(path, body, _CALL_S):
            case outcome.Reply(status=status):
                return status in {_OK, _CREATED}
            case _:
                return False


def _record(stored: store_calls.StoredObject) -> peer_record.PeerRecord | None:
    try:
        told = msgspec.json.decode(
            stored.spec,
            type=gateway_entry.GatewayEntry,
        )
    except msgspec.DecodeError:
        return None
    place = address.parse(told.address)
    if place.is_err():
        return None
    return peer_record.PeerRecord(
        stored.meta.name,
        place.unwrap(),
        told.data_centre,
        told.link_mbps,
    )
