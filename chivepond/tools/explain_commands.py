"""The command that explains one request from the logs."""

import pathlib

from chivepond.errors import invalid, not_found
from chivepond.observe import request_story
from chivepond.tools import console, exit_code, program_flags

_LEFT_OUT = frozenset(('level', 'request'))


async def explain(program: program_flags.ProgramFlags) -> int:
    """Write what the logs say of a request, in order."""
    told = program.flags
    if not told.request or not told.file:
        return console.complain(
            invalid.Invalid(
                message='a request and its logs are needed',
                remedy='name --request ID and --file LOG[,LOG...]',
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
    found = request_story.story(request_story.read(lines), told.request)
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
