"""Processor time of this process around some work."""

import statistics
import time
from collections.abc import Awaitable, Callable

_MICROSECONDS = 1e6


async def cpu_us(
    work: Callable[[], Awaitable[None]],
    rounds: int,
    repeats: int = 3,
) -> float:
    """Return the median processor time of one round, in microseconds.

    ``work`` runs ``rounds`` times in a row for each repeat. Both ends of an
    exchange within this process are counted.
    """
    await work()
    readings = []
    for _ in range(repeats):
        started = time.process_time()
        for _ in range(rounds):
            await work()
        taken = time.process_time() - started
        readings.append(taken / rounds * _MICROSECONDS)
    return statistics.median(readings)
