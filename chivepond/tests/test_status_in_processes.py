"""Status and views in real processes: stopped, killed, unlisted."""

import asyncio
import pathlib
import signal
from collections.abc import Callable

import msgspec
import result

from chivepond.observe import events
from chivepond.standins import deployment_plan, platform_faults, service_plan
from chivepond.tests import support
from chivepond.transport import client, exchange
from chivepond.wire import (
    data_centre_status,
    deployment_status,
    edit_result,
    section_edit,
    stored_object,
)

_TRIES = 300
_POLL_S = 0.1
_WHERE = 'dc-a'
_Shown = deployment_status.DeploymentStatus
_PLAN = deployment_plan.DeploymentPlan(
    services=[service_plan.ServicePlan(name='desk', index='i', groups=1)],
    node={'heartbeat_ms': 150, 'remove_after_ms': 1200},
)


class _Watcher:
    """Follows the status object, which must never jump back."""

    def __init__(self, deployed: support.Processes) -> None:
        """Read it on the platform itself."""
        self._platform = deployed.platform
        self._last: float = 0

    async def until(
        self,
        is_seen: Callable[[data_centre_status.DataCentreStatus], bool],
    ) -> data_centre_status.DataCentreStatus:
        """Return the first status for which that is so."""
        for _ in range(_TRIES):
            told = await self._read()
            if told is not None and is_seen(told):
                return told
            await asyncio.sleep(_POLL_S)
        raise AssertionError(f'not seen in {told}')

    async def _read(self) -> data_centre_status.DataCentreStatus | None:
        found = await exchange.get(
            stored_object.StoredObject,
            self._platform,
            f'/v1/objects/status/{_WHERE}',
            support.TIMEOUT_S,
        )
        if found.is_err():
            return None
        told = msgspec.json.decode(
            found.unwrap().body, type=data_centre_status.DataCentreStatus
        )
        assert told.written_at >= self._last
        self._last = told.written_at
        return told


async def _shown(operators: client.Client) -> _Shown:
    path = '/v1/deployment'
    return (await exchange.get(_Shown, operators, path, 5)).unwrap()


async def _edit(operators: client.Client) -> int:
    body = msgspec.Raw(b'{"claim_retention_s":777}')
    edit = section_edit.SectionEdit('audit', 1, body)
    applied = await exchange.post(
        edit_result.EditResult, operators, '/v1/config', edit, 5
    )
    return applied.unwrap().revision


def test_accepted_revision_and_status_outlast_their_nodes(
    tmp_path: pathlib.Path,
) -> None:
    """Neither a suspended nor a killed writer reverts or ends anything.

    Operators see an old revision come back, or the status of a node that
    was thought dead over that of its successor; or nothing more of a data
    centre whose writer died, nor of a node that the platform's list lacks.
    The writer is stopped, a revision is accepted without it, and it goes
    on; a node starts unlisted; the writer is killed; the platform goes away.
    """
    support.run(_outlast(tmp_path))


async def _outlast(folder: pathlib.Path) -> None:
    async with support.Processes(_PLAN, folder) as deployed:
        watcher = _Watcher(deployed)
        await _suspend_writer(deployed, watcher)
        await deployed.start_node('dc-a-9', _WHERE)
        grown = await watcher.until(lambda one: one.nodes == 4)
        await deployed.node_by_id[grown.written_by].stop(signal.SIGKILL)
        left = await watcher.until(lambda one: one.nodes == 3)
        assert left.written_by != grown.written_by
        async with deployed.operator_client(left.written_by) as operators:
            assert not (await _shown(operators)).trouble
            await _fail_platform(deployed)
            away = await _shown(operators)
        assert away.trouble
        assert away.read_age_s is not None
        assert [one.status.data_centre for one in away.data_centres] == [_WHERE]


async def _suspend_writer(
    deployed: support.Processes,
    watcher: _Watcher,
) -> None:
    told = await watcher.until(lambda one: one.nodes == 3 and not one.silent)
    assert told.searchers_by_state
    stopped = deployed.node_by_id[told.written_by]
    stopped.process.send_signal(signal.SIGSTOP)
    other = next(one for one in deployed.node_by_id if one != told.written_by)
    async with deployed.operator_client(other) as operators:
        revision = await _edit(operators)
    taken = await watcher.until(
        lambda one: one.nodes_by_revision == {revision: 2}
    )
    assert taken.written_by != told.written_by
    stopped.process.send_signal(signal.SIGCONT)
    await watcher.until(lambda one: one.nodes_by_revision == {revision: 3})
    in_force = _in_force(stopped)
    assert in_force == sorted(set(in_force))
    assert in_force[-1] == revision


def _in_force(node: support.Program) -> list[int]:
    """Return the revisions that a node has put in force, in order."""
    lines = [msgspec.json.decode(line) for line in node.lines]
    return [
        one['revision']
        for one in lines
        if one['event'] == events.CONFIGURATION_IN_FORCE.number
    ]


async def _fail_platform(deployed: support.Processes) -> None:
    faults = msgspec.json.encode(platform_faults.PlatformFaults(down=True))
    answer = await deployed.platform.post('/standin/faults', faults, 5)
    assert isinstance(answer, result.Ok)
