"""The commands that explain one request, or a run, from the logs."""

import pathlib

from chivepond.errors import invalid, not_found
from chivepond.observe import request_story, run_summary
from chivepond.tools import console, exit_code, program_flags

_LEFT_OUT = frozenset(('level', 'request'))


async def explain(program: program_flags.ProgramFlags) -> int:
    """Write what the logs say of a request, or of all of them."""
    told = program.flags
    if not told.file or not (told.request or told.summary):
        return console.complain(
            invalid.Invalid(
                message='logs are needed, and a request or --summary',
                remedy='name --file LOG[,LOG...] and --request ID',
            ),
        )
    try:
        lines = _read(told.file.split(','))
    except OSError as error:
        return console.complain(
            invalid.Invalid(
                message=f'a log could not be read: {error}',
                remedy='name files that exist and may be read',
            ),
        )
    read = request_story.read(lines)
    if told.summary:
        _say_summary(run_summary.of(read))
        return exit_code.ExitCode.OK
    found = request_story.story(read, told.request)
    if not found:
        return console.complain(
            not_found.NotFound(
                message=f'no line tells of request {told.request}',
                remedy='name the logs of all gateways; ordinary successes are '
                'sampled, and left_out_before counts what was left out',
            ),
        )
    for line in found:
        console.say(_shown(line))
    return exit_code.ExitCode.OK


def _say_summary(summary: run_summary.Summary) -> None:
    total = sum(loss.answers for loss in summary.losses)
    console.say(f'answers lost: {total:.1f}, by cause')
    for loss in summary.losses:
        console.say(
            f'{loss.answers:8.1f}  of {loss.requests} requests  {loss.cause}',
        )
    console.say('the worst windows of two seconds')
    for window in summary.windows:
        noted = ', '.join(window.beliefs) or 'nothing'
        console.say(
            f'{window.answers:8.1f}  from {window.began}  '
            f'{window.worst_cause}; noted: {noted}',
        )
    console.say(f'lines left out of the logs: {summary.left_out}')


def _read(names: list[str]) -> list[str]:
    return [
        line
        for name in names
        for line in pathlib.Path(name).read_text(errors='replace').splitlines()
    ]


def _shown(line: request_story.Line) -> str:
    stamp = line.at.strftime('%H:%M:%S.%f')[:-3]
    pairs = ' '.join(
        f'{name}={said}'
        for name, said in line.told.items()
        if name not in _LEFT_OUT and said not in (None, '', [], {})
    )
    return f'{stamp} {line.number} {line.text}: {pairs}'
