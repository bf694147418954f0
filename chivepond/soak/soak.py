"""One seeded run: callers, faults, and the check of all that was told."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import result

from chivepond.soak import (
    answer_check,
    command_ledger,
    fault_dice,
    index_publisher,
    operators_play,
    violation,
)
from chivepond.standins import (
    deployment_plan,
    embedded,
    platform_faults,
    searcher_faults,
    service_plan,
)
from chivepond.transport import client, exchange
from chivepond.wire import (
    command_answer,
    command_request,
    search_answer,
    search_request,
)

_SERVICE = 'pass-lookup'
_RECORDS = 20
_DEADLINE_MS = 400
_COMMAND_MS = 1500
_TIMEOUT_S = 5
_CONNECTIONS = 32
_SEARCH_PAUSE_S = 0.02
_COMMAND_PAUSE_S = 0.15
_FAULT_PAUSE_S = 0.25
_PUBLISH_PAUSE_S = 0.7
_EDIT_PAUSE_S = 0.5
_LOOK_PAUSE_S = 0.02
_SETTLE_S = 2
_REPEATS = 2
_KEY_BITS = 48
_MS_PER_S = 1000
_QUERIES = ('a', 'Rai', 'Gurung', 'Dawa', 'Lepcha', 'o')
_LIMITS = (1, 5, 50)


def plan() -> deployment_plan.DeploymentPlan:
    """Return two data centres, each with all shards."""
    return deployment_plan.DeploymentPlan(
        services=[
            service_plan.ServicePlan(
                name=_SERVICE,
                index='passes',
                groups=3,
                copies=2,
                search={'deadline_ms': _DEADLINE_MS},
                profile={
                    'records_per_shard': _RECORDS,
                    'straggler_one_in': 40,
                },
            ),
        ],
        data_centres=['dc-a', 'dc-b'],
        nodes_per_data_centre=2,
        node={'balancer_lag_ms': 100, 'platform_timeout_ms': 400},
    )


class Soak:
    """Runs for some seconds; the seed draws faults, queries and keys."""

    __slots__ = (
        '_clients',
        '_deployed',
        '_dice',
        '_ledger',
        '_operators',
        '_publisher',
        '_random',
        '_started_at',
        'answers',
        'refusals',
        'violations',
    )

    def __init__(
        self,
        deployed: embedded.EmbeddedDeployment,
        seed: int,
    ) -> None:
        """Call every node of ``deployed``, which must be entered."""
        self._deployed = deployed
        self._random = random.Random(seed)
        self._dice = fault_dice.FaultDice(random.Random(seed + 1))
        self._ledger = command_ledger.CommandLedger()
        self._publisher = index_publisher.IndexPublisher(
            deployed,
            deployed.plan.services[0],
            random.Random(seed + 2),
        )
        self._operators = operators_play.OperatorsPlay(
            deployed,
            random.Random(seed + 3),
        )
        self._clients = [
            client.Client(deployed.caller_address(node_id), _CONNECTIONS)
            for node_id in deployed.node_by_id
        ]
        self._started_at = time.monotonic()
        self.answers = 0
        self.refusals = 0
        self.violations: list[violation.Violation] = []

    async def run(self, seconds: float) -> None:
        """Play for ``seconds``, heal everything, and check the keys."""
        loops = (
            (_SEARCH_PAUSE_S, self._search),
            (_COMMAND_PAUSE_S, self._command),
            (_FAULT_PAUSE_S, self._strike),
            (_PUBLISH_PAUSE_S, self._publish),
            (_EDIT_PAUSE_S, self._operators.edit),
            (_LOOK_PAUSE_S, self._look),
        )
        until = time.monotonic() + seconds
        await asyncio.gather(
            *(_repeat(pause, act, until) for pause, act in loops),
        )
        self._heal()
        await asyncio.sleep(_SETTLE_S)
        for key in self._ledger.keys():
            await self._send(key)
        for late in await self._operators.behind():
            self._broke(operators_play.EVERYWHERE, late)
        for promise, seen in self._ledger.broken(self._runs_by_key()):
            self._broke(promise, seen)

    async def _search(self) -> None:
        request = search_request.SearchRequest(
            service=_SERVICE,
            query=self._random.choice(_QUERIES),
            caller=f'caller-{self._random.randrange(8)}',
            limit=self._random.choice(_LIMITS),
        )
        answer = await exchange.post(
            search_answer.SearchAnswer,
            self._random.choice(self._clients),
            '/v1/search',
            request,
            _TIMEOUT_S,
        )
        match answer:
            case result.Ok(given):
                self.answers += 1
                self._check(request, given)
            case _:
                self.refusals += 1

    async def _command(self) -> None:
        issued_ms = int(time.time() * _MS_PER_S)
        key = f'{issued_ms}-soak-{self._random.getrandbits(_KEY_BITS):012x}'
        await asyncio.gather(
            *(
                self._send(key)
                for _ in range(self._random.randint(1, _REPEATS))
            ),
        )

    async def _send(self, key: str) -> None:
        answer = await exchange.post(
            command_answer.CommandAnswer,
            self._random.choice(self._clients),
            '/v1/commands',
            command_request.CommandRequest(
                service=_SERVICE,
                key=key,
                shard_key=key,
                body='reprint',
                caller='soak',
                deadline_ms=_COMMAND_MS,
            ),
            _TIMEOUT_S,
        )
        self._ledger.told(key, answer)

    async def _strike(self) -> None:
        struck = self._random.choice(list(self._deployed.searcher_by_id))
        searcher = self._deployed.searcher_by_id[struck]
        searcher.apply_faults(self._dice.searcher())
        self._deployed.platform.faults = self._dice.platform()

    async def _publish(self) -> None:
        self._publisher.publish()

    async def _look(self) -> None:
        for seen in self._operators.reverted():
            self._broke(operators_play.NEVER_REVERTS, seen)

    def _heal(self) -> None:
        self._deployed.platform.faults = platform_faults.PlatformFaults()
        for searcher in self._deployed.searcher_by_id.values():
            searcher.apply_faults(searcher_faults.SearcherFaults())

    def _check(
        self,
        request: search_request.SearchRequest,
        given: search_answer.SearchAnswer,
    ) -> None:
        found = answer_check.broken(
            request,
            given,
            self._publisher.map_by_version,
            _RECORDS,
        )
        for promise, seen in found:
            self._broke(promise, seen)

    def _runs_by_key(self) -> dict[str, int]:
        runs_by_key: dict[str, int] = {}
        for searcher in self._deployed.searcher_by_id.values():
            for key, runs in searcher.counts.runs_by_key.items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        return runs_by_key

    def _broke(self, promise: str, seen: str) -> None:
        at_s = time.monotonic() - self._started_at
        self.violations.append(violation.Violation(promise, seen, at_s))


async def _repeat(
    pause_s: float,
    act: Callable[[], Awaitable[None]],
    until: float,
) -> None:
    running: set[asyncio.Task[None]] = set()
    while time.monotonic() < until:
        task = asyncio.create_task(act())
        running.add(task)
        await asyncio.sleep(pause_s)
    await asyncio.gather(*running)
