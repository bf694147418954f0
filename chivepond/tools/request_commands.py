"""The commands that send requests as a caller does."""

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
    """Search, and write the answer."""
    told = program.flags
    answer = await node_client.post(
        search_answer.SearchAnswer,
        told.callers,
        '/v1/search',
        search_request.SearchRequest(
            service=told.service,
            query=told.query,
            caller=told.caller,
            limit=told.limit,
            deadline_ms=told.deadline_ms,
            cursor=told.cursor,
        ),
    )
    match answer:
        case result.Ok(given):
            _show_search(given, is_json=told.json)
            return exit_code.ExitCode.OK
    return console.complain(answer.unwrap_err())


async def command(program: program_flags.ProgramFlags) -> int:
    """Send a non-idempotent request, and write its outcome."""
    told = program.flags
    key = told.key or _fresh_key()
    answer = await node_client.post(
        command_answer.CommandAnswer,
        told.callers,
        '/v1/commands',
        command_request.CommandRequest(
            service=told.service,
            key=key,
            shard_key=told.shard_key,
            body=told.body,
            caller=told.caller,
            deadline_ms=told.deadline_ms,
        ),
    )
    match answer:
        case result.Ok(given) if told.json:
            console.say_json(given)
            return exit_code.ExitCode.OK
        case result.Ok(given):
            replayed = ' (an earlier run)' if given.replayed else ''
            console.say(f'{key}: {given.outcome}{replayed} {given.result}')
            return exit_code.ExitCode.OK
    console.say(f'key: {key}')
    return console.complain(answer.unwrap_err())


def _fresh_key() -> str:
    issued_ms = int(time.time() * _MS_PER_S)
    return f'{issued_ms}-{secrets.token_urlsafe(_KEY_BYTES)}'


def _show_search(given: search_answer.SearchAnswer, *, is_json: bool) -> None:
    if is_json:
        console.say_json(given)
        return
    covered = given.coverage
    console.say(
        f'{given.snapshot.index}@{given.snapshot.version}:'
        f' {covered.covered} of {covered.total} shards searched',
    )
    for lost in covered.missing:
        console.say(f'not searched: {lost.shard} ({lost.reason})')
    for hit in given.hits:
        console.say(f'{hit.score:8.1f}  {hit.record_id}  {hit.body}')
    if given.cursor:
        console.say(f'more: --cursor {given.cursor}')
