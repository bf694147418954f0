"""When searches are meant to arrive."""

import random
from collections.abc import Iterator

from chivepond.load import stream


def times(
    one: stream.Stream,
    seconds: float,
    rng: random.Random,
) -> Iterator[float]:
    """Yield the intended times of arrival, in seconds from the start.

    They are fixed before anything is sent, so a slow system can't make its
    callers arrive later.
    """
    until = min(one.until_s or seconds, seconds)
    size = one.burst_size if one.arrivals == 'burst' else 1
    now = one.from_s + rng.expovariate(one.per_s / size)
    while now < until:
        for _ in range(size):
            yield now
        now += rng.expovariate(one.per_s / size)
