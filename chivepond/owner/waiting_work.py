"""The work that waits for one searcher, nearest deadline first."""

import heapq
import itertools

from chivepond.decisions import standing_queue
from chivepond.owner import attempt, given_up
from chivepond.wire import shard_outcome


class WaitingWork:
    """Hands work out, and gives up what waited too long.

    An entry of the heap is a deadline, a number that tells equal deadlines
    apart, and the attempt, so that entries compare without a call.
    """

    __slots__ = ('_heap', '_numbers', '_standing')

    def __init__(self, now: float) -> None:
        """Start empty; times are seconds of the loop's clock."""
        self._heap: list[tuple[float, int, attempt.Attempt]] = []
        self._numbers = itertools.count()
        self._standing = standing_queue.StandingQueue(now)

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._heap)

    def push(self, one: attempt.Attempt, now: float) -> None:
        """Let an attempt wait."""
        if not self._heap:
            self._standing.emptied(now)
        heapq.heappush(self._heap, (one.deadline, next(self._numbers), one))

    def moved(self, replied_at: float) -> None:
        """Take when the searcher last replied."""
        self._standing.moved(replied_at)

    def take(self, size: int) -> list[attempt.Attempt]:
        """Return up to ``size`` attempts that are still wanted."""
        taken: list[attempt.Attempt] = []
        while self._heap and len(taken) < size:
            one = heapq.heappop(self._heap)[-1]
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
            for _, _, one in self._heap
            if one.is_wanted
        ]
        self._heap = []
        return lost

    def give_up(self, now: float, each_s: float) -> list[given_up.GivenUp]:
        """Return what waits too long or can't be done in time any more.

        ``each_s`` is the time from one sub-query done to the next.
        Guards against work that is left to time out: it shows as refusals
        and gaps that callers learn of at their deadline only, when no other
        replica can help any more.
        """
        kept: list[tuple[float, int, attempt.Attempt]] = []
        lost: list[given_up.GivenUp] = []
        for entry in sorted(self._heap):
            one = entry[-1]
            if not one.is_wanted:
                continue
            if one.deadline <= now:
                lost.append(given_up.GivenUp(one, shard_outcome.LATE))
            elif self._is_over(one, now, len(kept) * each_s):
                lost.append(given_up.GivenUp(one, shard_outcome.SHED))
            else:
                kept.append(entry)
        self._heap = kept
        for gone in lost:
            gone.attempt.call.waited.add(gone.attempt.sub_query.shard)
        return lost

    def _is_over(
        self,
        one: attempt.Attempt,
        now: float,
        ahead_s: float,
    ) -> bool:
        call = one.call
        return self._standing.is_over(
            now,
            call.deadline - call.started_at,
            call.wait_share,
            now - one.created_at,
            one.deadline - now,
            ahead_s,
        )
