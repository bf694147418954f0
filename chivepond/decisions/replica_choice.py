"""Which replica gets a sub-query.

Load pattern: one replica slow, cold or busy while its sibling is idle.
Without it, a blind rotation sends half of the work to the slow one, and the
slowest shard sets the latency of the whole search. The score is the time
that the new work would wait and run, (queued + in flight + 1) times the
smoothed latency, compared between two random picks so that news which is a
little old does not send everybody to the same replica.
"""

import dataclasses
import random

_PICKS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A replica, as its owner knows it.

    ``latency_s`` is the smoothed time of a sub-query; ``outstanding``
    counts those queued and in flight; ``weight`` is at most 1, less while
    the replica warms up or after it was ejected.
    """

    searcher_id: str
    outstanding: int
    latency_s: float
    weight: float = 1


def choose(candidates: list[Candidate], rng: random.Random) -> Candidate:
    """Return the better of two random picks of a list that is not empty."""
    if len(candidates) > _PICKS:
        candidates = rng.sample(candidates, _PICKS)
    return min(candidates, key=_score)


def _score(candidate: Candidate) -> float:
    waiting = (candidate.outstanding + 1) * candidate.latency_s
    return waiting / candidate.weight
