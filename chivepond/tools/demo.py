"""The demo command: searches, a replayed command and a searcher drain.

Everything runs in one process on an embedded deployment of stand-ins.
"""

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
_SEARCH_COUNT = 8
_MS_PER_S = 1000
_COMMAND_MS = 2000
_PASS_SERVICE = 'pass-lookup'
_PERMIT_SERVICE = 'permit-desk'


def plan() -> deployment_plan.DeploymentPlan:
    """Return a small deployment with two services.

    One keeps its deadline, the other waits for shard coverage.
    """
    return deployment_plan.DeploymentPlan(
        services=[
            service_plan.ServicePlan(
                name=_PASS_SERVICE,
                index='passes',
                groups=6,
                profile={'straggler_one_in': 50, 'connect_ms': 6},
            ),
            service_plan.ServicePlan(
                name=_PERMIT_SERVICE,
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
    """Run the demo and return FAILED if any request failed."""
    async with embedded.EmbeddedDeployment(plan()) as deployment:
        console.print_line('platform, 15 searchers and 3 nodes are up')
        demo = Demo(deployment)
        await demo.search_all_nodes()
        await demo.send_command_twice()
        await demo.drain_searcher()
        nodes = [node.burn() for node in deployment.node_by_id.values()]
        burn_commands.show(burn.report(nodes), len(nodes))
        return (
            exit_code.ExitCode.FAILED
            if demo.failures
            else exit_code.ExitCode.OK
        )


class Demo:
    """Sends requests to an embedded deployment and prints the responses."""

    __slots__ = ('_clients', '_deployment', 'failures')

    def __init__(self, deployment: embedded.EmbeddedDeployment) -> None:
        """Create one client for each node of ``deployment``."""
        self._deployment = deployment
        self._clients = [
            client.Client(deployment.caller_address(node_id), _CONNECTIONS)
            for node_id in deployment.node_by_id
        ]
        self.failures = 0

    async def search_all_nodes(self) -> None:
        """Search both services, with the nodes in rotation."""
        for number in range(_SEARCH_COUNT):
            service = _PASS_SERVICE if number % 2 else _PERMIT_SERVICE
            await self._search(number, service)

    async def send_command_twice(self) -> None:
        """Send a command, then repeat its key through another node.

        The second response is the stored outcome of the first run.
        """
        key = f'{int(time.time() * _MS_PER_S)}-demo-permit'
        for node_client in self._clients[:2]:
            response = await exchange.post(
                command_answer.CommandAnswer,
                node_client,
                '/v1/commands',
                command_request.CommandRequest(
                    service=_PERMIT_SERVICE,
                    key=key,
                    shard_key='member-7',
                    body='stamp permit 7',
                    caller='permit-desk',
                    deadline_ms=_COMMAND_MS,
                ),
                _TIMEOUT_S,
            )
            match response:
                case result.Ok(answer):
                    replayed = 'replayed' if answer.replayed else 'run'
                    console.print_line(
                        f'stamp {answer.key}: {answer.outcome}, {replayed}:'
                        f' {answer.result}',
                    )
                case _:
                    self._fail(str(response.unwrap_err()))

    async def drain_searcher(self) -> None:
        """Set one searcher to draining and continue to search."""
        searcher_id = next(iter(self._deployment.searcher_by_id))
        console.print_line(f'{searcher_id} is draining')
        self._deployment.searcher_by_id[searcher_id].apply_faults(
            searcher_faults.SearcherFaults(draining=True),
        )
        for number in range(_SEARCH_COUNT):
            await self._search(number, _PASS_SERVICE)

    async def _search(self, number: int, service: str) -> None:
        started_at = time.monotonic()
        response = await exchange.post(
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
        match response:
            case result.Ok(answer):
                self._show(answer, took_ms)
            case _:
                self._fail(str(response.unwrap_err()))

    def _show(self, answer: search_answer.SearchAnswer, took_ms: float) -> None:
        snapshot = answer.snapshot
        coverage = answer.coverage
        console.print_line(
            f'{answer.request_id}: {snapshot.index}@{snapshot.version},'
            f' {coverage.covered} of {coverage.total} shards,'
            f' {len(answer.hits)} hits, {took_ms:.1f} ms',
        )
        for missing in coverage.missing:
            console.print_line(
                f'  not searched: {missing.shard} ({missing.reason})'
            )

    def _fail(self, reason: str) -> None:
        self.failures += 1
        console.print_line(f'failed: {reason}')


def main() -> int:
    """Run the demo on a new event loop and return its exit code."""
    return asyncio.run(run())
