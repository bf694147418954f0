"""chivepond-standin: runs a stand-in platform or searcher."""

import asyncio
import pathlib
import signal
import sys
from typing import Any

import result
import uvloop

from chivepond.errors import invalid, quoting
from chivepond.settings import loader
from chivepond.standins import platform, searcher, searcher_profile
from chivepond.tools import console, exit_code, program_flags
from chivepond.transport import address

_USAGE = """chivepond-standin: runs a stand-in platform or searcher.

Examples:
  chivepond-standin platform --listen 127.0.0.1:8000
  chivepond-standin searcher --listen 127.0.0.1:0 --profile searcher.yaml

The first line of output is the address it listens on. Faults are set by
POST to /standin/faults; docs/PROTOCOLS.md lists them.
"""


def run() -> None:
    """Run the program and exit with its exit code."""
    sys.exit(main(sys.argv))


def main(arguments: list[str]) -> int:
    """Parse the command line, run the stand-in and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_text('listen', '127.0.0.1:0', 'ip:port to listen on')
    program.add_text('profile', '', 'searcher: the YAML file with its profile')
    program.add_text(
        'versions',
        '1',
        'searcher: the index versions it holds, with commas',
    )
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    checked = _check_arguments(program)
    if checked.is_err():
        return console.print_error(checked.unwrap_err())
    try:
        return uvloop.run(_serve(program))
    except OSError as error:
        return console.print_error(
            invalid.Invalid(
                message=f'could not listen on --listen: {error}',
                remedy='use an address of this host with a free port',
            ),
        )


def _check_arguments(
    program: program_flags.ProgramFlags,
) -> result.Result[address.Address, invalid.Invalid]:
    if program.positional not in (['platform'], ['searcher']):
        return result.Err(
            invalid.Invalid(
                message='expected one argument: platform or searcher',
                remedy='name platform or searcher before the flags',
            ),
        )
    return address.parse(program.flags.listen)


async def _serve(program: program_flags.ProgramFlags) -> int:
    created = _create_standin(program)
    if created.is_err():
        return console.print_error(created.unwrap_err())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with created.unwrap() as standin:
        console.print_line(str(standin.address))
        await stopping.wait()
    return exit_code.ExitCode.OK


def _create_standin(
    program: program_flags.ProgramFlags,
) -> result.Result[Any, invalid.Invalid]:
    listen = address.parse(program.flags.listen).unwrap()
    if program.positional == ['platform']:
        return result.Ok(platform.PlatformStandin(listen))
    versions = _parse_versions(program.flags.versions)
    if versions.is_err():
        return versions
    profile = loader.load(
        searcher_profile.SearcherProfile,
        pathlib.Path(program.flags.profile),
    )
    return profile.map(
        lambda loaded: searcher.SearcherStandin(
            loaded, listen, versions.unwrap()
        ),
    )


def _parse_versions(text: str) -> result.Result[list[int], invalid.Invalid]:
    try:
        return result.Ok([int(version) for version in text.split(',')])
    except ValueError:
        return result.Err(
            invalid.Invalid(
                message=f'--versions {quoting.quoted(text)} is not a list of'
                ' numbers',
                remedy='separate whole numbers by commas, such as 1,2',
            ),
        )
