"""Runs the probes: python -m chivepond.capacity."""

import asyncio
import sys

from chivepond.capacity import (
    batch_probe,
    entry_probe,
    exchange_probe,
    fleet,
    memory_probe,
    node_load,
    owner_probe,
    reading,
    stream_probe,
)
from chivepond.observe import journal


async def measure() -> dict[str, reading.Reading]:
    """Return all readings by what was probed, one after the other."""
    return {
        'exchange': await exchange_probe.measure(),
        'stream': await stream_probe.measure(),
        'batch': await batch_probe.measure(),
        'owner': await owner_probe.measure(),
        'entry': await entry_probe.measure(),
        'index': memory_probe.measure_index(),
    }


def show(one: reading.Reading) -> str:
    """Return a reading as a line of a Markdown table."""
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
    """Write the slopes, and what they come to, to standard output."""
    with journal.Journal('ERROR', 'text'):
        reading_by_name = asyncio.run(measure())
    lines = [
        '| cost | grows with | points | line | unit |',
        '| --- | --- | --- | --- | --- |',
        *(show(one) for one in reading_by_name.values()),
        '',
        '| one node of 600 | a second | us each | cores |',
        '| --- | --- | --- | --- |',
        *(
            f'| {one.work} | {one.a_second:.0f} | {one.cost_us:.0f} |'
            f' {one.cores:.2f} |'
            for one in node_load.shares(fleet.Fleet(), reading_by_name)
        ),
    ]
    for line in lines:
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
