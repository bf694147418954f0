"""Runs the probes: python -m chivepond.capacity."""

import asyncio
import sys
from collections.abc import Sequence

from chivepond.capacity import (
    batch_probe,
    entry_probe,
    exchange_probe,
    memory_probe,
    owner_probe,
    reading,
    stream_probe,
)
from chivepond.observe import journal


async def measure() -> Sequence[reading.Reading]:
    """Return all readings, one after the other."""
    return [
        await exchange_probe.measure(),
        await stream_probe.measure(),
        await batch_probe.measure(),
        await owner_probe.measure(),
        await entry_probe.measure(),
        memory_probe.measure_index(),
    ]


def show(one: reading.Reading) -> str:
    """Return a reading as lines of a Markdown table."""
    line = one.slope()
    points = ', '.join(
        f'{size}: {cost:.1f}'
        for size, cost in zip(one.sizes, one.costs, strict=True)
    )
    return (
        f'| {one.name} | {one.grows_with} | {points} |'
        f' {line.fixed:.1f} + {line.per_unit:.2f} each | {one.unit} |'
    )


def main() -> None:
    """Write the table of slopes to standard output."""
    sys.stdout.write('| cost | grows with | points | line | unit |\n')
    sys.stdout.write('| --- | --- | --- | --- | --- |\n')
    with journal.Journal('ERROR', 'text'):
        for one in asyncio.run(measure()):
            sys.stdout.write(f'{show(one)}\n')


if __name__ == '__main__':
    main()
