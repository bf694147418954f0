"""Registers this gateway in the store, and reads who else is there."""

import asyncio
import random

import msgspec

from chivepond.gateway import outcome, peer_record, peers, store_client
from chivepond.platform import store_calls
from chivepond.transport import address
from chivepond.wire import gateway_entry

_CALL_S = 1.0
#: Between two reads of the list, in seconds. A gateway that starts is
#: helped at once by all that it reads, and helps others after this time.
_REREAD_S = 12.0
_PAUSE_S = 0.5
_JITTER = (0.7, 1.3)
_OK = 200
_CREATED = 201
_CONFLICT = 409


class PeerRegistry:
    """Writes one object at the start; reads the kind now and then."""

    __slots__ = ('_client', '_entry', '_node_id', '_peers')

    def __init__(
        self,
        node_id: str,
        entry: gateway_entry.GatewayEntry,
        store: address.Address,
        others: peers.Peers,
    ) -> None:
        """Tell ``others`` of each list."""
        self._node_id = node_id
        self._entry = entry
        self._client = store_client.StoreClient(store)
        self._peers = others

    async def run(self) -> None:
        """Keep registered and informed until cancelled."""
        with self._client:
            is_registered = False
            while True:
                is_read = await self._read()
                if is_read and not is_registered:
                    is_registered = await self._register()
                is_done = is_read and is_registered
                pause_s = _REREAD_S if is_done else _PAUSE_S
                await asyncio.sleep(pause_s * random.uniform(*_JITTER))

    async def _register(self) -> bool:
        body = store_calls.new_object(self._node_id, self._entry)
        path = store_calls.kind_path(store_calls.GATEWAYS)
        match await self._client.post(path, body, _CALL_S):
            case outcome.Reply(status=status) if status in {_OK, _CREATED}:
                return True
            case outcome.Reply(status=status) if status == _CONFLICT:
                return await self._replace(body)
            case _:
                return False

    async def _replace(self, body: bytes) -> bool:
        path = store_calls.object_path(store_calls.GATEWAYS, self._node_id)
        match await self._client.put(path, body, _CALL_S):
            case outcome.Reply(status=status):
                return status in {_OK, _CREATED}
            case _:
                return False

    async def _read(self) -> bool:
        path = store_calls.list_path(store_calls.GATEWAYS)
        match await self._client.get(path, _CALL_S):
            case outcome.Reply(status=status, body=body) if status == _OK:
                return self._take(body)
            case _:
                return False

    def _take(self, body: bytes) -> bool:
        try:
            page = msgspec.json.decode(body, type=store_calls.Page)
            records = [_record(stored) for stored in page.items]
        except msgspec.DecodeError:
            return False
        self._peers.replace(one for one in records if one is not None)
        return True


def _record(stored: store_calls.StoredObject) -> peer_record.PeerRecord | None:
    told = msgspec.json.decode(stored.spec, type=gateway_entry.GatewayEntry)
    place = address.parse(told.address)
    if place.is_err():
        return None
    return peer_record.PeerRecord(
        stored.meta.name,
        place.unwrap(),
        told.data_centre,
    )
