"""How long work may wait, depending on how long the queue has been non-empty.

Load pattern: saturation, as opposed to a burst. A burst makes a long queue
that empties soon; under saturation the queue never empties. A limit on the
queue length cannot distinguish them: it either rejects a burst that would have
been served, or lets every request during saturation wait until it is late.

As in CoDel, the signal is how long the queue has not been empty, but relative
to the time budget of each search: searches of 250 ms and of several seconds
may wait in one queue. Work is dropped in three cases.

- The queue has been non-empty for the whole time budget of the search, so this
  is not a burst at the scale of this search, and the work ahead would take
  more than a share of that budget at the observed rate. The newest work is
  dropped first, so that refusals are early and work that has waited is served.
  Including the time already waited dropped work just before its turn: the 99th
  percentile of refusals at three times the capacity was 53 ms instead of 18.
- The queue has been non-empty for that share of the budget, and the work
  cannot finish in time even if the searcher were a quarter faster.
- No reply arrived for that share of the budget: the searcher hangs. Time in
  which this process stalled does not count: replies may wait to be read.

So a search on one slow searcher that is not busy otherwise gets its whole time
budget. The share is 0.2 where responses keep a deadline, which leaves time for
the work itself and for another replica, and 0.5 where they wait for coverage,
because there a missing shard costs more than a wait. docs/design/queueing.md
has the measurements.
"""

DEADLINE_SHARE = 0.2
COVERAGE_SHARE = 0.5
_SPEEDUP_MARGIN = 1.25
_MIN_STALL_S = 0.25


def wait_share(answer_policy: str) -> float:
    """Return the share of its time budget that work may wait.

    ``answer_policy`` is the ``when`` setting of the service: ``deadline`` or
    ``coverage``.
    """
    return COVERAGE_SHARE if answer_policy == 'coverage' else DEADLINE_SHARE


class StandingQueue:
    """Tracks one queue; times are seconds of one clock."""

    __slots__ = ('_last_empty_at', '_last_reply_at', '_stalled_s')

    def __init__(self, now: float) -> None:
        """Start with an empty queue."""
        self._last_empty_at = now
        self._last_reply_at = now
        self._stalled_s: float = 0

    def emptied(self, now: float) -> None:
        """Record that the queue is empty at ``now``."""
        self._last_empty_at = now
        self._last_reply_at = now

    def moved(self, replied_at: float) -> None:
        """Record the time of the last reply of the searcher."""
        self._last_reply_at = max(self._last_reply_at, replied_at)

    def stalled(self, now: float, total_s: float) -> None:
        """Exclude new stalls of this process from the searcher's silence.

        ``total_s`` is how long the process has stalled up to ``now``, in which
        it read no replies.
        """
        stall_s = total_s - self._stalled_s
        self._stalled_s = total_s
        self._last_reply_at = min(now, self._last_reply_at + stall_s)

    def is_over(
        self,
        now: float,
        time_budget_s: float,
        share: float,
        waited_s: float,
        remaining_s: float,
        work_ahead_s: float,
    ) -> bool:
        """Tell whether work is to be dropped.

        ``time_budget_s`` is the whole time budget of its search and
        ``remaining_s`` what is left of it. ``share`` comes from
        ``wait_share``, ``waited_s`` is the time already waited, and
        ``work_ahead_s`` the estimated time until the work ahead is done.
        """
        non_empty_s = now - self._last_empty_at
        max_wait_s = time_budget_s * share
        if waited_s > max_wait_s:
            if now - self._last_reply_at > max(max_wait_s, _MIN_STALL_S):
                return True
        if non_empty_s > time_budget_s and work_ahead_s > max_wait_s:
            return True
        best_case_s = work_ahead_s / _SPEEDUP_MARGIN
        return non_empty_s > max_wait_s and best_case_s > remaining_s
