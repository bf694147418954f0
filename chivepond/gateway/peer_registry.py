"""Keeps this gateway registered in the store."""

import asyncio
import random

import msgspec

from chivepond.gateway import closing, outcome, replica, store_client
from chivepond.platform import store_calls
from chivepond.transport import address
from chivepond.wire import gateway_entry

_CALL_S = 1.0
#: Between two tries, in seconds, and how it grows; many gateways may start at
#: once, and each call is paid for while the store is away as well.
_PAUSE_S = 0.5
_GROWTH = 3
_LONGEST_PAUSE_S = 4.5
_JITTER = (0.7, 1.3)
#: Between two looks at the own entry, in seconds.
_LOOK_S = 1.0
#: How long a restart waits for the list that has its entry, in seconds.
_LIST_S = 1.0
_LIST_LOOK_S = 0.02
_WRITTEN = frozenset((200, 201))
_CONFLICT = 409


class PeerRegistry(closing.Closing):
    """Writes one object, and again where it is gone or about to go.

    The object stays when the process ends, so that a restart finds its own
    entry in the list and writes nothing.
    """

    __slots__ = (
        '_client',
        '_copy',
        '_entry',
        '_node_id',
        '_written_at',
        'is_first_start',
        'registered',
    )

    def __init__(
        self,
        node_id: str,
        entry: gateway_entry.GatewayEntry,
        store: address.Address,
        copy: replica.Replica,
        *,
        is_first_start: bool,
    ) -> None:
        """Write ``entry`` under ``node_id`` where ``copy`` lacks it."""
        self._node_id = node_id
        self._entry = entry
        self._copy = copy
        #: Whether no gateway has run before.
        self.is_first_start = is_first_start
        self._client = store_client.StoreClient(store)
        #: The store's revision at the last write of this process.
        self._written_at: int | None = None
        #: Set once the entry is known to be in the store.
        self.registered = asyncio.Event()

    def close(self) -> None:
        """End the connection to the store."""
        self._client.close()

    async def run(self) -> None:
        """Keep registered until cancelled."""
        with self:
            if not self.is_first_start:
                await self._wait_listed()
            pause_s = _PAUSE_S
            while True:
                if self._is_registered() or await self._register():
                    self.registered.set()
                    pause_s = _PAUSE_S
                    await asyncio.sleep(_LOOK_S)
                else:
                    await asyncio.sleep(pause_s * random.uniform(*_JITTER))
                    pause_s = min(_LONGEST_PAUSE_S, _GROWTH * pause_s)

    async def _wait_listed(self) -> None:
        """Wait for the list of gateways, which likely has the own entry."""
        until = asyncio.get_running_loop().time() + _LIST_S
        while not self._copy.as_of:
            if asyncio.get_running_loop().time() > until:
                return
            await asyncio.sleep(_LIST_LOOK_S)

    def _is_registered(self) -> bool:
        stored = self._copy.find(self._node_id)
        known = stored and _decoded(stored)
        if self._written_at is None:
            return known == self._entry
        if self._copy.as_of < self._written_at:
            return True
        # An entry with another address is that of a process that started later
        # under this name; two that both write would do so for ever.
        return known is not None and not known.suspected_by

    async def _register(self) -> bool:
        body = store_calls.object_body(self._node_id, self._entry)
        path = store_calls.kind_path(store_calls.GATEWAYS)
        match await self._client.post(path, body, _CALL_S):
            case outcome.Reply(status=status, body=known) if status in _WRITTEN:
                return self._is_written(known)
            case outcome.Reply(status=status, body=known):
                if status != _CONFLICT:
                    return False
                return self._is_own(known) or await self._replace(body)
            case _:
                return False

    async def _replace(self, body: bytes) -> bool:
        path = store_calls.object_path(store_calls.GATEWAYS, self._node_id)
        match await self._client.put(path, body, _CALL_S):
            case outcome.Reply(status=status, body=known) if status in _WRITTEN:
                return self._is_written(known)
            case _:
                return False

    def _is_own(self, body: bytes) -> bool:
        stored = _stored(body)
        if stored is None or _decoded(stored) != self._entry:
            return False
        return self._is_written(body)

    def _is_written(self, body: bytes) -> bool:
        stored = _stored(body)
        self._written_at = stored.meta.revision if stored else 0
        return True


def _stored(body: bytes) -> store_calls.StoredObject | None:
    try:
        return msgspec.json.decode(body, type=store_calls.StoredObject)
    except msgspec.DecodeError:
        return None


def _decoded(
    stored: store_calls.StoredObject,
) -> gateway_entry.GatewayEntry | None:
    try:
        return msgspec.json.decode(
            stored.spec,
            type=gateway_entry.GatewayEntry,
        )
    except msgspec.DecodeError:
        return None
