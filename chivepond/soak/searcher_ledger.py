"""What searchers ran, and the replies that they owe."""

import asyncio
import collections
import hashlib
import random

from chivepond.platform import headers
from chivepond.standins import scripted_searcher

_RECORDS = 5
_RECORD_BYTES = 16
_SLOW_S = 0.25
_HANG_S = 2.5
_WORK_S = 0.01

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


class SearcherLedger:
    """Counts runs by request and shard; replies by the mood of a searcher."""

    __slots__ = ('_random', 'mood_by_id', 'runs')

    def __init__(self, rng: random.Random) -> None:
        """Draw from ``rng``."""
        self._random = rng
        self.mood_by_id: dict[str, str] = collections.defaultdict(
            lambda: MOODS[0],
        )
        self.runs: collections.Counter[tuple[str, bytes]] = (
            collections.Counter()
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
