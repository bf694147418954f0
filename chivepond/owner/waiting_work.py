"""The work that waits for one searcher, nearest deadline first."""

import heapq

from chivepond.decisions import standing_queue
from chivepond.owner import attempt, given_up
from chivepond.wire import shard_outcome


class WaitingWork:
    """Hands work out, and gives up what waited too long."""

    __slots__ = ('_heap', '_standing')

    def __init__(self, now: float) -> None:
        """Start empty; times are seconds of the loop's clock."""
        self._heap: list[attempt.Attempt] = []
        self._standing = standing_queue.StandingQueue(now)

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._heap)

    def push(self, one: attempt.Attempt, now: float) -> None:
        """Let an attempt wait."""
        if not self._heap:
            self._standing.emptied(now)
        heapq.heappush(self._heap, one)

    def take(self, size: int) -> list[attempt.Attempt]:
        """Return up to ``size`` attempts that are still wanted."""
        taken: list[attempt.Attempt] = []
        while self._heap and len(taken) < size:
            one = heapq.heappop(self._heap)
            if one.is_wanted:
                taken.append(one)
        return taken

    def hand_back(self) -> list[given_up.GivenUp]:
        """Return everything, for other searchers: this one leaves.

        Guards against work for an upstream that drains: it shows as work
        begun seconds after the upstream said that it leaves.
        """
        lost = [
            given_up.GivenUp(one, shard_outcome.DRAINING)
            for one in self._heap
            if one.is_wanted
        ]
        self._heap = []
        return lost

    def give_up(self, now: float) -> list[given_up.GivenUp]:
        """Return what waited too long or can't be done in time any more.

        Guards against work that is left to time out: it shows as refusals
        and gaps that callers learn of at their deadline only, when no other
        replica can help any more.
        """
        longest_s = self._standing.longest_wait_s(now)
        kept: list[attempt.Attempt] = []
        lost: list[given_up.GivenUp] = []
        for one in self._heap:
            if not one.is_wanted:
                continue
            if one.deadline <= now:
                lost.append(given_up.GivenUp(one, shard_outcome.LATE))
            elif now - one.created_at > longest_s:
                lost.append(given_up.GivenUp(one, shard_outcome.SHED))
            else:
                kept.append(one)
        heapq.heapify(kept)
        self._heap = kept
        return lost
