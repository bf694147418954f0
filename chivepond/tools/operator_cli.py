"""chivepond: the command-line client for callers and operators."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from chivepond.errors import invalid
from chivepond.observe import journal
from chivepond.tools import (
    burn_commands,
    config_commands,
    console,
    demo,
    explain_commands,
    program_flags,
    request_commands,
    status_commands,
)

_USAGE = """chivepond: queries nodes and edits the configuration.

Examples:
  chivepond demo
  chivepond search --callers 127.0.0.1:8101 --service pass-lookup --query Rai
  chivepond command --callers 127.0.0.1:8101 --service permit-desk \\
      --shard_key member-7 --body 'stamp permit 7'
  chivepond config get --operators 127.0.0.1:8301 --section search
  chivepond config check --section search --file search.yaml
  chivepond config apply --operators 127.0.0.1:8301 --section search \\
      --file search.yaml --base_edits 3
  chivepond config defaults
  chivepond events
  chivepond status --operators 127.0.0.1:8301
  chivepond burn --operators 127.0.0.1:8301,127.0.0.1:8302 --plot burn.png
  chivepond explain --request 9c41d07be2a35f68 --file gate-1.log,gate-2.log
  chivepond explain --summary --file gate-1.log,gate-2.log

Exit codes: 0 success, 1 failed, 2 usage error, 3 not run, 4 outcome unknown,
5 unreachable.
"""

_Command = Callable[[program_flags.ProgramFlags], Awaitable[int]]


async def _demo(program: program_flags.ProgramFlags) -> int:
    with journal.Journal('WARNING', 'text'):
        return await demo.run()


_command_by_name: dict[tuple[str, ...], _Command] = {
    ('demo',): _demo,
    ('search',): request_commands.search,
    ('command',): request_commands.command,
    ('config', 'get'): config_commands.show,
    ('config', 'check'): config_commands.check,
    ('config', 'apply'): config_commands.apply,
    ('config', 'defaults'): config_commands.defaults_table,
    ('events',): status_commands.events_table,
    ('explain',): explain_commands.explain,
    ('burn',): burn_commands.report,
    ('status',): status_commands.status,
}


def run() -> None:
    """Run the program and exit with its exit code."""
    sys.exit(main(sys.argv))


def main(arguments: list[str]) -> int:
    """Parse the command line, run the command and return the exit code."""
    program = _define_flags()
    early_exit = program.parse_or_exit_code(arguments)
    if early_exit is not None:
        return early_exit
    token = program.read_token('token_file')
    if token.is_err():
        return console.print_error(token.unwrap_err())
    command = _command_by_name.get(tuple(program.positional))
    if command is None:
        return console.print_error(_unknown_command_error(program.positional))
    return asyncio.run(command(program))


def _define_flags() -> program_flags.ProgramFlags:
    program = program_flags.ProgramFlags(_USAGE)
    program.add_switch('json', 'write JSON instead of text')
    program.add_text(
        'callers', '127.0.0.1:8101', 'ip:port on which a node serves callers'
    )
    program.add_text(
        'operators',
        '127.0.0.1:8301',
        'ip:port on which a node serves operators; burn accepts several, '
        'separated by commas',
    )
    program.add_text(
        'token_file',
        '',
        "the file with the operators' token, if the node requires one",
    )
    program.add_text('plot', '', 'burn: also draw the report into this file')
    program.add_text('service', '', 'the service to send the request to')
    program.add_text('query', '', 'the text to search for')
    program.add_number('limit', 10, 'the maximum number of hits')
    program.add_text('cursor', '', 'the cursor from the previous response')
    program.add_text('caller', 'command-line', 'the name of the caller')
    program.add_number(
        'deadline_ms', 0, "milliseconds; 0 uses the service's own"
    )
    program.add_text('key', '', 'the request key; generated when empty')
    program.add_text(
        'shard_key', '', 'the key that selects the shard of a command'
    )
    program.add_text('body', '', 'the body of a command')
    program.add_text('section', '', 'the section: search, capacity or audit')
    program.add_text('request', '', 'explain: the id of the request')
    program.add_switch('summary', 'explain: summarize all requests in the logs')
    program.add_text(
        'file', '', 'the YAML file of a section, or the log files to explain'
    )
    program.add_number(
        'base_edits', 0, 'the edit count of the section that was edited'
    )
    return program


def _unknown_command_error(words: list[str]) -> invalid.Invalid:
    command = ' '.join(words)
    return invalid.Invalid(
        message=f'unknown command {command!r}',
        remedy='see chivepond --help for the commands',
    )
