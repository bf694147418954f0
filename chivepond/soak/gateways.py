"""Runs the soak of processes: python -m chivepond.soak.gateways --seed 1."""

import asyncio
import pathlib
import sys
import tempfile

from chivepond.soak import gateway_soak
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond.soak.gateways: random faults against real gateways.

Gateways run as processes; faults come from outside: proxies on loopback that
delay, silence and reset, signals, a store that misbehaves, searchers of all
moods. What callers and searchers see is checked. Exits with 1 when a promise
was broken; the logs are kept then.

Examples:
  python -m chivepond.soak.gateways --seed 1 --seconds 10
  python -m chivepond.soak.gateways --seed 1 --seeds 50 --seconds 8
"""
_SECONDS = 10
_MOST_SECONDS = 600
_GATEWAYS = 3
_MOST_GATEWAYS = 40


def main(arguments: list[str]) -> int:
    """Return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.number('seed', 1, 'the first seed')
    program.number('seeds', 1, 'how many seeds, one after the other')
    program.number('seconds', _SECONDS, f'each, at most {_MOST_SECONDS}')
    program.number('gateways', _GATEWAYS, f'at most {_MOST_GATEWAYS}')
    ended = program.begin(arguments)
    if ended is not None:
        return ended
    told = program.flags
    seconds = min(told.seconds, _MOST_SECONDS)
    gateways = min(told.gateways, _MOST_GATEWAYS)
    broken = [
        seed
        for seed in range(told.seed, told.seed + told.seeds)
        if asyncio.run(_play(seed, seconds, gateways))
    ]
    if broken:
        console.say(f'seeds that broke a promise: {broken}')
        return exit_code.ExitCode.FAILED
    return exit_code.ExitCode.OK


async def _play(seed: int, seconds: int, gateways: int) -> int:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    async with gateway_soak.GatewaySoak(seed, folder, gateways) as played:
        await played.run(seconds)
    checks = played.checks
    counted = ', '.join(
        f'{status}: {count}'
        for status, count in sorted(checks.statuses.items())
    )
    console.say(f'seed {seed}: {counted}; {len(checks.violations)} broken')
    for one in checks.violations:
        console.say(f'broken at {one.at_s:.2f} s: {one.promise}: {one.seen}')
    if checks.violations:
        console.say(f'logs: {folder}')
    else:
        _remove(folder)
    return len(checks.violations)


def _remove(folder: pathlib.Path) -> None:
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()


if __name__ == '__main__':
    sys.exit(main(sys.argv))
