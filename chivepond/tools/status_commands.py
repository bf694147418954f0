"""The commands that show how the system is."""

import result

from chivepond.observe import event_table
from chivepond.tools import console, exit_code, node_client, program_flags
from chivepond.wire import node_status


async def status(program: program_flags.ProgramFlags) -> int:
    """Write what a node says of itself."""
    told = program.flags
    answer = await node_client.get(
        node_status.NodeStatus,
        told.operators,
        '/v1/status',
        node_client.token_headers(program),
    )
    match answer:
        case result.Ok(seen) if told.json:
            console.say_json(seen)
            return exit_code.ExitCode.OK
        case result.Ok(seen):
            _show(seen)
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
    if seen.refused_revision:
        console.say(f'refused: {seen.refused_revision}')
        console.say(f'  {seen.refused_because}')
