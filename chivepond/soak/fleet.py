"""Command line of the fleet soak: python -m chivepond.soak.fleet."""

import asyncio
import pathlib
import sys
import tempfile

from chivepond.soak import fleet_plan, fleet_soak
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond.soak.fleet: many gateways against the hedge budget.

All gateways start at once, with links of two widths. Then they are restarted
in series, paused and cut off from the store, and searchers move. Nearly every
request wants a second send. Exits with 1 when a service gets more second sends
in a window than its budget allows, and keeps the logs in that case.

Examples:
  python -m chivepond.soak.fleet --seed 1 --seconds 40 --gateways 72
  python -m chivepond.soak.fleet --seed 81 --seconds 35 --gateways 4
"""
_PERCENT = 100
_MS_PER_S = 1000
_MAX_GATEWAYS = 80


def main(arguments: list[str]) -> int:
    """Run one soak per seed and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_number('seed', 1, 'the first seed')
    program.add_number('seeds', 1, 'number of seeds, run one after the other')
    program.add_number('seconds', 35, 'duration of the traffic per seed')
    program.add_number(
        'gateways', 12, f'number of gateways, at most {_MAX_GATEWAYS}'
    )
    program.add_number('gap_ms', 1000, 'pause between restarts; 0 for none')
    program.add_number(
        'share', _PERCENT, 'gateways hit by a restart, in percent'
    )
    program.add_number('move_ms', 0, 'pause between moves of services; 0: none')
    program.add_switch('wide', 'restart only gateways with wide links')
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    flags = program.flags
    plan = fleet_plan.FleetPlan(
        gateways=min(flags.gateways, _MAX_GATEWAYS),
        restart_gap_s=flags.gap_ms / _MS_PER_S,
        restarted_share=flags.share / _PERCENT,
        restarts_wide_only=flags.wide,
        move_gap_s=flags.move_ms / _MS_PER_S,
    )
    failed_seeds = [
        seed
        for seed in range(flags.seed, flags.seed + flags.seeds)
        if asyncio.run(_run_seed(seed, flags.seconds, plan))
    ]
    if failed_seeds:
        console.print_line(f'seeds over the budget: {failed_seeds}')
        return exit_code.ExitCode.FAILED
    return exit_code.ExitCode.OK


async def _run_seed(
    seed: int, seconds: int, plan: fleet_plan.FleetPlan
) -> bool:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'fleet-{seed}-'))
    async with fleet_soak.FleetSoak(seed, folder, plan) as soak_run:
        await soak_run.run(seconds)
    reports = soak_run.report()
    console.print_line(
        f'seed {seed}: statuses {dict(soak_run.statuses)}, '
        f'{soak_run.restarts} restarts'
    )
    for report in reports:
        console.print_line(str(report))
    is_exceeded = any(report.worst_window.used_share > 1 for report in reports)
    if is_exceeded:
        console.print_line(f'logs kept in {folder}')
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return is_exceeded


if __name__ == '__main__':
    sys.exit(main(sys.argv))
