"""The results of a search by shard, and its missing shards."""

import asyncio
from collections.abc import Iterable

from chivepond.decisions import gather_time
from chivepond.gateway import outcome
from chivepond.platform import headers
from chivepond.wire import gather_request


class ShardResults:
    """Collects results of shards until there are enough, or can't be."""

    __slots__ = (
        '_needed',
        'bodies',
        'changed',
        'least_share',
        '_has_run',
        'queued',
        'reason_by_shard',
        'settled',
        'shed',
        'shards',
        'signature_by_shard',
        'unasked',
    )

    def __init__(
        self,
        shards: tuple[str, ...],
        coverage: gather_time.Coverage,
    ) -> None:
        """Require as many results of ``shards`` as ``coverage`` needs."""
        self.shards = shards
        self._needed = coverage.needed
        #: Minimum share of the shards for a successful response, 0 to 1.
        self.least_share = coverage.least_share
        self.bodies: list[bytes] = []
        self.signature_by_shard: dict[str, bytes] = {}
        self.reason_by_shard: dict[str, str] = {}
        self._has_run = False
        #: Number of shards with long queues that other gateways reported.
        self.queued = 0
        #: Missing shards whose request no searcher received.
        self.unasked: list[str] = []
        #: Shards that are requested only if the other results are too few.
        self.shed: set[str] = set()
        #: Set when a result is added or a shard is marked as missing.
        self.changed = asyncio.Event()
        #: Set once there are enough results, or can't be any more.
        self.settled = asyncio.Event()

    @property
    def is_enough(self) -> bool:
        """Whether there are enough results for a successful response."""
        return len(self.signature_by_shard) >= self._needed

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher has run the request, or may still run it."""
        return self._has_run or bool(self.pending_among(self.shards))

    @property
    def missing(self) -> int:
        """The number of shards without a result."""
        return len(self.shards) - len(self.signature_by_shard)

    def pending_among(self, shards: Iterable[str]) -> list[str]:
        """Return those of ``shards`` whose result may still arrive."""
        return [
            shard
            for shard in shards
            if shard not in self.signature_by_shard
            and shard not in self.reason_by_shard
            and shard not in self.shed
        ]

    def missing_reasons(self) -> dict[str, str]:
        """Return the reason for each shard without a result."""
        return {
            shard: self._missing_reason(shard)
            for shard in self.shards
            if shard not in self.signature_by_shard
        }

    def add_reply(self, shard: str, reply: outcome.Reply) -> None:
        """Add the reply of a shard.

        A reply without a success status and a signature makes the shard
        missing.
        """
        self._has_run = True
        signature = reply.headers.get(headers.SIGNATURE)
        if reply.is_success and signature:
            self.signature_by_shard[shard] = signature
            self.bodies.append(reply.body)
        else:
            self.reason_by_shard[shard] = (
                f'the searcher replied with status {reply.status}'
            )
        self._set_events()

    def mark_missing(
        self,
        shard: str,
        reason: str,
        *,
        has_run: bool,
        reached_no_searcher: bool = False,
    ) -> None:
        """Mark a shard as missing.

        ``has_run`` tells whether a searcher may have run the request, and
        ``reached_no_searcher`` whether no searcher received it.
        """
        self._has_run |= has_run
        self.reason_by_shard[shard] = reason
        if reached_no_searcher:
            self.unasked.append(shard)
        self._set_events()

    def add_group(self, reply: gather_request.GatherReply) -> None:
        """Add the results that another gateway gathered.

        The shards in ``reply.unasked`` stay pending here.
        """
        self._has_run |= reply.may_have_run
        self.bodies.append(reply.records)
        self.signature_by_shard.update(reply.signature_by_shard)
        self.queued += reply.queued
        self.shed.update(reply.shed)
        for shard, reason in reply.reason_by_shard.items():
            if shard not in reply.unasked:
                self.reason_by_shard[shard] = reason
        self._set_events()

    def _missing_reason(self, shard: str) -> str:
        if shard in self.shed:
            return 'not requested: expected to reply too late'
        return self.reason_by_shard.get(shard, 'late')

    def _set_events(self) -> None:
        self.changed.set()
        missing_count = len(self.reason_by_shard)
        if self.is_enough or len(self.shards) - missing_count < self._needed:
            self.settled.set()
