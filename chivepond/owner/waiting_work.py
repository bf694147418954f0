"""Attempts queued for one searcher, earliest deadline first."""

import heapq
import itertools

from chivepond.decisions import standing_queue
from chivepond.owner import attempt, given_up
from chivepond.wire import shard_outcome


class WaitingWork:
    """A priority queue of attempts, which rejects overdue ones.

    A heap entry holds a deadline, a sequence number that orders equal
    deadlines, and the attempt. Entries compare as tuples, without a call of
    Python code.
    """

    __slots__ = ('_heap', '_sequence', '_standing_queue')

    def __init__(self, now: float) -> None:
        """Start empty; times are seconds of the loop's clock."""
        self._heap: list[tuple[float, int, attempt.Attempt]] = []
        self._sequence = itertools.count()
        self._standing_queue = standing_queue.StandingQueue(now)

    def __len__(self) -> int:
        """Return the number of queued attempts, unwanted ones included."""
        return len(self._heap)

    def push(self, shard_attempt: attempt.Attempt, now: float) -> None:
        """Queue an attempt."""
        if not self._heap:
            self._standing_queue.emptied(now)
        heapq.heappush(
            self._heap,
            (shard_attempt.deadline, next(self._sequence), shard_attempt),
        )

    def record_reply(self, replied_at: float) -> None:
        """Record the time of the searcher's last reply."""
        self._standing_queue.moved(replied_at)

    def record_stalls(self, now: float, total_s: float) -> None:
        """Record the seconds that this process has stalled up to ``now``."""
        self._standing_queue.stalled(now, total_s)

    def pop_batch(self, size: int) -> list[attempt.Attempt]:
        """Remove and return up to ``size`` attempts that are still wanted."""
        batch: list[attempt.Attempt] = []
        while self._heap and len(batch) < size:
            shard_attempt = heapq.heappop(self._heap)[-1]
            if shard_attempt.is_wanted:
                batch.append(shard_attempt)
        return batch

    def reject_all(self) -> list[given_up.RejectedAttempt]:
        """Empty the queue of a draining searcher; return the wanted attempts.

        Other searchers get them. Otherwise an upstream would start work
        seconds after it reported that it leaves.
        """
        rejected = [
            given_up.RejectedAttempt(shard_attempt, shard_outcome.DRAINING)
            for _, _, shard_attempt in self._heap
            if shard_attempt.is_wanted
        ]
        self._heap = []
        return rejected

    def reject_overdue(
        self, now: float, interval_s: float
    ) -> list[given_up.RejectedAttempt]:
        """Remove attempts that wait too long or can't finish in time.

        Returns them as late after their deadline, else as shed. ``interval_s``
        is the time between two finished sub-queries, in seconds. Attempts
        left to time out would reach callers as refusals and missing shards
        only at their deadline, too late for another replica.
        """
        remaining: list[tuple[float, int, attempt.Attempt]] = []
        rejected: list[given_up.RejectedAttempt] = []
        for entry in sorted(self._heap):
            shard_attempt = entry[-1]
            if not shard_attempt.is_wanted:
                continue
            if shard_attempt.deadline <= now:
                rejected.append(
                    given_up.RejectedAttempt(shard_attempt, shard_outcome.LATE)
                )
            elif self._must_reject(
                shard_attempt, now, len(remaining) * interval_s
            ):
                rejected.append(
                    given_up.RejectedAttempt(shard_attempt, shard_outcome.SHED)
                )
            else:
                remaining.append(entry)
        self._heap = remaining
        for rejection in rejected:
            rejection.attempt.call.delayed_shards.add(
                rejection.attempt.sub_query.shard
            )
        return rejected

    def _must_reject(
        self,
        shard_attempt: attempt.Attempt,
        now: float,
        ahead_s: float,
    ) -> bool:
        call = shard_attempt.call
        return self._standing_queue.is_over(
            now,
            call.deadline - call.started_at,
            call.wait_share,
            now - shard_attempt.created_at,
            shard_attempt.deadline - now,
            ahead_s,
        )
