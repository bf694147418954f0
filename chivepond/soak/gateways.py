"""Command line of the gateway soak: python -m chivepond.soak.gateways."""

import asyncio
import pathlib
import sys
import tempfile

from chivepond.soak import gateway_soak
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond.soak.gateways: random faults against gateway processes.

Gateways run as processes; faults are external: loopback proxies that delay,
block and reset connections, signals, store errors, and searchers that are
slow, hang, reset, reject or send replies twice. The replies to callers and
the requests at searchers are checked. Exits with 1 when a guarantee was
violated, and keeps the logs in that case.

Examples:
  python -m chivepond.soak.gateways --seed 1 --seconds 10
  python -m chivepond.soak.gateways --seed 1 --seeds 50 --seconds 8
"""
_DEFAULT_SECONDS = 10
_MAX_SECONDS = 600
_DEFAULT_GATEWAYS = 3
_MAX_GATEWAYS = 40


def main(arguments: list[str]) -> int:
    """Run one soak per seed and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_number('seed', 1, 'the first seed')
    program.add_number('seeds', 1, 'number of seeds, run one after the other')
    program.add_number(
        'seconds',
        _DEFAULT_SECONDS,
        f'duration per seed, at most {_MAX_SECONDS}',
    )
    program.add_number(
        'gateways',
        _DEFAULT_GATEWAYS,
        f'number of gateways, at most {_MAX_GATEWAYS}',
    )
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    flags = program.flags
    seconds = min(flags.seconds, _MAX_SECONDS)
    gateways = min(flags.gateways, _MAX_GATEWAYS)
    failed_seeds = [
        seed
        for seed in range(flags.seed, flags.seed + flags.seeds)
        if asyncio.run(_run_seed(seed, seconds, gateways))
    ]
    if failed_seeds:
        console.print_line(f'seeds with violations: {failed_seeds}')
        return exit_code.ExitCode.FAILED
    return exit_code.ExitCode.OK


async def _run_seed(seed: int, seconds: int, gateways: int) -> int:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    async with gateway_soak.GatewaySoak(seed, folder, gateways) as soak_run:
        await soak_run.run(seconds)
    checks = soak_run.checks
    status_counts = ', '.join(
        f'{status}: {count}'
        for status, count in sorted(checks.statuses.items())
    )
    console.print_line(
        f'seed {seed}: {status_counts}; {len(checks.violations)} violations'
    )
    for violation in checks.violations:
        console.print_line(
            f'violation at {violation.at_s:.2f} s: '
            f'{violation.guarantee}: {violation.observed}'
        )
    if checks.violations:
        console.print_line(f'logs kept in {folder}')
    else:
        _remove(folder)
    return len(checks.violations)


def _remove(folder: pathlib.Path) -> None:
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()


if __name__ == '__main__':
    sys.exit(main(sys.argv))
