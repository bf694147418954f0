"""Simulates one searcher's queue: Poisson arrivals, slots, stragglers."""

import dataclasses
import heapq
import random

from chivepond.decisions import standing_queue, work_rate

_SLOTS = 2
_WORK_S = 0.004
_STRAGGLER_ONE_IN = 100
_STRAGGLER_FACTOR = 10
_DURATION_S = 20
_SWEEP_S = 0.01
_P99 = 0.99
_MS_PER_S = 1000
_MEAN_WORK_S = _WORK_S * (1 + (_STRAGGLER_FACTOR - 1) / _STRAGGLER_ONE_IN)


@dataclasses.dataclass(slots=True)
class QueueRun:
    """Results of one simulation.

    ``served_s`` holds the latencies of requests served within the deadline,
    ``refused_s`` the waits before a refusal, both in seconds; ``late`` counts
    requests that were served after the deadline.
    """

    arrivals: int = 0
    served_s: list[float] = dataclasses.field(default_factory=list)
    refused_s: list[float] = dataclasses.field(default_factory=list)
    late: int = 0

    @property
    def in_time_share(self) -> float:
        """The requests served in time, relative to the capacity of the slots.

        Below saturation it is relative to the arrivals.
        """
        capacity = _DURATION_S * _SLOTS / _MEAN_WORK_S
        return len(self.served_s) / min(capacity, self.arrivals)

    @property
    def p99_ms(self) -> float:
        """The 99th percentile latency of requests served in time, in ms."""
        return _percentile_ms(self.served_s)

    @property
    def refused_median_ms(self) -> float:
        """The median wait before a refusal, in ms."""
        return _percentile_ms(self.refused_s, 1 / 2)

    @property
    def refused_p99_ms(self) -> float:
        """The 99th percentile of the wait before a refusal, in ms."""
        return _percentile_ms(self.refused_s)


class QueueModel:
    """A FIFO queue before a fixed number of slots.

    All requests have the same deadline, so FIFO is also deadline order.
    """

    __slots__ = (
        '_deadline_s',
        '_queue',
        '_rate',
        '_rng',
        '_run',
        '_slot_free_at',
        '_standing_queue',
        '_wait_share',
    )

    def __init__(
        self,
        deadline_s: float,
        wait_share: float,
        rng: random.Random,
    ) -> None:
        """Create an empty queue.

        Once the queue has not been empty for a while, a request may wait for
        at most ``wait_share`` of ``deadline_s``.
        """
        self._deadline_s = deadline_s
        self._wait_share = wait_share
        self._standing_queue = standing_queue.StandingQueue(0)
        self._rate = work_rate.WorkRate()
        self._rng = rng
        self._slot_free_at = [float(0) for _ in range(_SLOTS)]
        self._queue: list[float] = []
        self._run = QueueRun()

    def simulate(self, load: float) -> QueueRun:
        """Simulate 20 seconds of arrivals at ``load`` times the capacity."""
        rate = load * _SLOTS / _MEAN_WORK_S
        now = self._rng.expovariate(rate)
        next_sweep_at = _SWEEP_S
        while now < _DURATION_S:
            while next_sweep_at < now:
                self._serve(next_sweep_at)
                self._refuse_overdue(next_sweep_at)
                next_sweep_at += _SWEEP_S
            self._serve(now)
            self._arrive(now)
            now += self._rng.expovariate(rate)
        return self._run

    def _arrive(self, now: float) -> None:
        self._run.arrivals += 1
        if not self._queue:
            self._standing_queue.emptied(now)
        self._queue.append(now)
        self._serve(now)

    def _serve(self, now: float) -> None:
        while self._queue and self._slot_free_at[0] <= now:
            arrived_at = self._queue.pop(0)
            start = max(arrived_at, self._slot_free_at[0])
            end = start + self._work_s()
            heapq.heapreplace(self._slot_free_at, end)
            self._rate.observe(1, end - start)
            self._standing_queue.moved(end)
            if end - arrived_at <= self._deadline_s:
                self._run.served_s.append(end - arrived_at)
            else:
                self._run.late += 1

    def _refuse_overdue(self, now: float) -> None:
        each_s = self._rate.each_s(_SLOTS)
        still_waiting: list[float] = []
        for arrived_at in self._queue:
            waited_s = now - arrived_at
            is_refused = (
                waited_s > self._deadline_s
                or self._standing_queue.is_over(
                    now,
                    self._deadline_s,
                    self._wait_share,
                    waited_s,
                    self._deadline_s - waited_s,
                    len(still_waiting) * each_s,
                )
            )
            if is_refused:
                self._run.refused_s.append(waited_s)
            else:
                still_waiting.append(arrived_at)
        self._queue = still_waiting

    def _work_s(self) -> float:
        is_straggler = not self._rng.randrange(_STRAGGLER_ONE_IN)
        factor = _STRAGGLER_FACTOR if is_straggler else 1
        return _WORK_S * factor


def run(
    load: float,
    deadline_s: float,
    wait_share: float,
    rng: random.Random,
) -> QueueRun:
    """Simulate one load with one deadline and wait share."""
    return QueueModel(deadline_s, wait_share, rng).simulate(load)


def _percentile_ms(times_s: list[float], fraction: float = _P99) -> float:
    if not times_s:
        return 0
    ranked = sorted(times_s)
    return ranked[int(len(ranked) * fraction)] * _MS_PER_S
