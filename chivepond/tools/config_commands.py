"""The config commands: read, check and apply configuration sections."""

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

_IN_FORCE_TIMEOUT_S = 8
_POLL_INTERVAL_S = 0.2


async def show(program: program_flags.ProgramFlags) -> int:
    """Print a section and the edit count that ``--base_edits`` expects."""
    flags = program.flags
    if flags.section not in draft_check.KIND_BY_SECTION:
        return console.print_error(_unknown_section_error(flags.section))
    response = await node_client.get(
        section_view.SectionView,
        flags.operators,
        f'/v1/config/{flags.section}',
        node_client.token_headers(program),
    )
    match response:
        case result.Ok(view) if flags.json:
            console.print_json(view)
            return exit_code.ExitCode.OK
        case result.Ok(view):
            body = msgspec.json.decode(view.body)
            console.print_line(f'# {view.section}, --base_edits {view.edits}')
            console.print_line(msgspec.yaml.encode(body).decode().rstrip())
            return exit_code.ExitCode.OK
    return console.print_error(response.unwrap_err())


async def check(program: program_flags.ProgramFlags) -> int:
    """Validate the section in ``--file`` without sending it."""
    section = _load_section(program)
    if section.is_err():
        return console.print_error(section.unwrap_err())
    console.print_line('the section is valid')
    return exit_code.ExitCode.OK


async def apply(program: program_flags.ProgramFlags) -> int:
    """Send a section to the node and wait until it is in force there.

    Waits at most 8 seconds and polls the status of the node.
    """
    section = _load_section(program)
    if section.is_err():
        return console.print_error(section.unwrap_err())
    flags = program.flags
    response = await node_client.post(
        edit_result.EditResult,
        flags.operators,
        '/v1/config',
        section_edit.SectionEdit(
            section=flags.section,
            base_edits=flags.base_edits,
            body=section.unwrap(),
        ),
        node_client.token_headers(program),
    )
    match response:
        case result.Ok(edit):
            return await _wait_until_in_force(program, edit)
    return console.print_error(response.unwrap_err())


async def defaults_table(program: program_flags.ProgramFlags) -> int:
    """Print the table of all settings with their defaults."""
    console.print_line(defaults.table())
    return exit_code.ExitCode.OK


def _load_section(
    program: program_flags.ProgramFlags,
) -> result.Result[msgspec.Raw, invalid.Invalid]:
    flags = program.flags
    section_type = draft_check.KIND_BY_SECTION.get(flags.section)
    if section_type is None:
        return result.Err(_unknown_section_error(flags.section))
    return loader.load(section_type, pathlib.Path(flags.file)).map(codec.to_raw)


def _unknown_section_error(name: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'unknown section {quoting.quoted(name)}',
        remedy='use --section search, capacity or audit',
    )


async def _wait_until_in_force(
    program: program_flags.ProgramFlags,
    edit: edit_result.EditResult,
) -> int:
    for _ in range(int(_IN_FORCE_TIMEOUT_S / _POLL_INTERVAL_S)):
        response = await node_client.get(
            node_status.NodeStatus,
            program.flags.operators,
            '/v1/status',
            node_client.token_headers(program),
        )
        match response:
            case result.Ok(status):
                exit_status = _exit_code_of_edit(
                    status, program.flags.section, edit
                )
                if exit_status is not None:
                    return exit_status
        await asyncio.sleep(_POLL_INTERVAL_S)
    return console.print_error(_not_in_force_error(edit))


def _exit_code_of_edit(
    status: node_status.NodeStatus,
    section: str,
    edit: edit_result.EditResult,
) -> exit_code.ExitCode | None:
    """Print the result of an edit and return the exit code.

    Returns None while the node has neither accepted nor refused the edit.
    """
    refusal = _find_refusal(status, section, edit)
    if refusal is not None:
        return console.print_error(_refusal_error(refusal))
    if status.revision < edit.revision:
        return None
    console.print_line(f'revision {edit.revision} is in force')
    return exit_code.ExitCode.OK


def _find_refusal(
    status: node_status.NodeStatus,
    section: str,
    edit: edit_result.EditResult,
) -> section_refusal.SectionRefusal | None:
    """Return the refusal of this edit or of the draft that holds it."""
    for refusal in status.refusals:
        is_for_edit = refusal.section == section and refusal.edits == edit.edits
        if is_for_edit or (
            not refusal.section and refusal.revision >= edit.revision
        ):
            return refusal
    return None


def _refusal_error(refusal: section_refusal.SectionRefusal) -> problem.Problem:
    return invalid.Invalid(
        message=f'revision {refusal.revision}: {refusal.message}',
        remedy=f'{refusal.remedy}; the previous section stays in force',
    )


def _not_in_force_error(edit: edit_result.EditResult) -> problem.Problem:
    return problem.Problem(
        message=f'revision {edit.revision} is not in force after'
        f' {_IN_FORCE_TIMEOUT_S} s',
        remedy='run `chivepond status` against the nodes',
    )
