"""Keeps in step with one kind of object in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec

from chivepond.decisions import sync_source
from chivepond.gateway import (
    outcome,
    replica,
    store_client,
    store_outage,
    telemetry,
)
from chivepond.observe import events
from chivepond.platform import store_calls
from chivepond.transport import address

_CALL_S = 1.0
#: How long the first watch waits, in seconds: what the copy lacks comes at
#: once, and others may follow this gateway only then.
_PROOF_S = 0.1
#: Between two watches, in seconds: changes that come together cost one call.
#: News may be seconds old by the operators' bounds; a quarter of a second
#: takes little of that.
_GATHER_S = 0.25
_MS_PER_S = 1000
_OK = 200

Told = TypeVar('Told')


class KindReader:
    """Watches a kind; lists it at the start and where the watch fails."""

    __slots__ = (
        '_client',
        '_is_proved',
        '_kind',
        '_is_fresh',
        '_is_reader',
        '_outage',
        '_replica',
        '_telemetry',
        '_watch_s',
        'is_lost',
    )

    def __init__(
        self,
        kind: str,
        place: address.Address,
        copy: replica.Replica,
        events_log: telemetry.Telemetry,
        watch_s: Callable[[], float],
        outage: store_outage.StoreOutage,
        is_fresh: Callable[[], bool],
        is_reader: asyncio.Event,
    ) -> None:
        """Keep ``copy`` in step; a watch waits for ``watch_s`` seconds.

        ``is_fresh`` tells whether the copies are fresh, the store aside. Lists
        may be old until ``is_reader``; nothing is watched before that.
        """
        self._is_reader = is_reader
        self._outage = outage
        self._is_fresh = is_fresh
        self._kind = kind
        self._client = store_client.StoreClient(place)
        self._replica = copy
        self._telemetry = events_log
        self._watch_s = watch_s
        #: Whether what is known was confirmed by a list or watch of this reader
        #: that is new.
        self._is_proved = not copy.is_bound
        #: Whether the last call failed.
        self.is_lost = False

    async def run(self) -> None:
        """Keep in step until cancelled."""
        with self._client:
            revision = self._replica.as_of
            while True:
                if revision:
                    await self._watch(revision)
                revision = await self._list()

    async def _list(self) -> int:
        """Return the revision to watch from, zero where a call failed.

        The first list may be seconds old, at a tenth of the price: the watch
        that follows tells at once what changed since. A watch is never an old
        one: gateways that join would take each other for not there, and each
        would spend the burst of second sends of all. After that a list is
        read where the history is gone, and an old one might end there again.
        Pages that may be old count as of the oldest of them, so that the watch
        tells what only the newer ones had.
        """
        found: list[store_calls.StoredObject] = []
        after = ''
        as_of = 0
        may_be_old = not self._replica.as_of
        began = asyncio.get_running_loop().time()
        while True:
            path = store_calls.list_path(
                self._kind,
                after,
                may_be_old=may_be_old,
            )
            page = await self._read(path, store_calls.Page, _CALL_S)
            if page is None:
                return 0
            as_of = min(as_of or page.as_of, page.as_of)
            found.extend(page.items)
            if not page.has_more or not page.items:
                self._replica.take_list(found, as_of)
                self._prove(began, is_new=not may_be_old)
                return as_of
            after = page.items[-1].meta.name

    def _prove(self, began: float, *, is_new: bool) -> None:
        self._is_proved = is_new or not self._replica.is_bound
        if self._is_proved:
            self._replica.confirm(began)

    async def _watch(self, revision: int) -> None:
        await self._is_reader.wait()
        while True:
            wait_s = self._watch_s() if self._is_proved else _PROOF_S
            changes = await self._read(
                store_calls.watch_path(
                    self._kind,
                    revision,
                    int(wait_s * _MS_PER_S),
                ),
                store_calls.Changes,
                wait_s + sync_source.WATCH_GRACE_S,
            )
            if changes is None:
                return
            self._is_proved = True
            revision = changes.as_of
            self._replica.take_changes(changes.events, revision)
            self._replica.confirm(asyncio.get_running_loop().time())
            await asyncio.sleep(_GATHER_S)

    async def _read(
        self,
        path: str,
        kind: type[Told],
        timeout_s: float,
    ) -> Told | None:
        told = None
        received = 0
        ended = await self._client.get(path, timeout_s)
        match ended:
            case outcome.Reply(status=status, body=body) if status == _OK:
                why, told = _decode(body, kind)
            case outcome.Reply(status=status):
                why = f'a reply with {status}'
            case outcome.NotSent(reason=why):
                told = None
            case outcome.Broken(reason=why, received_bytes=received):
                told = None
        if told is None:
            self._telemetry.count('store_calls', f'{self._kind} {why}')
            await self._lose(why, received)
            return None
        self._telemetry.count('store_calls', self._kind)
        self._regain()
        return told

    async def _lose(self, why: str, received_bytes: int) -> None:
        if not self.is_lost:
            self.is_lost = True
            self._telemetry.emit(
                events.SOURCE_LOST,
                kind=self._kind,
                why=why,
                received_bytes=received_bytes,
            )
        await self._outage.pause(
            self._kind,
            is_bound=self._replica.is_bound,
            is_known=bool(self._replica.as_of),
            is_fresh=self._is_fresh(),
        )

    def _regain(self) -> None:
        self._outage.over()
        if self.is_lost:
            self.is_lost = False
            self._telemetry.emit(events.SOURCE_REGAINED, kind=self._kind)


def _decode(body: bytes, kind: type[Told]) -> tuple[str, Told | None]:
    try:
        return ('', msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return (f'a reply that is wrong: {error}', None)
