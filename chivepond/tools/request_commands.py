"""The search and command commands: send requests as a caller."""

import secrets
import time

import result

from chivepond.tools import console, exit_code, node_client, program_flags
from chivepond.wire import (
    command_answer,
    command_request,
    search_answer,
    search_request,
)

_MS_PER_S = 1000
_KEY_BYTES = 9


async def search(program: program_flags.ProgramFlags) -> int:
    """Send a search and print the response."""
    flags = program.flags
    response = await node_client.post(
        search_answer.SearchAnswer,
        flags.callers,
        '/v1/search',
        search_request.SearchRequest(
            service=flags.service,
            query=flags.query,
            caller=flags.caller,
            limit=flags.limit,
            deadline_ms=flags.deadline_ms,
            cursor=flags.cursor,
        ),
    )
    match response:
        case result.Ok(answer):
            _show_search(answer, is_json=flags.json)
            return exit_code.ExitCode.OK
    return console.print_error(response.unwrap_err())


async def command(program: program_flags.ProgramFlags) -> int:
    """Send a non-idempotent command and print its outcome.

    Prints the key after a failure, so that the command can be repeated.
    """
    flags = program.flags
    key = flags.key or _new_key()
    response = await node_client.post(
        command_answer.CommandAnswer,
        flags.callers,
        '/v1/commands',
        command_request.CommandRequest(
            service=flags.service,
            key=key,
            shard_key=flags.shard_key,
            body=flags.body,
            caller=flags.caller,
            deadline_ms=flags.deadline_ms,
        ),
    )
    match response:
        case result.Ok(answer) if flags.json:
            console.print_json(answer)
            return exit_code.ExitCode.OK
        case result.Ok(answer):
            replayed = (
                ' (replayed from an earlier run)' if answer.replayed else ''
            )
            console.print_line(
                f'{key}: {answer.outcome}{replayed} {answer.result}'
            )
            return exit_code.ExitCode.OK
    console.print_line(f'key: {key}')
    return console.print_error(response.unwrap_err())


def _new_key() -> str:
    issued_ms = int(time.time() * _MS_PER_S)
    return f'{issued_ms}-{secrets.token_urlsafe(_KEY_BYTES)}'


def _show_search(answer: search_answer.SearchAnswer, *, is_json: bool) -> None:
    if is_json:
        console.print_json(answer)
        return
    coverage = answer.coverage
    console.print_line(
        f'{answer.snapshot.index}@{answer.snapshot.version}:'
        f' {coverage.covered} of {coverage.total} shards searched',
    )
    for missing in coverage.missing:
        console.print_line(f'not searched: {missing.shard} ({missing.reason})')
    for hit in answer.hits:
        console.print_line(f'{hit.score:8.1f}  {hit.record_id}  {hit.body}')
    if answer.cursor:
        console.print_line(f'more: --cursor {answer.cursor}')
