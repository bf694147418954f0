"""The explain command: explains one request, or a run, from log files."""

import pathlib

from chivepond.errors import invalid, not_found
from chivepond.observe import request_log, run_summary
from chivepond.tools import console, exit_code, program_flags

_HIDDEN_FIELDS = frozenset(('level', 'request'))


async def explain(program: program_flags.ProgramFlags) -> int:
    """Print the log lines that explain a request, or a summary of the logs.

    Reads the files in ``--file``, separated by commas.
    """
    flags = program.flags
    if not flags.file or not (flags.request or flags.summary):
        return console.print_error(
            invalid.Invalid(
                message='--file is required, with --request or --summary',
                remedy='use --file LOG[,LOG...] and --request ID or --summary',
            ),
        )
    try:
        lines = _read_logs(flags.file.split(','))
    except OSError as error:
        return console.print_error(
            invalid.Invalid(
                message=f'could not read a log file: {error}',
                remedy='name existing files that you have permission to read',
            ),
        )
    log_lines = request_log.read(lines)
    if flags.summary:
        _print_summary(run_summary.of(log_lines))
        return exit_code.ExitCode.OK
    related_lines = request_log.related_lines(log_lines, flags.request)
    if not related_lines:
        return console.print_error(
            not_found.NotFound(
                message=f'no line tells of request {flags.request}',
                remedy='name the logs of all gateways; ordinary successes are '
                'sampled, and left_out_before counts the omitted lines',
            ),
        )
    for line in related_lines:
        console.print_line(_format_line(line))
    return exit_code.ExitCode.OK


def _print_summary(summary: run_summary.Summary) -> None:
    total = sum(loss.answers for loss in summary.losses)
    console.print_line(f'answers lost: {total:.1f}, by cause')
    for loss in summary.losses:
        console.print_line(
            f'{loss.answers:8.1f}  of {loss.requests} requests  {loss.cause}',
        )
    console.print_line('the two-second windows with the most lost answers')
    for window in summary.windows:
        changes = ', '.join(window.state_changes) or 'nothing'
        console.print_line(
            f'{window.answers:8.1f}  from {window.start}  '
            f'{window.worst_cause}; noted: {changes}',
        )
    console.print_line(f'lines left out of the logs: {summary.left_out}')


def _read_logs(paths: list[str]) -> list[str]:
    return [
        line
        for path in paths
        for line in pathlib.Path(path).read_text(errors='replace').splitlines()
    ]


def _format_line(line: request_log.Line) -> str:
    timestamp = line.at.strftime('%H:%M:%S.%f')[:-3]
    pairs = ' '.join(
        f'{name}={field}'
        for name, field in line.fields.items()
        if name not in _HIDDEN_FIELDS and field not in (None, '', [], {})
    )
    return f'{timestamp} {line.number} {line.text}: {pairs}'
