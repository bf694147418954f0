"""The commands that show how the system is."""

import result

from chivepond.observe import event_table
from chivepond.tools import console, exit_code, node_client, program_flags
from chivepond.wire import (
    aged_status,
    deployment_status,
    node_status,
    section_refusal,
)


async def status(program: program_flags.ProgramFlags) -> int:
    """Write what a node says of itself, and what each data centre wrote."""
    told = program.flags
    answer = await node_client.get(
        deployment_status.DeploymentStatus,
        told.operators,
        '/v1/deployment',
        node_client.token_headers(program),
    )
    match answer:
        case result.Ok(seen) if told.json:
            console.say_json(seen)
            return exit_code.ExitCode.OK
        case result.Ok(seen):
            _show(seen.node)
            _show_data_centres(seen)
            return exit_code.ExitCode.OK
    return console.complain(answer.unwrap_err())


async def events_table(program: program_flags.ProgramFlags) -> int:
    """Write the catalogue of log events."""
    console.say(event_table.table())
    return exit_code.ExitCode.OK


def _show(seen: node_status.NodeStatus) -> None:
    console.say(f'node {seen.node_id} in {seen.data_centre}')
    console.say(f'revision in force: {seen.revision}')
    console.say(f'live nodes: {", ".join(seen.live_nodes)}')
    console.say(f'searchers known: {seen.searchers}')
    if seen.waits_for:
        console.say(f'not ready, waits for {seen.waits_for}')
    _show_refusals(seen.refusals)


def _show_data_centres(seen: deployment_status.DeploymentStatus) -> None:
    if seen.trouble:
        console.say(f'the platform could not be read: {seen.trouble}')
    if seen.read_age_s is None:
        console.say('data centres: not read since this node started')
    elif seen.trouble:
        console.say(f'data centres, as read {seen.read_age_s:.0f} s ago:')
    for one in seen.data_centres:
        _show_data_centre(one)


def _show_data_centre(one: aged_status.AgedStatus) -> None:
    told = one.status
    late = ', LATE' if one.is_late else ''
    console.say(
        f'data centre {told.data_centre}, written {one.age_s:.0f} s ago'
        f' by {told.written_by}{late}',
    )
    console.say(f'  nodes: {told.nodes}, silent: {told.silent}')
    for revision, count in told.nodes_by_revision.items():
        console.say(f'  revision {revision} in force on: {count}')
    states = ', '.join(
        f'{count} {state}' for state, count in told.searchers_by_state.items()
    )
    console.say(f'  searchers: {states or "none"}')
    _show_refusals(told.refusals)


def _show_refusals(refusals: list[section_refusal.SectionRefusal]) -> None:
    for one in refusals:
        place = one.section or 'the draft'
        console.say(f'  refused at revision {one.revision}: {place}')
        console.say(f'    {one.message}')
        console.say(f'    remedy: {one.remedy}')
