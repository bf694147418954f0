"""Owners that stand still or can't be reached, between real processes."""

import asyncio
import pathlib
import signal

from chivepond.standins import deployment_plan, service_plan
from chivepond.tests import support
from chivepond.transport import client
from chivepond.wire import search_answer

_SERVICE = 'pass-lookup'
_GROUPS = 6
_NEVER_MS = 600000
_REASONS = frozenset(('late', 'shed', 'unreachable'))
_SETTLED = 5


def _plan() -> deployment_plan.DeploymentPlan:
    return deployment_plan.DeploymentPlan(
        services=[
            service_plan.ServicePlan(
                name=_SERVICE,
                index='passes',
                groups=_GROUPS,
                search={'deadline_ms': 600},
            ),
        ],
        node={'balancer_lag_ms': 0, 'remove_after_ms': _NEVER_MS},
    )


def _check(given: search_answer.SearchAnswer) -> bool:
    """Check an answer; tell whether it is whole."""
    told = given.coverage
    missing = {lost.shard for lost in told.missing}
    assert told.total == _GROUPS
    assert told.covered + len(missing) == told.total
    assert not missing & {hit.shard for hit in given.hits}
    assert {lost.reason for lost in told.missing} <= _REASONS
    return not missing


async def _search_for(
    to: client.Client,
    seconds: float,
) -> list[search_answer.SearchAnswer]:
    """Search one after the other for some seconds."""
    until = asyncio.get_running_loop().time() + seconds
    given = []
    while asyncio.get_running_loop().time() < until:
        given.append((await support.search(to, _SERVICE)).unwrap())
    return given


def test_coverage_while_an_owner_stands_still(tmp_path: pathlib.Path) -> None:
    """An entry host hangs for seconds with its connections open.

    Its peers can't tell it from a slow one, and here they never remove it
    from their view. Callers of the other nodes still get every answer, and
    after a moment whole ones, through the standby; when it wakes, too.
    """
    support.run(_stand_still(tmp_path))


async def _stand_still(folder: pathlib.Path) -> None:
    async with support.Processes(_plan(), folder) as deployed:
        callers = [deployed.caller_client(one) for one in ('dc-a-1', 'dc-a-2')]
        stopped = deployed.node_by_id['dc-a-0'].process
        await _check_all(callers, 0.5)
        stopped.send_signal(signal.SIGSTOP)
        await _check_all(callers, 2.5)
        stopped.send_signal(signal.SIGCONT)
        await _check_all(callers, 1)


async def _check_all(callers: list[client.Client], seconds: float) -> None:
    told = await asyncio.gather(*(_search_for(to, seconds) for to in callers))
    for answers in told:
        are_whole = [_check(given) for given in answers]
        assert all(are_whole[-_SETTLED:])
        assert are_whole.count(False) <= 1
