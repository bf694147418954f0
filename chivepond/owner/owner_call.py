"""The state of one query at its owner, until all shards are done."""

import asyncio
import heapq
import secrets

from chivepond.owner import shard_progress
from chivepond.wire import (
    hit,
    missing_shard,
    owner_answer,
    owner_query,
    shard_outcome,
    sub_reply,
)

#: A sub-query counts as delayed at half of the wait that a standing queue
#: allows, so that entry hosts admit fewer searches before work is rejected.
_LONG_WAIT_SHARE = 0.5
_TOKEN_BYTES = 6


class OwnerCall:
    """Collects the replies of one query; the first per shard counts."""

    __slots__ = (
        '_done',
        '_hits',
        '_long_wait_s',
        'attempts',
        'covered',
        'deadline',
        'delayed_shards',
        'missing',
        'pending',
        'query',
        'started_at',
        'sub_query_id',
        'wait_share',
    )

    def __init__(
        self,
        query: owner_query.OwnerQuery,
        started_at: float,
        deadline: float,
        wait_share: float,
    ) -> None:
        """Run from ``started_at`` to ``deadline``, in the loop's seconds.

        ``wait_share`` is the share of that time that a sub-query may wait in
        a standing queue, one that has not been empty for long.
        """
        self.wait_share = wait_share
        self.query = query
        #: Request identifier of its sub-queries. That of the query is chosen
        #: by the caller, and queries that share it may be in one batch.
        self.sub_query_id = (
            f'{query.request_id}.{secrets.token_urlsafe(_TOKEN_BYTES)}'
        )
        self.started_at = started_at
        self.deadline = deadline
        self.attempts = 0
        self.delayed_shards: set[str] = set()
        self._long_wait_s = (
            (deadline - started_at) * wait_share * _LONG_WAIT_SHARE
        )
        self.pending: dict[str, shard_progress.ShardProgress] = {}
        self.covered: list[str] = []
        self.missing: list[missing_shard.MissingShard] = []
        self._hits: list[hit.Hit] = []
        self._done = asyncio.get_running_loop().create_future()

    @property
    def is_done(self) -> bool:
        """Whether all shards are covered or missing."""
        return self._done.done()

    def record_wait(self, shard: str, waited_s: float) -> None:
        """Count the shard as delayed if it was queued for long."""
        if waited_s > self._long_wait_s:
            self.delayed_shards.add(shard)

    def add_covered(self, reply: sub_reply.SubReply) -> None:
        """Record a shard as covered, and add its hits."""
        self.pending.pop(reply.shard)
        self.covered.append(reply.shard)
        self._hits.extend(reply.hits)
        self._finish_if_complete()

    def add_missing(self, shard: str, reason: str) -> None:
        """Record a shard as missing, for ``reason``."""
        self.pending.pop(shard, None)
        self.missing.append(
            missing_shard.MissingShard(shard=shard, reason=reason),
        )
        self._finish_if_complete()

    def finish(self) -> None:
        """End the query now; pending shards are missing.

        Their reason is that of their last failed attempt, else late.
        """
        for shard, progress in list(self.pending.items()):
            self.add_missing(shard, progress.reason or shard_outcome.LATE)
        self._finish_if_complete()

    async def answer(self) -> owner_answer.OwnerAnswer:
        """Wait until each shard is covered or missing; return the answer."""
        await self._done
        return owner_answer.OwnerAnswer(
            request_id=self.query.request_id,
            index_version=self.query.index_version,
            covered=self.covered,
            missing=self.missing,
            hits=best(self._hits, self.query.limit),
            attempts=self.attempts,
            waited=len(self.delayed_shards),
        )

    def _finish_if_complete(self) -> None:
        if not self.pending and not self._done.done():
            self._done.set_result(None)


def best(hits: list[hit.Hit], limit: int) -> list[hit.Hit]:
    """Return the ``limit`` best hits by score, ties by record id."""
    return heapq.nsmallest(limit, hits, key=_rank)


def _rank(ranked_hit: hit.Hit) -> tuple[float, str]:
    return (-ranked_hit.score, ranked_hit.record_id)
