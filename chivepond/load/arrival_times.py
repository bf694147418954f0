"""Draws the arrival times of a stream."""

import random
from collections.abc import Iterator

from chivepond.load import stream


def times(
    config: stream.Stream,
    seconds: float,
    rng: random.Random,
) -> Iterator[float]:
    """Yield the arrival times of a stream, in seconds from the start.

    They are drawn before any request is sent, so a slow system can't delay
    the arrivals of its callers.
    """
    until = min(config.until_s or seconds, seconds)
    burst_size = config.burst_size if config.arrivals == 'burst' else 1
    arrival_s = config.from_s + rng.expovariate(config.per_s / burst_size)
    while arrival_s < until:
        for _ in range(burst_size):
            yield arrival_s
        arrival_s += rng.expovariate(config.per_s / burst_size)
