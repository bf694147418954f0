"""chivepond-load: measures variants of the query tier under load."""

import contextlib
import cProfile
import pathlib
import sys

import result

from chivepond.errors import invalid
from chivepond.load import checked_experiment, profile, runner
from chivepond.observe import journal
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond-load: measures variants of the query tier under load.

Examples:
  chivepond-load --short experiments/stragglers.yaml
  chivepond-load --check experiments/*.yaml
  chivepond-load --profile --short experiments/plain.yaml
  chivepond-load --callers 127.0.0.1:8001,127.0.0.1:8002 --pids 71,72 FILE

Each file describes one experiment. Its variants run in turn, several times,
against a deployment in this process or, with --callers, against nodes that
are already running. Load is sent to loopback addresses only. Reports are
written as Markdown, JSON and a plot.
"""

_Experiments = list[checked_experiment.CheckedExperiment]


def run() -> None:
    """Run the program and exit with its exit code."""
    sys.exit(main(sys.argv))


def main(arguments: list[str]) -> int:
    """Parse the command line, run the experiments and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_switch('short', 'run the short form of each experiment')
    program.add_switch('check', 'validate the experiment files and exit')
    program.add_switch('profile', 'write a CPU profile beside each report')
    program.add_text(
        'callers', '', 'ip:port of running entry hosts, separated by commas'
    )
    program.add_text(
        'pids', '', 'further process ids to measure, separated by commas'
    )
    program.add_text('out', 'reports', 'the folder to write reports to')
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    loaded = _load(program)
    if loaded.is_err():
        return console.print_error(loaded.unwrap_err())
    if program.flags.check:
        console.print_line('the experiment files are valid')
        return exit_code.ExitCode.OK
    with journal.Journal('CRITICAL', 'text'):
        return _measure(program, loaded.unwrap())


def _load(
    program: program_flags.ProgramFlags,
) -> result.Result[_Experiments, invalid.Invalid]:
    flags = program.flags
    are_pids_numeric = all(pid.isdecimal() for pid in _split_commas(flags.pids))
    if not program.positional or not are_pids_numeric:
        return result.Err(
            invalid.Invalid(
                message='no experiment file is named, or --pids is not numeric',
                remedy='name at least one file, such as experiments/plain.yaml',
            ),
        )
    checked = []
    for path in program.positional:
        loaded = checked_experiment.CheckedExperiment.load(
            pathlib.Path(path),
            _split_commas(flags.callers),
            is_short=flags.short,
        )
        if loaded.is_err():
            return loaded
        checked.append(loaded.unwrap())
    return result.Ok(checked)


def _measure(
    program: program_flags.ProgramFlags,
    experiments: _Experiments,
) -> int:
    short_flag = '--short ' if program.flags.short else ''
    for path, checked in zip(program.positional, experiments, strict=True):
        _measure_one(program, checked, f'chivepond-load {short_flag}{path}')
    console.print_line(f'reports written to {program.flags.out}')
    return exit_code.ExitCode.OK


def _measure_one(
    program: program_flags.ProgramFlags,
    checked: checked_experiment.CheckedExperiment,
    command: str,
) -> None:
    flags = program.flags
    folder = pathlib.Path(flags.out)
    pids = [int(pid) for pid in _split_commas(flags.pids)]
    console.print_line(
        f'{checked.experiment.name}: {checked.experiment.question}'
    )
    profiler = cProfile.Profile()
    with profiler if flags.profile else contextlib.nullcontext():
        finished_report = runner.Runner(command, pids, console.print_line).run(
            checked
        )
    runner.write(finished_report, folder)
    if flags.profile:
        profile.write(
            profiler, folder / f'{checked.experiment.name}-profile.txt'
        )


def _split_commas(text: str) -> list[str]:
    return [word for word in text.split(',') if word]
