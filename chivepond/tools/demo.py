"""The main job on embedded stand-ins: searches, a stamp, a drain."""

import asyncio
import time

import result

from chivepond.observe import burn
from chivepond.standins import (
    deployment_plan,
    embedded,
    searcher_faults,
    service_plan,
)
from chivepond.tools import burn_commands, console, exit_code
from chivepond.transport import client, exchange
from chivepond.wire import (
    command_answer,
    command_request,
    search_answer,
    search_request,
)

_TIMEOUT_S = 3
_CONNECTIONS = 4
_SEARCHES = 8
_MS_PER_S = 1000
_COMMAND_MS = 2000
_PASSES = 'pass-lookup'
_PERMITS = 'permit-desk'


def plan() -> deployment_plan.DeploymentPlan:
    """Return a small deployment with a service of each kind of user."""
    return deployment_plan.DeploymentPlan(
        services=[
            service_plan.ServicePlan(
                name=_PASSES,
                index='passes',
                groups=6,
                profile={'straggler_one_in': 50, 'connect_ms': 6},
            ),
            service_plan.ServicePlan(
                name=_PERMITS,
                index='logbooks',
                groups=3,
                replicas=1,
                search={
                    'answer': {
                        'when': 'coverage',
                        'floor': 0.6,
                        'patience_ms': 100,
                    },
                },
                capacity={'slots': 3, 'connections': 40},
                profile={'slots': 3, 'connections': 40, 'connect_ms': 1},
            ),
        ],
        node={'balancer_lag_ms': 200, 'log_level': 'WARNING'},
    )


async def run() -> int:
    """Run the demo; return the exit code."""
    async with embedded.EmbeddedDeployment(plan()) as deployed:
        console.say('platform, 15 searchers and 3 nodes are up')
        demo = Demo(deployed)
        await demo.search_everywhere()
        await demo.stamp_twice()
        await demo.drain()
        nodes = [one.burn() for one in deployed.node_by_id.values()]
        burn_commands.show(burn.report(nodes), len(nodes))
        return (
            exit_code.ExitCode.FAILED
            if demo.failures
            else exit_code.ExitCode.OK
        )


class Demo:
    """Plays callers and operators against an embedded deployment."""

    __slots__ = ('_clients', '_deployed', 'failures')

    def __init__(self, deployed: embedded.EmbeddedDeployment) -> None:
        """Call each node in turn."""
        self._deployed = deployed
        self._clients = [
            client.Client(deployed.caller_address(node_id), _CONNECTIONS)
            for node_id in deployed.node_by_id
        ]
        self.failures = 0

    async def search_everywhere(self) -> None:
        """Search both services through every node."""
        for number in range(_SEARCHES):
            service = _PASSES if number % 2 else _PERMITS
            await self._search(number, service)

    async def stamp_twice(self) -> None:
        """Stamp a permit, and send the same key again to another node."""
        key = f'{int(time.time() * _MS_PER_S)}-demo-permit'
        for to in self._clients[:2]:
            answer = await exchange.post(
                command_answer.CommandAnswer,
                to,
                '/v1/commands',
                command_request.CommandRequest(
                    service=_PERMITS,
                    key=key,
                    shard_key='member-7',
                    body='stamp permit 7',
                    caller='permit-desk',
                    deadline_ms=_COMMAND_MS,
                ),
                _TIMEOUT_S,
            )
            match answer:
                case result.Ok(given):
                    replayed = 'replayed' if given.replayed else 'run'
                    console.say(
                        f'stamp {given.key}: {given.outcome}, {replayed}:'
                        f' {given.result}',
                    )
                case _:
                    self._fail(str(answer.unwrap_err()))

    async def drain(self) -> None:
        """Let a searcher drain, and search on."""
        drained = next(iter(self._deployed.searcher_by_id))
        console.say(f'{drained} drains')
        self._deployed.searcher_by_id[drained].apply_faults(
            searcher_faults.SearcherFaults(draining=True),
        )
        for number in range(_SEARCHES):
            await self._search(number, _PASSES)

    async def _search(self, number: int, service: str) -> None:
        started_at = time.monotonic()
        answer = await exchange.post(
            search_answer.SearchAnswer,
            self._clients[number % len(self._clients)],
            '/v1/search',
            search_request.SearchRequest(
                service=service,
                query='Gurung',
                caller='demo',
                limit=3,
            ),
            _TIMEOUT_S,
        )
        took_ms = (time.monotonic() - started_at) * _MS_PER_S
        match answer:
            case result.Ok(given):
                self._show(given, took_ms)
            case _:
                self._fail(str(answer.unwrap_err()))

    def _show(self, given: search_answer.SearchAnswer, took_ms: float) -> None:
        seen = given.snapshot
        covered = given.coverage
        console.say(
            f'{given.request_id}: {seen.index}@{seen.version},'
            f' {covered.covered} of {covered.total} shards,'
            f' {len(given.hits)} hits, {took_ms:.1f} ms',
        )
        for lost in covered.missing:
            console.say(f'  not searched: {lost.shard} ({lost.reason})')

    def _fail(self, why: str) -> None:
        self.failures += 1
        console.say(f'failed: {why}')


def main() -> int:
    """Run the demo on a loop of its own."""
    return asyncio.run(run())
