"""A model of one searcher's queue: Poisson arrivals, slots, stragglers."""

import dataclasses
import heapq
import random

from chivepond.decisions import standing_queue

_SLOTS = 2
_WORK_S = 0.004
_STRAGGLER_ONE_IN = 100
_STRAGGLER_FACTOR = 10
_DEADLINE_S = 0.25
_DURATION_S = 20
_SWEEP_S = 0.01
_PERCENTILE = 0.99
_MS_PER_S = 1000
_MEAN_WORK_S = _WORK_S * (1 + (_STRAGGLER_FACTOR - 1) / _STRAGGLER_ONE_IN)


@dataclasses.dataclass(slots=True)
class QueueRun:
    """What came of the requests; times in seconds."""

    arrivals: int = 0
    served_s: list[float] = dataclasses.field(default_factory=list)
    refused_s: list[float] = dataclasses.field(default_factory=list)
    late: int = 0

    @property
    def in_time_share(self) -> float:
        """Requests served in time, over what the slots could serve.

        Below saturation it is over the arrivals.
        """
        could = _DURATION_S * _SLOTS / _MEAN_WORK_S
        return len(self.served_s) / min(could, self.arrivals)

    @property
    def p99_ms(self) -> float:
        """The latency of those served in time."""
        return _percentile_ms(self.served_s)

    @property
    def refused_p99_ms(self) -> float:
        """How long the refused waited for their refusal."""
        return _percentile_ms(self.refused_s)


class QueueModel:
    """First in, first out, as deadlines are all alike."""

    __slots__ = ('_free_at', '_rng', '_run', '_standing', '_waiting')

    def __init__(
        self,
        standing: standing_queue.StandingQueue,
        rng: random.Random,
    ) -> None:
        """Wait by the rule of ``standing``."""
        self._standing = standing
        self._rng = rng
        self._free_at = [float(0) for _ in range(_SLOTS)]
        self._waiting: list[float] = []
        self._run = QueueRun()

    def play(self, load: float) -> QueueRun:
        """Play arrivals at ``load`` times what the slots can serve."""
        rate = load * _SLOTS / _MEAN_WORK_S
        now = self._rng.expovariate(rate)
        sweep_at = _SWEEP_S
        while now < _DURATION_S:
            while sweep_at < now:
                self._serve(sweep_at)
                self._sweep(sweep_at)
                sweep_at += _SWEEP_S
            self._serve(now)
            self._arrive(now)
            now += self._rng.expovariate(rate)
        return self._run

    def _arrive(self, now: float) -> None:
        self._run.arrivals += 1
        if not self._waiting:
            self._standing.emptied(now)
        self._waiting.append(now)
        self._serve(now)

    def _serve(self, now: float) -> None:
        while self._waiting and self._free_at[0] <= now:
            came_at = self._waiting.pop(0)
            start = max(came_at, self._free_at[0])
            end = start + self._work_s()
            heapq.heapreplace(self._free_at, end)
            if end - came_at <= _DEADLINE_S:
                self._run.served_s.append(end - came_at)
            else:
                self._run.late += 1

    def _sweep(self, now: float) -> None:
        longest_s = self._standing.longest_wait_s(now)
        kept = []
        for came_at in self._waiting:
            if now - came_at > min(longest_s, _DEADLINE_S):
                self._run.refused_s.append(now - came_at)
            else:
                kept.append(came_at)
        self._waiting = kept

    def _work_s(self) -> float:
        is_straggler = not self._rng.randrange(_STRAGGLER_ONE_IN)
        factor = _STRAGGLER_FACTOR if is_straggler else 1
        return _WORK_S * factor


def run(
    load: float,
    standing: standing_queue.StandingQueue,
    rng: random.Random,
) -> QueueRun:
    """Play one load against one rule of waiting."""
    return QueueModel(standing, rng).play(load)


def _percentile_ms(times_s: list[float]) -> float:
    if not times_s:
        return 0
    ranked = sorted(times_s)
    return ranked[int(len(ranked) * _PERCENTILE)] * _MS_PER_S
