"""Which shards a search goes without while their queues are long.

Load pattern: all searchers of a few shards turn slow, so that these shards
get more than they can work off. Every search waits in their queues until its
answer is due, and then goes without them; all that they work on is for
nobody. Asked by fewer searches, they reply to those in time, and as many
parts more are in the answers. Lateness alone is no sign of it: a searcher
that is dead or paused is late too, and asking it less helps nobody.
"""

from collections.abc import Iterable

#: How the share of searches that ask a shard shrinks with each late reply
#: beside a long queue, and grows with each one without. Four late ones halve
#: it; it is whole again after eight without a queue. Played with a pair of
#: searchers that can work off 0.65 of what comes, 0.6 of the searches have
#: that shard in time, in place of none.
_SHRINK = 0.85
_GROW = 0.05
#: The least share: what is asked tells of the end.
_LEAST_SHARE = 0.3
#: Shards that stay asked of those a search could go without: room for one
#: that pauses meanwhile.
_RESERVE = 1


class ShardAdmission:
    """Learns from searches; spreads those that go without a shard evenly."""

    __slots__ = ('_credit_by_shard', '_share_by_shard')

    def __init__(self) -> None:
        """Ask all shards."""
        #: Only of shards that are asked by fewer than all searches.
        self._share_by_shard: dict[str, float] = {}
        self._credit_by_shard: dict[str, float] = {}

    def share(self, shard: str) -> float:
        """Return the share of searches that ask a shard."""
        return self._share_by_shard.get(shard, 1)

    def left_out(self, shards: Iterable[str], spare: int) -> list[str]:
        """Return the shards that the next search goes without.

        ``spare`` is how many it could go without and still be answered.
        """
        if not self._share_by_shard:
            return []
        due = [shard for shard in shards if not self._takes_turn(shard)]
        due.sort(key=self.share)
        return due[: max(0, spare - _RESERVE)]

    def learn(self, shard: str, *, is_in_time: bool, is_queued: bool) -> None:
        """Take how a shard that was asked did in one search."""
        share = self.share(shard)
        if is_queued:
            if not is_in_time:
                share = max(_LEAST_SHARE, share * _SHRINK)
        else:
            share += _GROW
        if share < 1:
            self._share_by_shard[shard] = share
        else:
            self._share_by_shard.pop(shard, None)
            self._credit_by_shard.pop(shard, None)

    def _takes_turn(self, shard: str) -> bool:
        credit = self._credit_by_shard.get(shard, 0) + self.share(shard)
        takes = credit >= 1
        if shard in self._share_by_shard:
            self._credit_by_shard[shard] = credit - int(takes)
        return takes
