"""A seeded soak of an embedded deployment: callers, faults and checks."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import result

from chivepond.soak import (
    answer_check,
    command_ledger,
    configuration_editor,
    fault_generator,
    index_publisher,
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
_RECORDS_PER_SHARD = 20
_DEADLINE_MS = 400
_COMMAND_DEADLINE_MS = 1500
_TIMEOUT_S = 5
_CONNECTIONS = 32
_SEARCH_PAUSE_S = 0.02
_COMMAND_PAUSE_S = 0.15
_FAULT_PAUSE_S = 0.25
_PUBLISH_PAUSE_S = 0.7
_EDIT_PAUSE_S = 0.5
_REVISION_CHECK_PAUSE_S = 0.02
_SETTLE_S = 2
_MAX_SENDS = 2
_KEY_BITS = 48
_MS_PER_S = 1000
_QUERIES = ('a', 'Rai', 'Gurung', 'Dawa', 'Lepcha', 'o')
_LIMITS = (1, 5, 50)


def plan() -> deployment_plan.DeploymentPlan:
    """Return a plan with two data centres that each hold all shards."""
    return deployment_plan.DeploymentPlan(
        services=[
            service_plan.ServicePlan(
                name=_SERVICE,
                index='passes',
                groups=3,
                copies=2,
                search={'deadline_ms': _DEADLINE_MS},
                profile={
                    'records_per_shard': _RECORDS_PER_SHARD,
                    'straggler_one_in': 40,
                },
            ),
        ],
        data_centres=['dc-a', 'dc-b'],
        nodes_per_data_centre=2,
        node={'balancer_lag_ms': 100, 'platform_timeout_ms': 400},
    )


class Soak:
    """Runs callers, faults, publishes and edits that are drawn from a seed."""

    __slots__ = (
        '_clients',
        '_deployment',
        '_faults',
        '_ledger',
        '_configuration_editor',
        '_publisher',
        '_random',
        '_started_at',
        'answers',
        'refusals',
        'violations',
    )

    def __init__(
        self,
        deployment: embedded.EmbeddedDeployment,
        seed: int,
    ) -> None:
        """Send requests to all nodes of ``deployment``, which is entered."""
        self._deployment = deployment
        self._random = random.Random(seed)
        self._faults = fault_generator.FaultGenerator(random.Random(seed + 1))
        self._ledger = command_ledger.CommandLedger()
        self._publisher = index_publisher.IndexPublisher(
            deployment,
            deployment.plan.services[0],
            random.Random(seed + 2),
        )
        self._configuration_editor = configuration_editor.ConfigurationEditor(
            deployment,
            random.Random(seed + 3),
        )
        self._clients = [
            client.Client(deployment.caller_address(node_id), _CONNECTIONS)
            for node_id in deployment.node_by_id
        ]
        self._started_at = time.monotonic()
        self.answers = 0
        self.refusals = 0
        self.violations: list[violation.Violation] = []

    async def run(self, seconds: float) -> None:
        """Run for ``seconds``, clear all faults, and check every request key.

        Each key is sent once more after the faults are cleared, so that its
        final outcome is compared as well.
        """
        activities = (
            (_SEARCH_PAUSE_S, self._search),
            (_COMMAND_PAUSE_S, self._send_new_command),
            (_FAULT_PAUSE_S, self._inject_faults),
            (_PUBLISH_PAUSE_S, self._publish),
            (_EDIT_PAUSE_S, self._configuration_editor.edit),
            (_REVISION_CHECK_PAUSE_S, self._check_revisions),
        )
        end_at = time.monotonic() + seconds
        await asyncio.gather(
            *(_repeat(pause, action, end_at) for pause, action in activities),
        )
        self._clear_faults()
        await asyncio.sleep(_SETTLE_S)
        for key in self._ledger.keys():
            await self._send_command(key)
        for outdated in await self._configuration_editor.wait_for_rollout():
            self._add_violation(
                configuration_editor.IN_FORCE_EVERYWHERE, outdated
            )
        for guarantee, observed in self._ledger.find_violations(
            self._runs_by_key()
        ):
            self._add_violation(guarantee, observed)

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
            case result.Ok(search_reply):
                self.answers += 1
                self._check_answer(request, search_reply)
            case _:
                self.refusals += 1

    async def _send_new_command(self) -> None:
        issued_ms = int(time.time() * _MS_PER_S)
        key = f'{issued_ms}-soak-{self._random.getrandbits(_KEY_BITS):012x}'
        await asyncio.gather(
            *(
                self._send_command(key)
                for _ in range(self._random.randint(1, _MAX_SENDS))
            ),
        )

    async def _send_command(self, key: str) -> None:
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
                deadline_ms=_COMMAND_DEADLINE_MS,
            ),
            _TIMEOUT_S,
        )
        self._ledger.record(key, answer)

    async def _inject_faults(self) -> None:
        searcher_id = self._random.choice(list(self._deployment.searcher_by_id))
        searcher = self._deployment.searcher_by_id[searcher_id]
        searcher.apply_faults(self._faults.draw_searcher_faults())
        self._deployment.platform.faults = self._faults.draw_platform_faults()

    async def _publish(self) -> None:
        self._publisher.publish()

    async def _check_revisions(self) -> None:
        for observed in self._configuration_editor.find_reverted():
            self._add_violation(configuration_editor.NEVER_REVERTS, observed)

    def _clear_faults(self) -> None:
        self._deployment.platform.faults = platform_faults.PlatformFaults()
        for searcher in self._deployment.searcher_by_id.values():
            searcher.apply_faults(searcher_faults.SearcherFaults())

    def _check_answer(
        self,
        request: search_request.SearchRequest,
        answer: search_answer.SearchAnswer,
    ) -> None:
        violations = answer_check.find_violations(
            request,
            answer,
            self._publisher.map_by_version,
            _RECORDS_PER_SHARD,
        )
        for guarantee, observed in violations:
            self._add_violation(guarantee, observed)

    def _runs_by_key(self) -> dict[str, int]:
        runs_by_key: dict[str, int] = {}
        for searcher in self._deployment.searcher_by_id.values():
            for key, runs in searcher.counts.runs_by_key.items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        return runs_by_key

    def _add_violation(self, guarantee: str, observed: str) -> None:
        at_s = time.monotonic() - self._started_at
        self.violations.append(violation.Violation(guarantee, observed, at_s))


async def _repeat(
    pause_s: float,
    action: Callable[[], Awaitable[None]],
    end_at: float,
) -> None:
    running: set[asyncio.Task[None]] = set()
    while time.monotonic() < end_at:
        task = asyncio.create_task(action())
        running.add(task)
        await asyncio.sleep(pause_s)
    await asyncio.gather(*running)
