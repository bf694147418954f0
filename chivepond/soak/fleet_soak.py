"""Restarts in series, list changes and cuts against a fleet of gateways."""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import signal
import time
import types
from typing import Self

from chivepond.gateway import http_connection, outcome, routing_table
from chivepond.platform import documents, store_calls
from chivepond.soak import (
    fleet_plan,
    fleet_report,
    gateway_calls,
    gateway_process,
    loopback_proxy,
    loopback_subnet,
    searcher_ledger,
)
from chivepond.standins import routed_store, scripted_searcher

_ROUTE = 'search'
_READY_POLL_S = 0.2
_TOP_COUNT = 5
#: Least share of the shards in an answer; low, so that failing shards do not
#: end a search before its second sends.
_LEAST_SHARE = 0.1
_LATENCY_TARGET_MS = 200
#: Kinds of faults other than restarts, and the pause between them in seconds.
_FAULT_PAUSE_S = (0.3, 2.0)
_CUT_S = (1.0, 8.0)
_PAUSE_S = (0.2, 3.0)


class FleetSoak:
    """Runs callers and faults against a fleet, and measures second sends.

    Each connection of a gateway to the store leads through a proxy. All
    searchers reject most requests or are slow, so that nearly every request
    wants a second send.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, plan: fleet_plan.FleetPlan
    ) -> None:
        """Draw everything from ``seed``; write logs to ``folder``."""
        self._random = random.Random(seed)
        self._folder = folder
        self._plan = plan
        self._exit_stack = contextlib.AsyncExitStack()
        self._store = routed_store.RoutedStore()
        self.ledger = searcher_ledger.SearcherLedger(self._random)
        self._id_numbers = itertools.count(1)
        self.processes: list[gateway_process.GatewayProcess] = []
        self._proxy_by_name: dict[str, loopback_proxy.LoopbackProxy] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.restarts = 0
        #: When gateways were killed or paused, in monotonic seconds. Lines of
        #: the log that they had not written by then may be lost.
        self.silenced_at: list[float] = []

    async def __aenter__(self) -> Self:
        """Start store and searchers, and all gateways at once."""
        await self._exit_stack.enter_async_context(self._store)
        for shard in self._plan.shards:
            for copy in range(self._plan.copies):
                await self._add_searcher(
                    shard, fleet_plan.DATA_CENTRES[copy], 'overloaded'
                )
        self._configure()
        subnet = self._exit_stack.enter_context(
            loopback_subnet.LoopbackSubnet(
                self._random.randrange(1, 250),
                self._plan.gateways,
                gateway_process.PORTS,
            )
        )
        seeds = [
            f'{subnet.ip(number)}:{gateway_process.PORTS[2]}'
            for number in range(1, min(3, self._plan.gateways) + 1)
        ]
        for number in range(1, self._plan.gateways + 1):
            await self._add_gateway(number, subnet.ip(number), seeds)
        await asyncio.gather(
            *(
                self._exit_stack.enter_async_context(process)
                for process in self.processes
            )
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Cancel running faults, and stop everything that was started."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        # A cancelled restart may have started a process that must be stopped.
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._exit_stack.aclose()

    async def run(self, seconds: float) -> None:
        """Run callers and faults for ``seconds``.

        Traffic begins as soon as the first gateway is ready, while others
        still start.
        """
        while not await self._any_ready():
            await asyncio.sleep(_READY_POLL_S)
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(self._plan.callers):
                group.create_task(self._run_caller(end_at))
            group.create_task(self._restart_in_series(end_at))
            group.create_task(self._move_in_series(end_at))
            group.create_task(self._inject_faults(end_at))
        await asyncio.sleep(1)

    def report(self) -> list[fleet_report.ServiceReport]:
        """Return what was measured of each service."""
        return fleet_report.of_services(
            self.ledger, self._plan.budget, self._folder, self.silenced_at
        )

    async def _add_searcher(
        self, shard: str, data_centre: str, behaviour: str
    ) -> None:
        searcher_id = f's-{shard}-{next(self._id_numbers)}'
        searcher = scripted_searcher.ScriptedSearcher(
            self.ledger.reply_script(searcher_id, shard),
        )
        await self._exit_stack.enter_async_context(searcher)
        self.ledger.behaviour_by_searcher_id[searcher_id] = behaviour
        self._store.put(
            store_calls.SEARCHERS,
            searcher_id,
            documents.searcher(
                shard, searcher.address, zone=data_centre, slots=4
            ),
        )

    async def _add_gateway(
        self, number: int, ip: str, seeds: list[str]
    ) -> None:
        proxy = loopback_proxy.LoopbackProxy(self._store.address)
        await self._exit_stack.enter_async_context(proxy)
        name = f'gate-{number}'
        self._proxy_by_name[name] = proxy
        self.processes.append(
            gateway_process.GatewayProcess(
                name,
                ip,
                str(proxy.address),
                self._folder,
                self._plan.data_centre(number),
                {
                    'region_by_data_centre': dict(
                        fleet_plan.REGION_BY_DATA_CENTRE
                    ),
                    'link_mbps': self._plan.link_mbps(number),
                    'seeds': seeds,
                    'second_send_burst': self._plan.budget.burst,
                    'is_first_start': True,
                    'log_level': 'DEBUG',
                },
            )
        )

    def _configure(self) -> None:
        self._store.put(
            store_calls.CONFIGURATION,
            store_calls.CONFIGURATION_NAME,
            documents.configuration(
                1,
                [
                    gateway_calls.route(
                        _ROUTE,
                        **documents.gathered(
                            list(self._plan.shards),
                            _TOP_COUNT,
                            _LEAST_SHARE,
                            _LATENCY_TARGET_MS,
                        ),
                    ),
                ],
                routing_table.DEFAULT_LIMITS,
                connection_cap=490,
            ),
        )

    async def _any_ready(self) -> bool:
        for process in self.processes:
            if await gateway_calls.is_ready(process):
                return True
        return False

    async def _run_caller(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        connection: http_connection.HttpConnection | None = None
        pause_s = self._plan.callers / self._plan.searches_per_s
        while loop.time() < end_at:
            next_at = loop.time() + self._random.uniform(0, 2 * pause_s)
            if connection is None or not connection.is_open:
                connection = await gateway_calls.connect(
                    self._random.choice(self.processes)
                )
            if connection is not None:
                await self._call(connection)
            await asyncio.sleep(max(0, next_at - loop.time()))

    async def _call(self, connection: http_connection.HttpConnection) -> None:
        request_id = b'r%d' % next(self._id_numbers)
        self.ledger.record_client_request(self._plan.shards)
        match await gateway_calls.send_request(connection, _ROUTE, request_id):
            case outcome.Reply(status=status):
                self.statuses[status] += 1
            case _:
                self.statuses[0] += 1

    async def _restart_in_series(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._plan.calm_s)
        candidates = [
            process
            for number, process in enumerate(self.processes, 1)
            if self._plan.is_wide(number) or not self._plan.restarts_wide_only
        ]
        count = round(self._plan.restarted_share * len(candidates))
        while self._plan.restart_gap_s and loop.time() < end_at:
            chosen = self._random.sample(candidates, count)
            number = self._random.choice(
                (signal.SIGKILL, signal.SIGKILL, signal.SIGTERM)
            )
            # A second SIGTERM ends a planned stop at once, like a kill.
            self.silenced_at.append(time.monotonic())
            for process in chosen:
                self._start_task(process.restart(number))
            self.restarts += count
            await asyncio.sleep(self._plan.restart_gap_s)

    async def _move_in_series(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._plan.calm_s)
        while self._plan.move_gap_s and loop.time() < end_at:
            for shard in self._plan.shards[::2]:
                await self._move_service(shard)
            await asyncio.sleep(self._plan.move_gap_s)

    async def _inject_faults(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._plan.calm_s)
        while loop.time() < end_at:
            fault = self._random.choice(
                (
                    self._cut_store,
                    self._pause_gateway,
                    self._move_searcher,
                )
            )
            self._start_task(fault())
            await asyncio.sleep(self._random.uniform(*_FAULT_PAUSE_S))

    def _start_task(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cut_store(self) -> None:
        proxy = self._random.choice(list(self._proxy_by_name.values()))
        proxy.apply_fault(self._random.choice(list(loopback_proxy.ProxyFault)))
        await asyncio.sleep(self._random.uniform(*_CUT_S))
        proxy.apply_fault(loopback_proxy.ProxyFault.NONE)

    async def _pause_gateway(self) -> None:
        process = self._random.choice(self.processes)
        self.silenced_at.append(time.monotonic())
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(*_PAUSE_S))
        process.send_signal(signal.SIGCONT)

    async def _move_searcher(self) -> None:
        """Replace one searcher by one in any data centre."""
        searcher_id = self._random.choice(
            self._store.names(store_calls.SEARCHERS)
        )
        await self._replace(
            searcher_id,
            self._random.choice(fleet_plan.DATA_CENTRES),
            self._random.choice(('overloaded', 'overloaded', 'slow')),
        )

    async def _move_service(self, shard: str) -> None:
        """Replace the searchers of a service by some in other data centres."""
        entry_by_id = {
            searcher_id: self._store.spec(store_calls.SEARCHERS, searcher_id)
            for searcher_id in self._store.names(store_calls.SEARCHERS)
        }
        searcher_ids = [
            searcher_id
            for searcher_id, entry in entry_by_id.items()
            if entry['service'] == shard
        ]
        used = {
            entry_by_id[searcher_id]['zone'] for searcher_id in searcher_ids
        }
        unused = [name for name in fleet_plan.DATA_CENTRES if name not in used]
        for searcher_id, data_centre in zip(
            searcher_ids, itertools.cycle(unused), strict=False
        ):
            await self._replace(searcher_id, data_centre, 'overloaded')

    async def _replace(
        self, searcher_id: str, data_centre: str, behaviour: str
    ) -> None:
        entry = self._store.spec(store_calls.SEARCHERS, searcher_id)
        await self._add_searcher(entry['service'], data_centre, behaviour)
        if searcher_id in self._store.names(store_calls.SEARCHERS):
            self._store.remove(store_calls.SEARCHERS, searcher_id)
