"""Replicates one kind of object from the platform's store."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import result

from chivepond.decisions import sync_source
from chivepond.gateway import (
    outcome,
    replica,
    store_client,
    store_retry,
    telemetry,
)
from chivepond.observe import events
from chivepond.platform import store_calls, store_codec
from chivepond.transport import address

_CALL_TIMEOUT_S = 1.0
#: Wait of the first watch, in seconds. It returns missing changes at once, and
#: other gateways may follow this one only after it.
_FIRST_WATCH_S = 0.1
#: Pause between two watches, in seconds, so that changes close together cost
#: one call. The operators' bounds allow updates to be seconds old, and a
#: quarter of a second is a small part of that.
_WATCH_PAUSE_S = 0.25
_MS_PER_S = 1000
_OK = 200

Decoded = TypeVar('Decoded')


class KindReader:
    """Watches one kind; lists it at startup and after a failed watch."""

    __slots__ = (
        '_client',
        '_is_confirmed',
        '_kind',
        '_is_fresh',
        '_watch_allowed',
        '_store_retry',
        '_replica',
        '_telemetry',
        '_watch_s',
        'is_failing',
    )

    def __init__(
        self,
        kind: str,
        store_address: address.Address,
        kind_replica: replica.Replica,
        gateway_telemetry: telemetry.Telemetry,
        watch_s: Callable[[], float],
        retry: store_retry.StoreRetry,
        is_fresh: Callable[[], bool],
        watch_allowed: asyncio.Event,
    ) -> None:
        """Update ``kind_replica``; a watch waits for ``watch_s`` seconds.

        ``is_fresh`` tells whether another gateway currently keeps the replicas
        fresh. No watch starts before ``watch_allowed`` is set; lists that are
        read before may be stale.
        """
        self._watch_allowed = watch_allowed
        self._store_retry = retry
        self._is_fresh = is_fresh
        self._kind = kind
        self._client = store_client.StoreClient(store_address)
        self._replica = kind_replica
        self._telemetry = gateway_telemetry
        self._watch_s = watch_s
        #: Whether a current list or watch of this reader has confirmed the
        #: replica; a first list may be stale.
        self._is_confirmed = not kind_replica.is_age_bounded
        #: Whether the last call failed.
        self.is_failing = False

    async def run(self) -> None:
        """Update the replica until cancelled."""
        with self._client:
            revision = self._replica.as_of
            while True:
                if revision:
                    await self._watch(revision)
                revision = await self._list()

    async def _list(self) -> int:
        """List the kind; return the revision to watch from, or 0 on failure.

        The first list may be seconds stale, at a tenth of the price of a
        current one; the watch that follows returns at once what changed since.
        Watches always read current state: otherwise gateways that join
        together would not see each other, and each would spend the fleet's
        whole burst of second sends. Later lists follow a watch whose history
        has expired; they are current too, as a stale one could start before
        the history again. Stale pages count as of the oldest one, so that the
        watch returns changes that only the newer pages had.
        """
        listed_objects: list[store_calls.StoredObject] = []
        after = ''
        as_of = 0
        allow_stale = not self._replica.as_of
        started_at = asyncio.get_running_loop().time()
        while True:
            path = store_calls.list_path(
                self._kind,
                after,
                allow_stale=allow_stale,
            )
            page = await self._read(path, store_calls.ListPage, _CALL_TIMEOUT_S)
            if page is None:
                return 0
            as_of = min(as_of or page.as_of, page.as_of)
            listed_objects.extend(page.items)
            if not page.has_more or not page.items:
                self._replica.apply_list(listed_objects, as_of)
                self._update_confirmed(started_at, is_new=not allow_stale)
                return as_of
            after = page.items[-1].meta.name

    def _update_confirmed(self, started_at: float, *, is_new: bool) -> None:
        if is_new:
            self._replica.verify(started_at)
        self._is_confirmed = is_new or not self._replica.is_age_bounded
        if self._is_confirmed:
            self._replica.confirm(started_at)

    async def _watch(self, revision: int) -> None:
        await self._watch_allowed.wait()
        while True:
            wait_s = self._watch_s() if self._is_confirmed else _FIRST_WATCH_S
            started_at = asyncio.get_running_loop().time()
            changes = await self._read(
                store_calls.watch_path(
                    self._kind,
                    revision,
                    int(wait_s * _MS_PER_S),
                ),
                store_calls.WatchReply,
                wait_s + sync_source.WATCH_GRACE_S,
            )
            if changes is None:
                return
            self._is_confirmed = True
            revision = changes.as_of
            self._replica.apply_changes(changes.events, revision)
            self._replica.confirm(asyncio.get_running_loop().time())
            self._replica.verify(started_at)
            await asyncio.sleep(_WATCH_PAUSE_S)

    async def _read(
        self,
        path: str,
        response_type: type[Decoded],
        timeout_s: float,
    ) -> Decoded | None:
        decoded = None
        received_bytes = 0
        call_outcome = await self._client.get(path, timeout_s)
        match call_outcome:
            case outcome.Reply(status=status, body=body) if status == _OK:
                reason, decoded = _decode(body, response_type)
            case outcome.Reply(status=status):
                reason = f'a reply with {status}'
            case outcome.NotSent(reason=reason):
                decoded = None
            case outcome.Broken(reason=reason, received_bytes=received_bytes):
                decoded = None
        if decoded is None:
            self._telemetry.count('store_calls', f'{self._kind} {reason}')
            await self._record_failure(reason, received_bytes)
            return None
        self._telemetry.count('store_calls', self._kind)
        self._record_recovery()
        return decoded

    async def _record_failure(self, reason: str, received_bytes: int) -> None:
        if not self.is_failing:
            self.is_failing = True
            self._telemetry.emit(
                events.SOURCE_LOST,
                kind=self._kind,
                why=reason,
                received_bytes=received_bytes,
            )
        await self._store_retry.wait_to_retry(
            self._kind,
            is_age_bounded=(
                self._replica.is_age_bounded
                or self._kind == store_calls.GATEWAY_KIND
            ),
            has_content=bool(self._replica.as_of),
            is_fresh=self._is_fresh(),
        )

    def _record_recovery(self) -> None:
        self._store_retry.end()
        if self.is_failing:
            self.is_failing = False
            self._telemetry.emit(events.SOURCE_REGAINED, kind=self._kind)


def _decode(
    body: bytes, response_type: type[Decoded]
) -> tuple[str, Decoded | None]:
    match store_codec.decode(body, response_type):
        case result.Ok(decoded):
            return ('', decoded)
        case failure:
            error = failure.unwrap_err()
            return (f'a reply that is wrong: {error.message}', None)
