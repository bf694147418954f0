"""chivepondd: runs one node until a signal stops it."""

import asyncio
import gc
import pathlib
import signal
import sys

import result
import uvloop

from chivepond import node
from chivepond.errors import invalid
from chivepond.observe import events, journal
from chivepond.settings import loader, node_settings
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepondd: runs one node of the query tier.

Examples:
  chivepondd --settings node.yaml
  chivepondd --settings node.yaml --check

The first SIGTERM or SIGINT lets running requests finish, then stops the
node; the second one stops it immediately.
"""


def run() -> None:
    """Run the program and exit with its exit code."""
    sys.exit(main(sys.argv))


def main(arguments: list[str]) -> int:
    """Parse the command line, run the node and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_text(
        'settings', '', 'the YAML file with the settings of the node'
    )
    program.add_switch('check', 'validate the settings and exit')
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    if program.positional:
        return console.print_error(
            _unexpected_arguments_error(program.positional)
        )
    loaded = loader.load(
        node_settings.NodeSettings,
        pathlib.Path(program.flags.settings),
    )
    match loaded:
        case result.Ok(settings):
            return _start(settings, is_check=program.flags.check)
        case _:
            return console.print_error(loaded.unwrap_err())


def _start(settings: node_settings.NodeSettings, *, is_check: bool) -> int:
    if is_check:
        console.print_line('the settings are valid')
        return exit_code.ExitCode.OK
    with journal.Journal(settings.log_level, settings.log_format):
        if settings.unsigned:
            journal.log(events.MESSAGES_UNSIGNED)
        try:
            return uvloop.run(_serve(settings))
        except OSError as error:
            return console.print_error(_listen_error(error))


def _unexpected_arguments_error(arguments: list[str]) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'{" ".join(arguments)!r} is not a flag',
        remedy='pass only flags; see chivepondd --help',
    )


def _listen_error(error: OSError) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'could not listen on an address in the settings: {error}',
        remedy='use addresses of this host with free ports',
    )


async def _serve(settings: node_settings.NodeSettings) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _on_signal, stopping)
    async with node.Node(settings):
        _freeze_heap()
        await stopping.wait()
    return exit_code.ExitCode.OK


def _freeze_heap() -> None:
    """Exclude the objects of the started node from garbage collection.

    Without this, each full collection walks all modules and components of
    the node, none of which ever becomes garbage, and pauses the event loop.
    The pauses show as latency that no searcher accounts for.
    """
    gc.collect()
    gc.freeze()


def _on_signal(stopping: asyncio.Event) -> None:
    if stopping.is_set():
        sys.exit(exit_code.ExitCode.FAILED)
    stopping.set()
