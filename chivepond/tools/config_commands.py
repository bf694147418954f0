"""The commands that read and edit the deployment's document."""

import asyncio
import pathlib

import msgspec
import result

from chivepond.control import draft_check
from chivepond.errors import invalid, problem, quoting
from chivepond.settings import defaults, loader
from chivepond.tools import console, exit_code, node_client, program_flags
from chivepond.wire import (
    codec,
    edit_result,
    node_status,
    section_edit,
    section_refusal,
    section_view,
)

_WAIT_S = 8
_POLL_S = 0.2


async def show(program: program_flags.ProgramFlags) -> int:
    """Write a section with the count of edits to base a new one on."""
    told = program.flags
    if told.section not in draft_check.KIND_BY_SECTION:
        return console.complain(_no_section(told.section))
    answer = await node_client.get(
        section_view.SectionView,
        told.operators,
        f'/v1/config/{told.section}',
        node_client.token_headers(program),
    )
    match answer:
        case result.Ok(seen) if told.json:
            console.say_json(seen)
            return exit_code.ExitCode.OK
        case result.Ok(seen):
            body = msgspec.json.decode(seen.body)
            console.say(f'# {seen.section}, --base_edits {seen.edits}')
            console.say(msgspec.yaml.encode(body).decode().rstrip())
            return exit_code.ExitCode.OK
    return console.complain(answer.unwrap_err())


async def check(program: program_flags.ProgramFlags) -> int:
    """Check a section in a file."""
    read = _load(program)
    if read.is_err():
        return console.complain(read.unwrap_err())
    console.say('the section is right')
    return exit_code.ExitCode.OK


async def apply(program: program_flags.ProgramFlags) -> int:
    """Put a section in force, and wait until the node has it."""
    read = _load(program)
    if read.is_err():
        return console.complain(read.unwrap_err())
    told = program.flags
    answer = await node_client.post(
        edit_result.EditResult,
        told.operators,
        '/v1/config',
        section_edit.SectionEdit(
            section=told.section,
            base_edits=told.base_edits,
            body=read.unwrap(),
        ),
        node_client.token_headers(program),
    )
    match answer:
        case result.Ok(edited):
            return await _wait_in_force(program, edited)
    return console.complain(answer.unwrap_err())


async def defaults_table(program: program_flags.ProgramFlags) -> int:
    """Write the table of all settings."""
    console.say(defaults.table())
    return exit_code.ExitCode.OK


def _load(
    program: program_flags.ProgramFlags,
) -> result.Result[msgspec.Raw, invalid.Invalid]:
    told = program.flags
    kind = draft_check.KIND_BY_SECTION.get(told.section)
    if kind is None:
        return result.Err(_no_section(told.section))
    return loader.load(kind, pathlib.Path(told.file)).map(codec.to_raw)


def _no_section(name: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'there is no section {quoting.quoted(name)}',
        remedy='say --section search, capacity or audit',
    )


async def _wait_in_force(
    program: program_flags.ProgramFlags,
    edited: edit_result.EditResult,
) -> int:
    for _ in range(int(_WAIT_S / _POLL_S)):
        status = await node_client.get(
            node_status.NodeStatus,
            program.flags.operators,
            '/v1/status',
            node_client.token_headers(program),
        )
        match status:
            case result.Ok(seen):
                code = _settled(seen, program.flags.section, edited)
                if code is not None:
                    return code
        await asyncio.sleep(_POLL_S)
    return console.complain(_slow(edited))


def _settled(
    seen: node_status.NodeStatus,
    section: str,
    edited: edit_result.EditResult,
) -> exit_code.ExitCode | None:
    """Say what became of an edit, and return the code, once it is judged."""
    refusal = _refusal(seen, section, edited)
    if refusal is not None:
        return console.complain(_refused(refusal))
    if seen.revision < edited.revision:
        return None
    console.say(f'revision {edited.revision} is in force')
    return exit_code.ExitCode.OK


def _refusal(
    seen: node_status.NodeStatus,
    section: str,
    edited: edit_result.EditResult,
) -> section_refusal.SectionRefusal | None:
    """Return the refusal of this very edit, if it was refused."""
    for one in seen.refusals:
        is_this = one.section == section and one.edits == edited.edits
        if is_this or (not one.section and one.revision >= edited.revision):
            return one
    return None


def _refused(refusal: section_refusal.SectionRefusal) -> problem.Problem:
    return invalid.Invalid(
        message=f'revision {refusal.revision}: {refusal.message}',
        remedy=f'{refusal.remedy}; the section before stays in force',
    )


def _slow(edited: edit_result.EditResult) -> problem.Problem:
    return problem.Problem(
        message=f'revision {edited.revision} is not in force after {_WAIT_S} s',
        remedy='see `chivepond status` on the nodes',
    )
