"""Writes records of requests that crash searchers to the store."""

import asyncio

from chivepond.decisions import crash_quarantine
from chivepond.gateway import (
    closeable,
    crash_table,
    outcome,
    replica,
    store_client,
    store_sync,
    telemetry,
)
from chivepond.platform import store_calls, store_codec
from chivepond.transport import address
from chivepond.wire import crash_entry

_CALL_TIMEOUT_S = 1.0
#: Seconds between two removals of an expired record.
_SWEEP_INTERVAL_S = 10.0
#: Seconds after a successful write, so that a fault that crashes many
#: searchers does not use up the store's rate limit; and after a failed write.
_WRITE_INTERVAL_S = 0.2
_RETRY_DELAY_S = 0.8
_WRITTEN = frozenset((200, 201))
_CONFLICT = 409
#: The object is removed, does not exist, or has changed since it was read.
_REMOVED_OR_CHANGED = frozenset((200, 202, 204, 404, _CONFLICT))


class CrashRegistry(closeable.Closeable):
    """Writes this gateway's crash records, merged with those in the store.

    The store keeps them when all gateways are killed.
    """

    __slots__ = ('_client', '_replica', '_sync', '_table', '_telemetry')

    def __init__(
        self,
        table: crash_table.CrashTable,
        local_replica: replica.Replica,
        store: address.Address,
        sync: store_sync.StoreSync,
        gateway_telemetry: telemetry.Telemetry,
    ) -> None:
        """Write ``table`` to ``store``, at the revisions in the replica."""
        self._table = table
        self._replica = local_replica
        self._client = store_client.StoreClient(store)
        self._sync = sync
        self._telemetry = gateway_telemetry

    def close(self) -> None:
        """Close the connection to the store."""
        self._client.close()

    async def run(self) -> None:
        """Write changes and remove expired records until cancelled.

        Only a gateway that reads from the store itself removes expired ones.
        """
        with self:
            while True:
                if await self._wait_for_changes():
                    await self._write_changes()
                elif self._sync.followed_gateway() is None:
                    await self._remove_expired()

    async def _wait_for_changes(self) -> bool:
        """Return true when the table has changed, false after the interval."""
        try:
            async with asyncio.timeout(_SWEEP_INTERVAL_S):
                return await self._table.changed.wait()
        except TimeoutError:
            return False

    async def _write_changes(self) -> None:
        self._table.changed.clear()
        while self._table.unwritten:
            await self._write_next()
        while self._table.cleared:
            fingerprint = next(iter(self._table.cleared))
            if await self._remove(fingerprint):
                self._table.cleared.discard(fingerprint)
            else:
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _write_next(self) -> None:
        fingerprint = next(iter(self._table.unwritten))
        record = self._table.record(fingerprint)
        if record is None or not self._table.has_room(fingerprint):
            self._telemetry.count('crash_entries', 'not written')
            self._table.unwritten.discard(fingerprint)
        elif await self._write(fingerprint, record):
            self._table.unwritten.discard(fingerprint)
            await asyncio.sleep(_WRITE_INTERVAL_S)
        else:
            self._telemetry.count('crash_entries', 'failed')
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _write(
        self,
        fingerprint: str,
        record: crash_quarantine.CrashRecord,
    ) -> bool:
        """Create a record, or merge it into the one already in the store."""
        path = store_calls.kind_path(store_calls.CRASH_KIND)
        body = store_calls.object_body(fingerprint, _entry(record))
        match await self._client.post(path, body, _CALL_TIMEOUT_S):
            case outcome.Reply(status=status) if status in _WRITTEN:
                return True
            case outcome.Reply(status=status, body=existing):
                already_exists = status == _CONFLICT
                return already_exists and await self._replace(existing, record)
            case _:
                return False

    async def _replace(
        self,
        body: bytes,
        record: crash_quarantine.CrashRecord,
    ) -> bool:
        stored = store_codec.decode(body, store_calls.StoredObject).ok()
        if stored is None:
            return False
        stored_record = crash_table.decode_record(stored) or record
        merged_record = crash_quarantine.merged(stored_record, record)
        if merged_record == stored_record:
            return True
        name = stored.meta.name
        response = await self._client.put(
            store_calls.object_path(store_calls.CRASH_KIND, name),
            store_calls.object_body(
                name, _entry(merged_record), stored.meta.revision
            ),
            _CALL_TIMEOUT_S,
        )
        match response:
            case outcome.Reply(status=status):
                return status in _WRITTEN
            case _:
                return False

    async def _remove_expired(self) -> None:
        for fingerprint in self._table.expired()[:1]:
            await self._remove(fingerprint)
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _remove(self, fingerprint: str) -> bool:
        """Remove a record, unless it has changed since it was read.

        Returns false when the removal has to be retried.
        """
        stored = self._replica.find(fingerprint)
        if stored is None:
            return True
        path = store_calls.object_path(
            store_calls.CRASH_KIND,
            fingerprint,
            stored.meta.revision,
        )
        match await self._client.delete(path, _CALL_TIMEOUT_S):
            case outcome.Reply(status=status):
                return status in _REMOVED_OR_CHANGED
            case _:
                return False


def _entry(record: crash_quarantine.CrashRecord) -> crash_entry.CrashEntry:
    return crash_entry.CrashEntry(
        record.crashes_by_request,
        record.seen_at,
    )
