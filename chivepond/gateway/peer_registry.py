"""Registers this gateway in the store."""

import asyncio
import random

import msgspec

from chivepond.gateway import outcome, store_client
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
    """Writes one object at the start; it stays when the process ends."""

    __slots__ = ('_client', '_entry', '_node_id')

    def __init__(
        self,
        node_id: str,
        entry: gateway_entry.GatewayEntry,
        store: address.Address,
    ) -> None:
        """Write ``entry`` under ``node_id``."""
        self._node_id = node_id
        self._entry = entry
        self._client = store_client.StoreClient(store)

    async def run(self) -> None:
        """Keep registered until cancelled."""
        with self._client:
            while not await self._register():
                await asyncio.sleep(_PAUSE_S * random.uniform(*_JITTER))

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
