"""Which replica gets a sub-query.

Load pattern: one replica is slow, cold or busy while its sibling is idle.
Round robin would send half of the work to the slow one, and the slowest shard
sets the latency of the whole search. The score is the expected time to wait
and run, (queued + in flight + 1) times the smoothed latency. The better of two
random picks is used, so that slightly stale figures do not send all work to
the same replica.
"""

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

_SAMPLE_SIZE = 2


class Candidate(Protocol):
    """A replica, as its owner sees it.

    ``latency_s`` is the smoothed duration of a sub-query; ``outstanding``
    counts those queued and in flight; ``weight`` is at most 1, and lower while
    the replica warms up or after it was ejected.
    """

    outstanding: int
    latency_s: float
    weight: float


Chosen = TypeVar('Chosen', bound=Candidate)


def choose(candidates: Sequence[Chosen], rng: random.Random) -> Chosen:
    """Return the better of two random picks; the list must not be empty."""
    if len(candidates) == 1:
        return candidates[0]
    if len(candidates) > _SAMPLE_SIZE:
        candidates = rng.sample(candidates, _SAMPLE_SIZE)
    first, second = candidates
    return first if _score(first) <= _score(second) else second


def _score(candidate: Candidate) -> float:
    expected_s = (candidate.outstanding + 1) * candidate.latency_s
    return expected_s / candidate.weight
