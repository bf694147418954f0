"""The status and events commands."""

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
    """Print the status of a node and the one published by each data centre."""
    flags = program.flags
    response = await node_client.get(
        deployment_status.DeploymentStatus,
        flags.operators,
        '/v1/deployment',
        node_client.token_headers(program),
    )
    match response:
        case result.Ok(deployment) if flags.json:
            console.print_json(deployment)
            return exit_code.ExitCode.OK
        case result.Ok(deployment):
            _print_node(deployment.node)
            _print_data_centres(deployment)
            return exit_code.ExitCode.OK
    return console.print_error(response.unwrap_err())


async def events_table(program: program_flags.ProgramFlags) -> int:
    """Print the table of log events."""
    console.print_line(event_table.table())
    return exit_code.ExitCode.OK


def _print_node(node: node_status.NodeStatus) -> None:
    console.print_line(f'node {node.node_id} in {node.data_centre}')
    console.print_line(f'revision in force: {node.revision}')
    console.print_line(f'live nodes: {", ".join(node.live_nodes)}')
    console.print_line(f'searchers known: {node.searchers}')
    if node.waits_for:
        console.print_line(f'not ready: waiting for {node.waits_for}')
    _print_refusals(node.refusals)


def _print_data_centres(deployment: deployment_status.DeploymentStatus) -> None:
    if deployment.trouble:
        console.print_line(
            f'could not read from the platform: {deployment.trouble}'
        )
    if deployment.read_age_s is None:
        console.print_line('data centres: not read since this node started')
    elif deployment.trouble:
        console.print_line(
            f'data centres, as read {deployment.read_age_s:.0f} s ago:'
        )
    for data_centre in deployment.data_centres:
        _print_data_centre(data_centre)


def _print_data_centre(aged: aged_status.AgedStatus) -> None:
    summary = aged.status
    late_mark = ', LATE' if aged.is_late else ''
    console.print_line(
        f'data centre {summary.data_centre}, written {aged.age_s:.0f} s ago'
        f' by {summary.written_by}{late_mark}',
    )
    console.print_line(f'  nodes: {summary.nodes}, silent: {summary.silent}')
    for revision, count in summary.nodes_by_revision.items():
        console.print_line(f'  revision {revision} in force on: {count}')
    states = ', '.join(
        f'{count} {state}'
        for state, count in summary.searchers_by_state.items()
    )
    console.print_line(f'  searchers: {states or "none"}')
    _print_refusals(summary.refusals)


def _print_refusals(refusals: list[section_refusal.SectionRefusal]) -> None:
    for refusal in refusals:
        section = refusal.section or 'the draft'
        console.print_line(
            f'  refused at revision {refusal.revision}: {section}'
        )
        console.print_line(f'    {refusal.message}')
        console.print_line(f'    remedy: {refusal.remedy}')
