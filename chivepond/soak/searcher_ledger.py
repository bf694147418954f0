"""What searchers ran, and the replies that they owe."""

import asyncio
import collections
import dataclasses
import hashlib
import random
import time

from chivepond.platform import headers
from chivepond.standins import scripted_searcher

_RECORDS = 5
_RECORD_BYTES = 16
_SLOW_S = 0.25
_HANG_S = 2.5
_WORK_S = 0.01
#: Within what time a searcher that leaves gets no more requests, and how long
#: nothing may have been harmed before for that to hold, in seconds.
_LEAVING_BOUND_S = 3.0
_CALM_S = 4.0

#: How a searcher may behave, each as likely as the others but the first.
MOODS = ('sound', 'sound', 'sound', 'slow', 'hang', 'reset', 'full', 'twice')


def records(shard: str, request_id: bytes) -> list[bytes]:
    """Return the records that a shard holds for a request."""
    return [
        hashlib.blake2b(
            b'%d|%s|%s' % (number, shard.encode(), request_id),
            digest_size=_RECORD_BYTES,
        ).digest()
        for number in range(_RECORDS)
    ]


def signature(shard: str, request_id: bytes) -> str:
    """Return what vouches for a part."""
    return f'{shard}.{request_id.decode()}'


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request at one searcher."""

    request_id: bytes
    at: float


class SearcherLedger:
    """Counts runs by request and shard; replies by the mood of a searcher."""

    __slots__ = (
        '_random',
        'arrivals_by_service',
        'harmed_at',
        'late_arrivals',
        'leaving_at_by_id',
        'mood_by_id',
        'runs',
    )

    def __init__(self, rng: random.Random) -> None:
        """Draw from ``rng``."""
        self._random = rng
        self.mood_by_id: dict[str, str] = collections.defaultdict(
            lambda: MOODS[0],
        )
        self.runs: collections.Counter[tuple[str, bytes]] = (
            collections.Counter()
        )

        #: When requests arrived at the searchers of a service, those that
        #: were turned away too; on the steady clock.
        #: When a fault last touched a gateway or the store, and when searchers
        #: said that they leave; on the steady clock.
        self.harmed_at: float = 0
        self.leaving_at_by_id: dict[str, float] = {}
        #: Requests that came to a searcher long after it said that it leaves.
        self.late_arrivals: list[str] = []
        self.arrivals_by_service: dict[str, list[Arrival]] = (
            collections.defaultdict(list)
        )

    def replier(
        self,
        searcher_id: str,
        shard: str,
    ) -> scripted_searcher.Reply:
        """Return how one searcher replies."""

        async def reply(
            got: scripted_searcher.Got,
        ) -> scripted_searcher.Told:
            return await self._reply(searcher_id, shard, got)

        return reply

    async def _reply(
        self,
        searcher_id: str,
        shard: str,
        got: scripted_searcher.Got,
    ) -> scripted_searcher.Told:
        expected = got.value_by_name.get(headers.EXPECTED_SEARCHER, b'')
        if expected.decode() != searcher_id:
            return scripted_searcher.not_run(421)  # noqa: WPS432
        self.arrivals_by_service[shard].append(
            Arrival(got.request_id, time.monotonic()),
        )
        self._check_leaving(searcher_id, got.request_id)
        mood = self.mood_by_id[searcher_id]
        if mood == 'full' and self._random.random() < 0.5:  # noqa: WPS459
            return scripted_searcher.not_run(503)  # noqa: WPS432
        self.runs[(shard, got.request_id)] += 1
        await asyncio.sleep(
            {'slow': _SLOW_S, 'hang': _HANG_S}.get(mood, _WORK_S)
        )
        body = b''.join(records(shard, got.request_id))
        told = scripted_searcher.good(
            got,
            body,
            signature(shard, got.request_id),
        )
        return self._spoil(mood, told)

    def _check_leaving(self, searcher_id: str, request_id: bytes) -> None:
        leaving_at = self.leaving_at_by_id.get(searcher_id)
        if leaving_at is None or self.harmed_at > leaving_at - _CALM_S:
            return
        if time.monotonic() - leaving_at > _LEAVING_BOUND_S:
            self.late_arrivals.append(f'{searcher_id}: {request_id!r}')

    def _spoil(
        self,
        mood: str,
        told: scripted_searcher.Told,
    ) -> scripted_searcher.Told:
        if mood == 'reset' and self._random.random() < 0.5:  # noqa: WPS459
            half = len(told.written) // 2
            return scripted_searcher.Told(told.written[:half], then='reset')
        if mood == 'twice':
            return scripted_searcher.Told(told.written * 2)
        return told
