"""Upstreams that leave, and nodes that are stopped with work in flight."""

import asyncio
import dataclasses
import pathlib
import signal
import time

from chivepond.standins import (
    deployment_plan,
    embedded,
    searcher_faults,
    service_plan,
)
from chivepond.tests import support
from chivepond.transport import client, exchange
from chivepond.wire import codec, command_answer, command_request, host_list

_SERVICE = 'pass-lookup'
_LONG_MS = 2500
_LEAVING_S = 2


def _plan(**profile: object) -> deployment_plan.DeploymentPlan:
    return deployment_plan.DeploymentPlan(
        services=[
            service_plan.ServicePlan(
                name=_SERVICE,
                index='passes',
                groups=2,
                search={'deadline_ms': 500},
                profile=profile,
            ),
        ],
        node={'balancer_lag_ms': 300, 'shutdown_grace_ms': 0},
    )


async def _command(to: client.Client, number: int) -> str:
    told = await exchange.post(
        command_answer.CommandAnswer,
        to,
        '/v1/commands',
        command_request.CommandRequest(
            _SERVICE,
            f'{int(time.time() * 1000)}-shutdown-{number}',
            f'member {number}',
            'stamp',
            'test',
            8000,
        ),
        support.TIMEOUT_S * 2,
    )
    return told.unwrap().outcome


def test_shutdown_lets_long_commands_end(tmp_path: pathlib.Path) -> None:
    """A node is replaced while stamps that take seconds are in flight.

    A grace shorter than the work would cut them, and nobody would know
    whether they ran. The node is told to stop while it is the entry of
    some and the owner of others; all must end as done.
    """
    support.run(_stop_under_commands(tmp_path))


async def _stop_under_commands(folder: pathlib.Path) -> None:
    async with support.Processes(_plan(), folder) as deployed:
        slow = searcher_faults.SearcherFaults(late_ms=_LONG_MS)
        for searcher_id in deployed.searcher_by_id:
            async with deployed.caller_client(searcher_id) as to:
                told = await to.post('/standin/faults', codec.encode(slow), 5)
                told.unwrap()
        node_ids = ('dc-a-0', 'dc-a-1')
        callers = [deployed.caller_client(one) for one in node_ids]
        asked = [
            asyncio.create_task(_command(callers[number % 2], number))
            for number in range(4)
        ]
        await asyncio.sleep(0.5)
        assert await deployed.node_by_id['dc-a-0'].stop(signal.SIGTERM) == 0
        assert set(await asyncio.gather(*asked)) == {'done'}


def test_drain_by_answer_or_mark_ends_new_work() -> None:
    """A searcher leaves; what it gets afterwards is cut when it goes.

    One says so in its answers, another is marked by the platform: of each
    group the replica that got the most work, which would go on getting it.
    Seconds later neither may count any, while searches stay whole.
    """
    support.run(_drain())


async def _drain() -> None:
    async with embedded.EmbeddedDeployment(_plan()) as deployed:
        to = client.Client(deployed.caller_address('dc-a-0'), 2)
        await _search_often(to)
        by_work = sorted(
            deployed.searcher_by_id,
            key=lambda one: deployed.searcher_by_id[one].counts.batches,
        )
        first = [one for one in by_work if f'{_SERVICE}-0' in one][-1]
        last = [one for one in by_work if f'{_SERVICE}-1' in one][-1]
        deployed.searcher_by_id[first].apply_faults(
            searcher_faults.SearcherFaults(draining=True),
        )
        stored = deployed.platform.objects.read('hosts', 'all').unwrap()
        listed = codec.decode(host_list.HostList, stored.body).unwrap()
        await deployed.platform.set_hosts(
            [
                dataclasses.replace(one, state='leaving')
                if one.host_id == last
                else one
                for one in listed.hosts
            ],
        )
        await _search_often(to)
        await asyncio.sleep(_LEAVING_S)
        leaving = [deployed.searcher_by_id[one] for one in (first, last)]
        before = [one.counts.batches for one in leaving]
        assert all(before)
        await _search_often(to)
        assert [one.counts.batches for one in leaving] == before


async def _search_often(to: client.Client) -> None:
    for _ in range(30):
        given = (await support.search(to, _SERVICE)).unwrap()
        assert given.coverage.total == given.coverage.covered
