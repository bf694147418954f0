"""Upstreams that leave, and nodes that are stopped with work in flight."""

import asyncio
import dataclasses
import pathlib
import signal
import time

import pytest

from chivepond.control import directory
from chivepond.standins import (
    deployment_plan,
    embedded,
    searcher_counts,
    searcher_faults,
    service_plan,
)
from chivepond.tests import support
from chivepond.transport import client, exchange
from chivepond.wire import codec, host_list

_SERVICE = 'pass-lookup'
_LONG_MS = 2500
_LEAVING_S = 2
_AFTER = 12


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


def test_shutdown_lets_long_commands_end(tmp_path: pathlib.Path) -> None:
    """A node is replaced while stamps that take seconds are in flight.

    A grace shorter than the work would cut them, and nobody would know
    whether they ran. The node is told to stop while it is the entry of
    some and the owner of others; all must end as done.
    """
    support.run(_stop_under_commands(tmp_path))


async def _stop_under_commands(folder: pathlib.Path) -> None:
    async with support.Processes(_plan(), folder) as deployed:
        await _slow_down(deployed)
        node_ids = ('dc-a-0', 'dc-a-1')
        callers = [deployed.caller_client(one) for one in node_ids]
        asked = [
            asyncio.create_task(
                support.command(
                    callers[number % 2],
                    _SERVICE,
                    f'shutdown-{number}',
                ),
            )
            for number in range(4)
        ]
        await asyncio.sleep(0.5)
        assert await deployed.node_by_id['dc-a-0'].stop(signal.SIGTERM) == 0
        told = await asyncio.gather(*asked)
        assert {one.unwrap().outcome for one in told} == {'done'}


async def _slow_down(deployed: support.Processes) -> None:
    slow = searcher_faults.SearcherFaults(late_ms=_LONG_MS)
    for searcher_id in deployed.searcher_by_id:
        async with deployed.caller_client(searcher_id) as to:
            told = await to.post('/standin/faults', codec.encode(slow), 5)
            told.unwrap()


def test_shutdown_at_once_by_a_second_signal(tmp_path: pathlib.Path) -> None:
    """An operator can't wait for a stamp in flight and signals again.

    The node ends at once, as it says, with its code for a failure. The
    stamp's caller is cut, yet its key runs once: the repeat through
    another node is not told "not run".
    """
    support.run(_signal_twice(tmp_path))


async def _signal_twice(folder: pathlib.Path) -> None:
    async with support.Processes(_plan(), folder) as deployed:
        await _slow_down(deployed)
        one, other = (
            deployed.caller_client(node_id) for node_id in ('dc-a-0', 'dc-a-1')
        )
        key = 'twice'
        issued_ms = int(time.time() * 1000)
        cut = asyncio.create_task(
            support.command(one, _SERVICE, key, issued_ms=issued_ms),
        )
        await asyncio.sleep(0.5)
        stopping = deployed.node_by_id['dc-a-0']
        stopping.process.send_signal(signal.SIGTERM)
        await stopping.line_with('node stopping')
        assert (cut.done(), await stopping.stop(signal.SIGTERM)) == (False, 1)
        assert (await cut).unwrap_err().kind == 'unreachable'
        again = await support.command(
            other,
            _SERVICE,
            key,
            issued_ms=issued_ms,
            deadline_ms=1000,
        )
        kind = again.unwrap_err().kind if again.is_err() else 'done'
        assert kind in {'done', 'outcome_unknown'}
        assert await _runs(deployed) == 1


async def _runs(deployed: support.Processes) -> int:
    runs = 0
    for searcher_id in deployed.searcher_by_id:
        async with deployed.caller_client(searcher_id) as to:
            counts = await exchange.get(
                searcher_counts.SearcherCounts,
                to,
                '/standin/counts',
                support.TIMEOUT_S,
            )
            runs += sum(counts.unwrap().runs_by_key.values())
    return runs


def test_shutdown_with_a_peer_that_still_sends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node leaves, and another one never hears of it.

    Its view stays as it was, so it goes on sending searches and stamps to
    the owner that stops, on kept connections and on new ones. What the
    owner doesn't answer any more must go elsewhere: all searches whole,
    and no stamp of which nobody knows whether it ran.
    """
    support.run(_stop_unheard(monkeypatch))


async def _stop_unheard(monkeypatch: pytest.MonkeyPatch) -> None:
    async with embedded.EmbeddedDeployment(_plan()) as deployed:
        leaving, sending, _ = deployed.node_by_id.values()
        refresh = directory.Directory.refresh
        monkeypatch.setattr(
            directory.Directory,
            'refresh',
            lambda hosts, now: (
                hosts is sending.directory or refresh(hosts, now)
            ),
        )
        to = client.Client(sending.caller_server.address, 4)
        stop = asyncio.create_task(leaving.__aexit__(None, None, None))
        told = []
        while not stop.done() or len(told) < _AFTER:
            await _search_often(to, 3)
            told.append(await support.command(to, _SERVICE, str(len(told))))
        await stop
        refused = [one.unwrap_err().kind for one in told if one.is_err()]
        assert set(refused) <= {'not_run'}
        assert len(refused) < len(told)
        await _search_often(to)


def test_drain_is_learned_from_owners() -> None:
    """A searcher drains, its owner dies, and the platform marks nothing.

    The next owner never heard the searcher say so, and would give it new
    work that is cut when it goes; stamps would be refused again and again.
    The entry knows from the owner's answers.
    """
    support.run(_drain_news())


async def _drain_news() -> None:
    async with embedded.EmbeddedDeployment(_plan()) as deployed:
        nodes = deployed.node_by_id
        index = nodes['dc-a-0'].catalog.current(_SERVICE)
        first = [found[0] for found in index.searchers_by_shard.values()]
        seen = nodes['dc-a-0'].directory.view
        host = seen.searcher_by_id[first[0]]
        owner_id, next_id, *_ = seen.owners(host)
        drained = [deployed.searcher_by_id[one] for one in first]
        for one in drained:
            one.apply_faults(searcher_faults.SearcherFaults(draining=True))
        to = client.Client(nodes[next_id].caller_server.address, 2)
        await _search_often(to)
        told = await asyncio.gather(
            *(support.command(to, _SERVICE, str(one)) for one in range(6)),
        )
        assert all(one.is_ok() for one in told)
        nodes[owner_id].abort()
        for one in drained:
            one.apply_faults(searcher_faults.SearcherFaults())
        before = [one.counts.batches for one in drained]
        await _search_often(to)
        assert [one.counts.batches for one in drained] == before


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


async def _search_often(to: client.Client, times: int = 30) -> None:
    for _ in range(times):
        given = (await support.search(to, _SERVICE)).unwrap()
        assert given.coverage.total == given.coverage.covered
