"""Keeps in step with one kind of object in the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import TypeVar

import msgspec

from chivepond.decisions import news_source
from chivepond.gateway import outcome, replica, store_client, telemetry
from chivepond.observe import events
from chivepond.platform import store_calls
from chivepond.transport import address

_CALL_S = 1.0
#: How long to wait before another call after a failed one, in seconds.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
#: The longest where nothing is known yet: each caller is refused meanwhile.
_BLIND_PAUSE_S = 0.25
#: Between two watches, in seconds: changes that come together cost one call.
#: News may be seconds old by the operators' bounds; a quarter of a second
#: takes little of that.
_GATHER_S = 0.25
#: Spreads the calls of gateways that failed at the same moment.
_JITTER = (0.7, 1.3)
_MS_PER_S = 1000
_OK = 200

Told = TypeVar('Told')


class KindReader:
    """Watches a kind; lists it at the start and where the watch fails."""

    __slots__ = (
        '_client',
        '_kind',
        '_pause_s',
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
        told: telemetry.Telemetry,
        watch_s: Callable[[], float],
    ) -> None:
        """Keep ``copy`` in step; a watch waits for ``watch_s`` seconds."""
        self._kind = kind
        self._client = store_client.StoreClient(place)
        self._replica = copy
        self._telemetry = told
        self._watch_s = watch_s
        #: Whether the last call failed.
        self.is_lost = False
        self._pause_s = _FIRST_PAUSE_S

    async def run(self) -> None:
        """Keep in step until cancelled."""
        with self._client:
            revision = self._replica.as_of
            while True:
                if revision:
                    await self._watch(revision)
                revision = await self._list()

    async def _list(self) -> int:
        """Return the revision to watch from, zero where a call failed."""
        found: list[store_calls.StoredObject] = []
        after = ''
        as_of = 0
        began = asyncio.get_running_loop().time()
        while True:
            path = store_calls.list_path(self._kind, after)
            page = await self._read(path, store_calls.Page, _CALL_S)
            if page is None:
                return 0
            as_of = as_of or page.as_of
            found.extend(page.items)
            if not page.has_more or not page.items:
                self._replica.take_list(found, as_of)
                self._replica.confirm(began)
                return as_of
            after = page.items[-1].meta.name

    async def _watch(self, revision: int) -> None:
        while True:
            wait_s = self._watch_s()
            changes = await self._read(
                store_calls.watch_path(
                    self._kind,
                    revision,
                    int(wait_s * _MS_PER_S),
                ),
                store_calls.Changes,
                wait_s + news_source.WATCH_GRACE_S,
            )
            if changes is None:
                return
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
        ended = await self._client.get(path, timeout_s)
        match ended:
            case outcome.Reply(status=status, body=body) if status == _OK:
                why, told = _decode(body, kind)
            case outcome.Reply(status=status):
                why = f'a reply with {status}'
            case outcome.NotSent(reason=why) | outcome.Broken(reason=why):
                told = None
        if told is None:
            self._telemetry.count('store_calls', f'{self._kind} {why}')
            await self._lose(why)
            return None
        self._telemetry.count('store_calls', self._kind)
        self._regain()
        return told

    async def _lose(self, why: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            self._telemetry.tell(events.SOURCE_LOST, kind=self._kind, why=why)
        await self._pause()

    def _regain(self) -> None:
        self._pause_s = _FIRST_PAUSE_S
        if self.is_lost:
            self.is_lost = False
            self._telemetry.tell(events.SOURCE_REGAINED, kind=self._kind)

    async def _pause(self) -> None:
        await asyncio.sleep(self._pause_s * random.uniform(*_JITTER))
        longest_s = _LONGEST_PAUSE_S if self._replica.as_of else _BLIND_PAUSE_S
        self._pause_s = min(longest_s, 2 * self._pause_s)


def _decode(body: bytes, kind: type[Told]) -> tuple[str, Told | None]:
    try:
        return ('', msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return (f'a reply that is wrong: {error}', None)
