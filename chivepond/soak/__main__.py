"""Command line of the embedded soak: python -m chivepond.soak --seed 1."""

import asyncio
import sys

from chivepond.observe import journal
from chivepond.soak import soak
from chivepond.standins import embedded
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond.soak: random faults against an embedded deployment.

Every answer is compared with one computed from the stand-ins' records; the
outcomes of every request key are compared with its runs. Exits with 1 when
a guarantee was violated.

Example:
  python -m chivepond.soak --seed 1 --seconds 20
"""
_DEFAULT_SECONDS = 20
_MAX_SECONDS = 600


def main(arguments: list[str]) -> int:
    """Run one soak and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_number('seed', 1, 'seed of the faults, queries and keys')
    program.add_number(
        'seconds', _DEFAULT_SECONDS, f'duration, at most {_MAX_SECONDS}'
    )
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    with journal.Journal('ERROR', 'text'):
        return asyncio.run(
            _run_soak(
                program.flags.seed,
                min(program.flags.seconds, _MAX_SECONDS),
            ),
        )


async def _run_soak(seed: int, seconds: int) -> int:
    async with embedded.EmbeddedDeployment(soak.plan()) as deployment:
        soak_run = soak.Soak(deployment, seed)
        await soak_run.run(seconds)
    console.print_line(
        f'{soak_run.answers} answers, {soak_run.refusals} refusals'
    )
    for violation in soak_run.violations:
        console.print_line(
            f'violation at {violation.at_s:.2f} s: '
            f'{violation.guarantee}: {violation.observed}'
        )
    return exit_code.ExitCode.FAILED if soak_run.violations else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
