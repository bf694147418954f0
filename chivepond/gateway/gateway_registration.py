"""Registers this gateway in the store and keeps the entry there."""

import asyncio
import random

import msgspec

from chivepond.gateway import closeable, outcome, replica, store_client
from chivepond.platform import store_calls, store_codec
from chivepond.transport import address
from chivepond.wire import gateway_entry

_CALL_TIMEOUT_S = 1.0
#: Exponential backoff between attempts to register, in seconds. Many gateways
#: may start at once, and each call is charged even while the store is down.
_FIRST_RETRY_S = 0.5
_RETRY_FACTOR = 3
_MAX_RETRY_S = 4.5
_JITTER = (0.7, 1.3)
#: Interval between checks of the own entry, in seconds.
_ENTRY_CHECK_S = 1.0
#: How long a restarted gateway waits for the list of gateways, which likely
#: has its entry, in seconds.
_LIST_TIMEOUT_S = 1.0
_LIST_POLL_S = 0.02
_WRITE_STATUSES = frozenset((200, 201))
_CONFLICT = 409


class GatewayRegistration(closeable.Closeable):
    """Writes the entry of this gateway, and rewrites a missing or marked one.

    The entry stays when the process ends, so that a restarted gateway finds it
    in the list and writes nothing.
    """

    __slots__ = (
        '_client',
        '_gateway_replica',
        '_entry',
        '_node_id',
        '_settle_s',
        '_unsettled_since',
        '_written_revision',
        'is_first_start',
        'registered',
    )

    def __init__(
        self,
        node_id: str,
        entry: gateway_entry.GatewayEntry,
        store: address.Address,
        gateway_replica: replica.Replica,
        settle_s: float,
        *,
        is_first_start: bool,
    ) -> None:
        """Write ``entry`` for ``node_id`` if the replica lacks it.

        A new entry is settled after ``settle_s`` seconds.
        """
        self._settle_s = settle_s
        #: When this process first knew that its entry is in the store, in
        #: seconds on the loop's clock; none once the entry is settled.
        self._unsettled_since: float | None = None
        self._node_id = node_id
        self._entry = entry
        self._gateway_replica = gateway_replica
        #: Whether this is the first start of the deployment.
        self.is_first_start = is_first_start
        self._client = store_client.StoreClient(store)
        #: The store's revision at this process's last write; none before.
        self._written_revision: int | None = None
        #: Set once the entry is known to be in the store.
        self.registered = asyncio.Event()

    def close(self) -> None:
        """Close the connection to the store."""
        self._client.close()

    async def run(self) -> None:
        """Keep this gateway registered until cancelled."""
        with self:
            if not self.is_first_start:
                await self._wait_for_list()
            retry_s = _FIRST_RETRY_S
            while True:
                if self._is_registered() or await self._register():
                    self.registered.set()
                    retry_s = _FIRST_RETRY_S
                    await self._settle()
                    await asyncio.sleep(_ENTRY_CHECK_S)
                else:
                    await asyncio.sleep(retry_s * random.uniform(*_JITTER))
                    retry_s = min(_MAX_RETRY_S, _RETRY_FACTOR * retry_s)

    async def _wait_for_list(self) -> None:
        """Wait until the list of gateways is read, or until a timeout."""
        deadline = asyncio.get_running_loop().time() + _LIST_TIMEOUT_S
        while not self._gateway_replica.as_of:
            if asyncio.get_running_loop().time() > deadline:
                return
            await asyncio.sleep(_LIST_POLL_S)

    def _is_registered(self) -> bool:
        stored = self._gateway_replica.find(self._node_id)
        entry = stored and _decode_entry(stored)
        if self._written_revision is None:
            return entry is not None and self._adopt(entry)
        if self._gateway_replica.as_of < self._written_revision:
            return True
        # An entry with another address belongs to a process that started later
        # with the same node ID; it is left, or both would overwrite each
        # other's entry forever.
        return entry is not None and not entry.suspected_by

    def _adopt(self, entry: gateway_entry.GatewayEntry) -> bool:
        """Return whether an entry is this gateway's; take over its state."""
        settled = msgspec.structs.replace(self._entry, is_settled=True)
        if entry == settled:
            self._entry = settled
            self._unsettled_since = None
            return True
        if entry == self._entry and self._unsettled_since is None:
            self._unsettled_since = asyncio.get_running_loop().time()
        return entry == self._entry

    async def _settle(self) -> None:
        """Mark the entry as settled, once it has been listed long enough."""
        if self._unsettled_since is None:
            return
        listed_s = asyncio.get_running_loop().time() - self._unsettled_since
        stored = self._gateway_replica.find(self._node_id)
        if listed_s < self._settle_s or stored is None:
            return
        if _decode_entry(stored) != self._entry:
            return
        settled = msgspec.structs.replace(self._entry, is_settled=True)
        body = store_calls.object_body(
            self._node_id, settled, stored.meta.revision
        )
        if await self._replace(body):
            self._entry = settled
            self._unsettled_since = None

    async def _register(self) -> bool:
        self._entry = msgspec.structs.replace(
            self._entry, is_settled=not self._settle_s
        )
        self._unsettled_since = None
        body = store_calls.object_body(self._node_id, self._entry)
        path = store_calls.kind_path(store_calls.GATEWAY_KIND)
        match await self._client.post(path, body, _CALL_TIMEOUT_S):
            case outcome.Reply(status=status, body=reply_body) if (
                status in _WRITE_STATUSES
            ):
                return self._record_write(reply_body)
            case outcome.Reply(status=status, body=reply_body):
                if status != _CONFLICT:
                    return False
                return self._is_own_entry(reply_body) or await self._replace(
                    body
                )
            case _:
                return False

    async def _replace(self, body: bytes) -> bool:
        path = store_calls.object_path(store_calls.GATEWAY_KIND, self._node_id)
        match await self._client.put(path, body, _CALL_TIMEOUT_S):
            case outcome.Reply(status=status, body=reply_body) if (
                status in _WRITE_STATUSES
            ):
                return self._record_write(reply_body)
            case _:
                return False

    def _is_own_entry(self, body: bytes) -> bool:
        stored = _decode_object(body)
        entry = stored and _decode_entry(stored)
        if entry is None or not self._adopt(entry):
            return False
        return self._record_write(body)

    def _record_write(self, body: bytes) -> bool:
        stored = _decode_object(body)
        self._written_revision = stored.meta.revision if stored else 0
        if not self._entry.is_settled and self._unsettled_since is None:
            self._unsettled_since = asyncio.get_running_loop().time()
        return True


def _decode_object(body: bytes) -> store_calls.StoredObject | None:
    return store_codec.decode(body, store_calls.StoredObject).ok()


def _decode_entry(
    stored: store_calls.StoredObject,
) -> gateway_entry.GatewayEntry | None:
    return store_codec.decode(stored.spec, gateway_entry.GatewayEntry).ok()
