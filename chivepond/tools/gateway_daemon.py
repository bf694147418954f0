"""chivepond-gateway: runs one gateway until a signal stops it."""

import asyncio
import gc
import pathlib
import signal
import sys

import result
import uvloop

from chivepond.gateway import gateway, settings_watch
from chivepond.observe import bounded_output, journal
from chivepond.settings import gateway_settings, loader
from chivepond.tools import console, exit_code, program_flags

_USAGE = """chivepond-gateway: runs one gateway in front of the searchers.

Examples:
  chivepond-gateway --settings gateway.yaml
  chivepond-gateway --settings gateway.yaml --check

The first SIGTERM or SIGINT lets running requests finish, then stops the
gateway; the second one stops it immediately. SIGHUP reloads the settings; a
change of the file is also detected without a signal.
"""


def run() -> None:
    """Run the program and exit with its exit code."""
    sys.exit(main(sys.argv))


def main(arguments: list[str]) -> int:
    """Parse the command line, run the gateway and return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.add_text('settings', '', 'the YAML file with the settings')
    program.add_switch('check', 'validate the settings and exit')
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    path = pathlib.Path(program.flags.settings)
    match loader.load(gateway_settings.GatewaySettings, path):
        case result.Ok(settings):
            if program.flags.check:
                console.print_line('the settings are valid')
                return exit_code.ExitCode.OK
            return _start(settings, path)
        case failed:
            return console.print_error(failed.unwrap_err())


def _start(
    settings: gateway_settings.GatewaySettings,
    path: pathlib.Path,
) -> int:
    output = bounded_output.BoundedOutput(sys.stdout.fileno())
    with journal.Journal(settings.log_level, 'json', output):
        code = uvloop.run(_serve(settings, path))
    output.drain()
    return code


async def _serve(
    settings: gateway_settings.GatewaySettings,
    path: pathlib.Path,
) -> int:
    stopping = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _on_signal, stopping)
    async with gateway.Gateway(settings) as running:
        watch = settings_watch.SettingsWatch(
            path, settings, running, reload_requested
        )
        loop.set_exception_handler(running.report_fault)
        watch_task = asyncio.create_task(watch.run())
        gc.freeze()
        gc.enable()
        await stopping.wait()
        await running.stop()
        watch_task.cancel()
    return exit_code.ExitCode.OK


def _on_signal(stopping: asyncio.Event) -> None:
    if stopping.is_set():
        sys.exit(exit_code.ExitCode.FAILED)
    stopping.set()
