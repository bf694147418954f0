"""Crash records of requests, by fingerprint."""

import asyncio
import time

from chivepond.decisions import crash_quarantine, switches
from chivepond.gateway import forwarded_request, recent_replies, telemetry
from chivepond.observe import events
from chivepond.platform import store_calls, store_codec
from chivepond.settings import mechanism
from chivepond.wire import crash_entry

#: The limit on the fingerprints that one gateway records itself, and on those
#: in the store: a fault that crashes many searchers would fill the store.
MAX_FINGERPRINTS = 256


class CrashTable:
    """The crash records in the store, and those of this gateway."""

    __slots__ = (
        '_recent_replies',
        '_own_by_fingerprint',
        '_rejected',
        '_stored_by_fingerprint',
        '_switches',
        '_telemetry',
        'changed',
        'cleared',
        'unwritten',
    )

    def __init__(
        self,
        gateway_telemetry: telemetry.Telemetry,
        mechanism_switches: switches.Switches,
    ) -> None:
        """Start without records."""
        self._telemetry = gateway_telemetry
        self._switches = mechanism_switches
        self._stored_by_fingerprint: dict[
            str, crash_quarantine.CrashRecord
        ] = {}
        self._own_by_fingerprint: dict[str, crash_quarantine.CrashRecord] = {}
        #: Fingerprints of quarantined requests.
        self._rejected: set[str] = set()
        self._recent_replies = recent_replies.RecentReplies()
        #: Fingerprints whose own records have yet to be written to the store.
        self.unwritten: set[str] = set()
        #: Fingerprints to remove from the store, as a searcher has replied.
        self.cleared: set[str] = set()
        #: Set when ``unwritten`` or ``cleared`` has grown.
        self.changed = asyncio.Event()

    def retry_after_s(
        self,
        request: forwarded_request.ForwardedRequest,
    ) -> float | None:
        """Return the seconds after which to retry a quarantined request.

        Returns ``None`` for a request that is not quarantined, or while the
        quarantine is switched off.
        """
        is_on = self._switches.is_on(mechanism.Mechanism.CRASH_QUARANTINE)
        if not (self._rejected and is_on):
            return None
        if request.fingerprint not in self._rejected:
            return None
        record = self.record(request.fingerprint)
        now = time.time()
        if record is None or not record.rejects(now):
            self._rejected.discard(request.fingerprint)
            return None
        return record.retry_after_s(now)

    def record(
        self,
        fingerprint: str,
    ) -> crash_quarantine.CrashRecord | None:
        """Return the merged record of a fingerprint, if there is one."""
        records = [
            record_by_fingerprint[fingerprint]
            for record_by_fingerprint in (
                self._stored_by_fingerprint,
                self._own_by_fingerprint,
            )
            if fingerprint in record_by_fingerprint
        ]
        return crash_quarantine.merged(*records) if records else None

    def record_crashes(
        self,
        request: forwarded_request.ForwardedRequest,
        crashes: int,
    ) -> None:
        """Record how many searchers crashed while they ran a request.

        Ignores a fingerprint that a searcher has recently replied to.
        """
        fingerprint = request.fingerprint
        if self._recent_replies.has(fingerprint, time.monotonic()):
            return
        request_id = request.request_id.decode(errors='replace')
        observed = crash_quarantine.CrashRecord(
            {request_id: crashes}, time.time()
        )
        previous = self._own_by_fingerprint.pop(fingerprint, observed)
        if len(self._own_by_fingerprint) >= MAX_FINGERPRINTS:
            oldest = next(iter(self._own_by_fingerprint))
            self._own_by_fingerprint.pop(oldest)
            self.unwritten.discard(oldest)
        self._own_by_fingerprint[fingerprint] = crash_quarantine.merged(
            previous,
            observed,
        )
        self.unwritten.add(fingerprint)
        self.changed.set()
        self._quarantine_if_proved(fingerprint)

    def record_reply(self, request: forwarded_request.ForwardedRequest) -> None:
        """Clear the record of a request that a searcher ran and replied to.

        Guards against a harmless request that is blamed for a crash which
        another request caused.
        """
        fingerprint = request.fingerprint
        self._recent_replies.add(fingerprint, time.monotonic())
        if fingerprint in self._stored_by_fingerprint:
            self.cleared.add(fingerprint)
            self.changed.set()
        self._forget(fingerprint)

    def has_room(self, fingerprint: str) -> bool:
        """Tell whether the store has room for a record of a fingerprint."""
        is_stored = fingerprint in self._stored_by_fingerprint
        return is_stored or len(self._stored_by_fingerprint) < MAX_FINGERPRINTS

    def expired(self) -> list[str]:
        """Return the fingerprints of expired records in the store."""
        now = time.time()
        return [
            fingerprint
            for fingerprint, record in self._stored_by_fingerprint.items()
            if record.is_expired(now)
        ]

    def apply_list(
        self, stored_objects: list[store_calls.StoredObject]
    ) -> None:
        """Replace the stored records by a list from the store."""
        self._stored_by_fingerprint.clear()
        for stored in stored_objects:
            self._put(stored)

    def apply_change(self, change: store_calls.WatchEvent) -> None:
        """Apply one change from the store."""
        if change.deleted:
            self._stored_by_fingerprint.pop(change.object.meta.name, None)
            self._forget(change.object.meta.name)
            return
        self._put(change.object)

    def _forget(self, fingerprint: str) -> None:
        self._own_by_fingerprint.pop(fingerprint, None)
        self._rejected.discard(fingerprint)
        self.unwritten.discard(fingerprint)

    def _put(self, stored: store_calls.StoredObject) -> None:
        record = decode_record(stored)
        if record is None:
            self._telemetry.count('crash_entries', 'unreadable')
            return
        self._stored_by_fingerprint[stored.meta.name] = record
        self._quarantine_if_proved(stored.meta.name)

    def _quarantine_if_proved(self, fingerprint: str) -> None:
        record = self.record(fingerprint)
        if fingerprint in self._rejected or record is None:
            return
        if not record.rejects(time.time()):
            return
        self._rejected.add(fingerprint)
        self._telemetry.emit(
            events.REQUESTS_QUARANTINED,
            fingerprint=fingerprint,
            crashes_by_request=record.crashes_by_request,
            retry_after_s=round(record.retry_after_s(time.time())),
        )


def decode_record(
    stored: store_calls.StoredObject,
) -> crash_quarantine.CrashRecord | None:
    """Decode an object of the store; return ``None`` if it is malformed."""
    entry = store_codec.decode(stored.spec, crash_entry.CrashEntry).ok()
    return entry and crash_quarantine.CrashRecord(
        entry.crashes_by_request, entry.seen_at
    )
