"""Runs a soak: python -m chivepond.soak --seed 1 --seconds 20."""

import asyncio
import sys

from chivepond.observe import journal
from chivepond.soak import soak
from chivepond.standins import embedded
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond.soak: random faults against an embedded deployment.

Every answer is worked out anew from the stand-ins' records; every request
key is followed to its end. Exits with 1 when a promise was broken.

Example:
  python -m chivepond.soak --seed 1 --seconds 20
"""
_SECONDS = 20
_MOST_SECONDS = 600


def main(arguments: list[str]) -> int:
    """Return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.number('seed', 1, 'draws faults, queries and keys')
    program.number('seconds', _SECONDS, f'how long, at most {_MOST_SECONDS}')
    ended = program.begin(arguments)
    if ended is not None:
        return ended
    with journal.Journal('ERROR', 'text'):
        return asyncio.run(
            _play(
                program.flags.seed,
                min(program.flags.seconds, _MOST_SECONDS),
            ),
        )


async def _play(seed: int, seconds: int) -> int:
    async with embedded.EmbeddedDeployment(soak.plan()) as deployed:
        played = soak.Soak(deployed, seed)
        await played.run(seconds)
    console.say(f'{played.answers} answers, {played.refusals} refusals')
    for one in played.violations:
        console.say(f'broken at {one.at_s:.2f} s: {one.promise}: {one.seen}')
    return exit_code.ExitCode.FAILED if played.violations else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
