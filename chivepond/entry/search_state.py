"""The state of one search while its answers are collected."""

import dataclasses
import types

from chivepond.control import shard_index
from chivepond.entry import place
from chivepond.wire import (
    coverage,
    hit,
    missing_shard,
    owner_answer,
    search_request,
    shard_outcome,
)

#: The reason reported to callers for outcomes internal to searchers.
_CALLER_REASON_BY_OUTCOME = types.MappingProxyType(
    {
        shard_outcome.DRAINING: shard_outcome.NO_REPLICA,
        shard_outcome.COLD: shard_outcome.NO_REPLICA,
        shard_outcome.CANCELLED: shard_outcome.LATE,
    },
)

#: Reasons that are reported before any searcher works on a shard.
_REASONS_BEFORE_WORK = frozenset(
    (
        shard_outcome.DRAINING,
        shard_outcome.COLD,
        shard_outcome.NO_REPLICA,
    ),
)


@dataclasses.dataclass(slots=True)
class SearchState:
    """The results of a search so far, all from one index version.

    ``deadline`` is in seconds, loop clock. ``wanted`` is the number of hits
    up to the end of the page; ``waited`` counts shards that queued for long.
    """

    request: search_request.SearchRequest
    request_id: str
    index: shard_index.ShardIndex
    deadline: float
    wanted: int
    covered: set[str] = dataclasses.field(default_factory=set)
    reason_by_shard: dict[str, str] = dataclasses.field(default_factory=dict)
    tried_by_shard: dict[str, set[place.OwnerNode]] = dataclasses.field(
        default_factory=dict,
    )
    first_place_by_shard: dict[str, place.OwnerNode] = dataclasses.field(
        default_factory=dict,
    )
    hits: list[hit.Hit] = dataclasses.field(default_factory=list)
    attempts: int = 0
    waited: int = 0

    def merge_answer(
        self,
        answer: owner_answer.OwnerAnswer,
        shards: list[str],
    ) -> None:
        """Merge an owner's answer for ``shards`` into the results.

        Hits of an answer to another request or of another index version are
        ignored: they would be inconsistent with the other hits. A shard
        counts only if it was requested and is not covered yet, since both
        its owner and its standby may answer.
        """
        self.attempts += answer.attempts
        if answer.request_id != self.request_id:
            return
        self.waited += answer.waited
        if answer.index_version != self.index.version:
            return
        newly_covered = set(shards).intersection(answer.covered) - self.covered
        self.covered |= newly_covered
        self.hits.extend(
            one for one in answer.hits if one.shard in newly_covered
        )
        for missing_entry in answer.missing:
            self.reason_by_shard[missing_entry.shard] = missing_entry.reason

    def tried_owners(self, shard: str) -> set[place.OwnerNode]:
        """Return the mutable set of owners that a shard was sent to."""
        owners = self.tried_by_shard.get(shard)
        if owners is None:
            first_owner = self.first_place_by_shard.get(shard)
            owners = set() if first_owner is None else {first_owner}
            self.tried_by_shard[shard] = owners
        return owners

    def coverage(self) -> coverage.Coverage:
        """Return the coverage of the shard map of the index version."""
        shards = self.index.searchers_by_shard
        missing = [
            missing_shard.MissingShard(shard=shard, reason=self._reason(shard))
            for shard in shards
            if shard not in self.covered
        ]
        return coverage.Coverage(
            total=len(shards),
            covered=len(shards) - len(missing),
            missing=missing,
        )

    def mark_missing(self, shards: list[str], reason: str) -> None:
        """Set the reason of those ``shards`` that are not covered."""
        for shard in shards:
            if shard not in self.covered:
                self.reason_by_shard[shard] = reason

    def is_unprocessed(self, shard: str) -> bool:
        """Return whether no searcher has worked on a missing shard yet."""
        return self.reason_by_shard.get(shard) in _REASONS_BEFORE_WORK

    @property
    def is_withdrawn(self) -> bool:
        """Whether a searcher reports the index version as withdrawn."""
        return any(
            reason == shard_outcome.WITHDRAWN
            for shard, reason in self.reason_by_shard.items()
            if shard not in self.covered
        )

    def _reason(self, shard: str) -> str:
        reason = self.reason_by_shard.get(shard, shard_outcome.LATE)
        return _CALLER_REASON_BY_OUTCOME.get(reason, reason)
