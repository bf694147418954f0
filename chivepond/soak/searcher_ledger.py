"""Counts what the searchers of a soak ran, and scripts their replies."""

import asyncio
import collections
import dataclasses
import hashlib
import math
import random
import time
import types
from collections.abc import Iterable

from chivepond.platform import headers
from chivepond.standins import endless_searcher, scripted_searcher

_RECORDS = 5
_RECORD_BYTES = 16
_SLOW_S = 0.25
_HANG_S = 2.5
_WORK_S = 0.01
#: Seconds after which a draining searcher gets no more requests, and seconds
#: without a fault before the drain for this to be required.
_DRAIN_BOUND_S = 3.0
_FAULT_FREE_S = 4.0

#: Behaviours of searchers, drawn with equal weight per entry: ``slow`` and
#: ``hang`` reply late, ``full`` rejects half of the requests, ``reset`` resets
#: the connection halfway through half of the replies, ``twice`` sends each
#: reply twice, ``endless`` sends replies that do not end.
BEHAVIOURS = (
    'sound',
    'sound',
    'sound',
    'slow',
    'hang',
    'reset',
    'full',
    'twice',
    'endless',
)

#: Share of the requests that a searcher rejects, by its behaviour.
_REJECTED_SHARE_BY_BEHAVIOUR = types.MappingProxyType(
    {'full': 0.5, 'overloaded': 0.8}
)


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
    """Return the signature of a shard's part in the answer to a request."""
    return f'{shard}.{request_id.decode()}'


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Arrival of a request at a searcher; ``at`` is in monotonic seconds."""

    request_id: bytes
    at: float


class SearcherLedger:
    """Counts runs by shard and request; replies as each searcher behaves."""

    __slots__ = (
        '_random',
        'arrivals_by_service',
        'last_fault_at',
        'arrivals_after_drain',
        'arrivals_after_removal',
        'draining_at_by_searcher_id',
        'behaviour_by_searcher_id',
        'removed_at_by_searcher_id',
        'request_times_by_service',
        'runs',
    )

    def __init__(self, rng: random.Random) -> None:
        """Use ``rng`` to decide which replies are rejected or reset."""
        self._random = rng
        self.behaviour_by_searcher_id: dict[str, str] = collections.defaultdict(
            lambda: BEHAVIOURS[0],
        )
        self.runs: collections.Counter[tuple[str, bytes]] = (
            collections.Counter()
        )
        #: When a fault last affected a gateway or the store, and when each
        #: searcher began to drain, in monotonic seconds.
        self.last_fault_at: float = 0
        self.draining_at_by_searcher_id: dict[str, float] = {}
        #: Requests that reached a searcher more than ``_DRAIN_BOUND_S`` after
        #: it began to drain.
        self.arrivals_after_drain: list[str] = []
        #: When the entry of a searcher was removed that had not announced it,
        #: and requests that reached it more than ``_DRAIN_BOUND_S`` later.
        self.removed_at_by_searcher_id: dict[str, float] = {}
        self.arrivals_after_removal: list[tuple[str, bytes]] = []
        #: Requests at the searchers of each service, including those
        #: rejected with 503.
        self.arrivals_by_service: dict[str, list[Arrival]] = (
            collections.defaultdict(list)
        )

        #: When clients sent the requests for each service, whether or not they
        #: reached a searcher.
        self.request_times_by_service: dict[str, list[float]] = (
            collections.defaultdict(list)
        )

    def record_client_request(self, services: Iterable[str]) -> None:
        """Record that a client sends a request for ``services``."""
        for service in services:
            self.request_times_by_service[service].append(time.monotonic())

    def reply_script(
        self,
        searcher_id: str,
        shard: str,
    ) -> scripted_searcher.Reply:
        """Return the coroutine function with which one searcher replies."""

        async def reply(
            request: scripted_searcher.Got,
        ) -> scripted_searcher.Told:
            return await self._reply(searcher_id, shard, request)

        return reply

    async def _reply(
        self,
        searcher_id: str,
        shard: str,
        request: scripted_searcher.Got,
    ) -> scripted_searcher.Told:
        expected_id = request.value_by_name.get(headers.EXPECTED_SEARCHER, b'')
        if expected_id.decode() != searcher_id:
            return scripted_searcher.not_run(421)  # noqa: WPS432
        self.arrivals_by_service[shard].append(
            Arrival(request.request_id, time.monotonic()),
        )
        self._check_drain(searcher_id, request.request_id)
        behaviour = self.behaviour_by_searcher_id[searcher_id]
        rejected_share = _REJECTED_SHARE_BY_BEHAVIOUR.get(behaviour, 0)
        if rejected_share and self._random.random() < rejected_share:
            return scripted_searcher.not_run(503)  # noqa: WPS432
        self.runs[(shard, request.request_id)] += 1
        await asyncio.sleep(
            {'slow': _SLOW_S, 'hang': _HANG_S}.get(behaviour, _WORK_S)
        )
        if behaviour == 'endless':
            return self._endless_response(request.request_id)
        body = b''.join(records(shard, request.request_id))
        response = scripted_searcher.good(
            request,
            body,
            signature(shard, request.request_id),
        )
        return self._alter_response(behaviour, response)

    def _check_drain(self, searcher_id: str, request_id: bytes) -> None:
        removed_at = self.removed_at_by_searcher_id.get(searcher_id, math.inf)
        if time.monotonic() - removed_at > _DRAIN_BOUND_S:
            self.arrivals_after_removal.append((searcher_id, request_id))
        draining_at = self.draining_at_by_searcher_id.get(searcher_id)
        if (
            draining_at is None
            or self.last_fault_at > draining_at - _FAULT_FREE_S
        ):
            return
        if time.monotonic() - draining_at > _DRAIN_BOUND_S:
            self.arrivals_after_drain.append(f'{searcher_id}: {request_id!r}')

    def _alter_response(
        self,
        behaviour: str,
        response: scripted_searcher.Told,
    ) -> scripted_searcher.Told:
        if behaviour == 'reset' and self._random.random() < 0.5:  # noqa: WPS459
            half_length = len(response.written) // 2
            return scripted_searcher.Told(
                response.written[:half_length], then='reset'
            )
        if behaviour == 'twice':
            return scripted_searcher.Told(response.written * 2)
        return response

    def _endless_response(self, request_id: bytes) -> scripted_searcher.Told:
        part = self._random.choice(list(endless_searcher.ReplyPart))
        start, repeated = endless_searcher.reply_bytes(part, request_id)
        return scripted_searcher.Told(start, 'endless', repeated)
