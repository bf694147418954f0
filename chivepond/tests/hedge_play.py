"""Plays requests with hedges at the copies of one shard, without a network."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from chivepond.decisions import upstream_health, usual_latency

_Act = Callable[[float], None]
#: When, in which order, and what happens.
_Event = tuple[float, int, _Act]


@dataclasses.dataclass(slots=True)
class Copy:
    """One searcher: two slots and a queue."""

    #: Seconds of work of a request that begins at a time.
    work_s: Callable[[float], float]
    #: Whether it stands still at a time, and until when.
    pause_until: Callable[[float], float] = lambda now: now
    free_at: list[float] = dataclasses.field(default_factory=lambda: [0, 0])

    def ends_at(self, now: float) -> float:
        """Return when a request that is sent now has its reply."""
        begins = self.pause_until(max(now, heapq.heappop(self.free_at)))
        ends = begins + self.work_s(begins)
        heapq.heappush(self.free_at, ends)
        return ends


@dataclasses.dataclass(slots=True)
class Played:
    """How many requests came, were in time, and were sent twice."""

    requests: int = 0
    in_time: int = 0
    hedges: int = 0


class HedgePlay:
    """One gateway that asks two copies, the better one first."""

    def __init__(
        self,
        copies: list[Copy],
        due_s: float,
        hedge_delay_s: Callable[[], float],
        is_worth: Callable[[float, float], bool],
    ) -> None:
        """Hedge after ``hedge_delay_s`` where ``is_worth``."""
        usual = usual_latency.UsualLatency()
        self._copies = copies
        self._healths = [
            upstream_health.UpstreamHealth(2, usual=usual) for _ in copies
        ]
        self._due_s = due_s
        self._hedge_delay_s = hedge_delay_s
        self._is_worth = is_worth
        self._numbers = itertools.count()
        self._events: list[_Event] = []
        self.played = Played()

    def run(self, arrivals: list[float]) -> Played:
        """Play all arrivals to their ends."""
        for at in arrivals:
            self._at(at, self._arrive)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return self.played

    def _at(self, when: float, act: _Act) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act))

    def _arrive(self, now: float) -> None:
        self.played.requests += 1
        first = min(
            range(len(self._copies)),
            key=lambda which: self._rank(which, now),
        )
        done: list[float] = []
        due = now + self._due_s

        def hedge(at: float) -> None:
            other = 1 - first
            expected_s = self._healths[other].expected_s(at)
            if not done and self._is_worth(expected_s, due - at):
                self.played.hedges += 1
                self._send(other, at, done, due)

        self._send(first, now, done, due)
        self._at(now + self._hedge_delay_s(), hedge)

    def _rank(self, which: int, now: float) -> tuple[int, float]:
        health = self._healths[which]
        return (int(health.state(now)), health.expected_s(now))

    def _send(
        self,
        which: int,
        now: float,
        done: list[float],
        due: float,
    ) -> None:
        health = self._healths[which]
        attempt = next(self._numbers)
        health.sent(attempt, now)

        def end(at: float) -> None:
            health.replied(attempt, at)
            if not done:
                self.played.in_time += at <= due
            done.append(at)

        self._at(self._copies[which].ends_at(now), end)
