"""Random external faults against gateways that run as processes."""

import asyncio
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
    gateway_calls,
    gateway_checks,
    gateway_process,
    loopback_proxy,
    loopback_subnet,
    removal_fault,
    searcher_ledger,
    waiting_callers,
)
from chivepond.standins import routed_store, scripted_searcher

_STAMPS = removal_fault.SERVICE
_READS = 'reads'
_WAITS = waiting_callers.SERVICE
_COPIES = 2
_DATA_CENTRES = ('base', 'hub')
_CALLERS = 10
#: Connections that a searcher accepts, drawn for each change of the
#: configuration; with few of them requests wait, and go through other gateways.
_MAX_CONNECTION_CAP = 40
_CONNECTION_CAPS = (_MAX_CONNECTION_CAP, _MAX_CONNECTION_CAP, 4, 2)
#: A longer soak begins without faults but a reader's cut (``RemovalFault``).
_LONG_SOAK_S = 20
_READY_POLLS = 400
_POLL_S = 0.05
#: Seconds within which a new configuration takes effect: later answers must
#: follow it if the gateway and the store had no fault for ``_FAULT_FREE_S``.
_UPDATE_BOUND_S = 3.0
_FAULT_FREE_S = 4.0
#: Share of the faults that are followed by a fault-free period.
_FAULT_FREE_PROBABILITY = 0.02
#: Share of the faults that begin a series: the next fault follows at once,
#: and so overlaps them.
_SERIES_PROBABILITY = 0.2
#: How often a random searcher gets a random behaviour before the start.
_INITIAL_BEHAVIOUR_CHANGES = 5
#: Seconds for which a draining searcher keeps serving; gateways must stop
#: sending to it within three seconds.
_DRAIN_S = 3.5


class GatewaySoak:
    """Runs callers and faults against gateways, searchers and a store.

    Every connection to the store or to a searcher leads through a proxy.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, gateway_count: int
    ) -> None:
        """Draw everything from ``seed``; write logs to ``folder``."""
        self._random = random.Random(seed)
        self._folder = folder
        self._gateway_count = gateway_count
        self._exit_stack = contextlib.AsyncExitStack()
        self._store = routed_store.RoutedStore()
        self._ledger = searcher_ledger.SearcherLedger(self._random)
        self.checks = gateway_checks.GatewayChecks(self._ledger)
        self._id_numbers = itertools.count(1)
        self._version = 0
        self._shards = gateway_calls.SHARD_SETS[0]
        #: When the configuration was last written, and when a fault last
        #: affected each gateway (by name) or the store, in loop time.
        self._configured_at: float = 0
        self._last_fault_at_by_target: dict[str, float] = {}
        self.processes: list[gateway_process.GatewayProcess] = []
        self._proxies: list[loopback_proxy.LoopbackProxy] = []
        self._searcher_by_id: dict[str, scripted_searcher.ScriptedSearcher] = {}
        #: Processes that perform a planned stop.
        self._stopping: set[asyncio.subprocess.Process] = set()
        self._killed: set[asyncio.subprocess.Process] = set()
        self._waiting_callers = waiting_callers.WaitingCallers(
            self._random, self.processes, self.checks, self._ledger
        )
        self._removal = removal_fault.RemovalFault(
            self._store, self._ledger, self._configure
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start store, searchers and gateways; wait for ready gateways."""
        await self._exit_stack.enter_async_context(self._store)
        for service in (
            *itertools.chain(*gateway_calls.SHARD_SETS),
            _STAMPS,
            _READS,
            _WAITS,
        ):
            for copy in range(_COPIES):
                await self._add_searcher(f's-{service}-{copy}', service)
        for copy in range(_COPIES):
            self._ledger.behaviour_by_searcher_id[f's-{_WAITS}-{copy}'] = 'hang'
        for _ in range(_INITIAL_BEHAVIOUR_CHANGES):
            await self._change_behaviour()
        self._configure()
        subnet = self._exit_stack.enter_context(
            loopback_subnet.LoopbackSubnet(
                self._random.randrange(1, 250),
                self._gateway_count,
                gateway_process.PORTS,
            )
        )
        for number in range(1, self._gateway_count + 1):
            proxy = loopback_proxy.LoopbackProxy(self._store.address)
            await self._exit_stack.enter_async_context(proxy)
            self._proxies.append(proxy)
            self._removal.proxy_by_gateway[f'gate-{number}'] = proxy
            process = gateway_process.GatewayProcess(
                f'gate-{number}',
                subnet.ip(number),
                str(proxy.address),
                self._folder,
                _DATA_CENTRES[number % len(_DATA_CENTRES)],
            )
            self.processes.append(process)
            await self._exit_stack.enter_async_context(process)
        for process in self.processes:
            await self._wait_ready(process)
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
        """Run callers and faults for ``seconds``, then check the totals."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        async with self._waiting_callers, asyncio.TaskGroup() as group:
            for _ in range(_CALLERS):
                group.create_task(self._run_caller(end_at))
            if seconds >= _LONG_SOAK_S:
                await self._removal.run()
            group.create_task(self._inject_faults(end_at))
        await asyncio.sleep(1)
        for process in self.processes:
            if process.exited_with_error:
                self.checks.add_violation(
                    'a gateway does not exit by itself', process.name
                )
        self._removal.check(self.checks)
        self.checks.check_totals(_STAMPS)

    async def _add_searcher(self, searcher_id: str, service: str) -> None:
        searcher = scripted_searcher.ScriptedSearcher(
            self._ledger.reply_script(searcher_id, service),
        )
        await self._exit_stack.enter_async_context(searcher)
        self._searcher_by_id[searcher_id] = searcher
        proxy = loopback_proxy.LoopbackProxy(searcher.address)
        await self._exit_stack.enter_async_context(proxy)
        self._proxies.append(proxy)
        self._store.put(
            store_calls.SEARCHERS,
            searcher_id,
            documents.searcher(
                service,
                proxy.address,
                zone=self._random.choice(_DATA_CENTRES),
                slots=4,
            ),
        )

    def _configure(self, connection_cap: int = _MAX_CONNECTION_CAP) -> None:
        self._version += 1
        self._configured_at = asyncio.get_running_loop().time()
        self._store.put(
            store_calls.CONFIGURATION,
            store_calls.CONFIGURATION_NAME,
            documents.configuration(
                self._version,
                [
                    gateway_calls.route(
                        'search', **gateway_calls.gather_options(self._shards)
                    ),
                    gateway_calls.route(
                        'stamp', service=_STAMPS, kind='non_idempotent'
                    ),
                    gateway_calls.route('read', service=_READS),
                    gateway_calls.route('wait', service=_WAITS),
                    gateway_calls.route(
                        f'only-{self._version}', service=_READS
                    ),
                ],
                routing_table.DEFAULT_LIMITS,
                connection_cap,
            ),
        )

    async def _run_caller(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        connection: http_connection.HttpConnection | None = None
        process = self.processes[0]
        while loop.time() < end_at:
            if connection is None or not connection.is_open:
                process = self._random.choice(self.processes)
                connection = await gateway_calls.connect(process)
            if connection is None:
                await asyncio.sleep(_POLL_S)
                continue
            await self._call(connection, process)
            await asyncio.sleep(self._random.uniform(0, _POLL_S))

    async def _call(
        self,
        connection: http_connection.HttpConnection,
        process: gateway_process.GatewayProcess,
    ) -> None:
        kind = self._random.choice(('search', 'search', 'stamp', 'read'))
        request_id = b'r%d' % next(self._id_numbers)
        shards = self._shards
        serving = process.process
        self._removal.record_request(kind, request_id, process.name)
        self._ledger.record_client_request(
            {'search': shards, 'stamp': (_STAMPS,), 'read': (_READS,)}[kind]
        )
        call_outcome = await gateway_calls.send_request(
            connection, kind, request_id
        )
        match call_outcome:
            case outcome.Reply() if kind == 'search':
                expected_shards = shards
                if shards != self._shards or not self._must_be_current(process):
                    expected_shards = (
                        gateway_calls.answering_shards(call_outcome) or shards
                    )
                self.checks.check_gathered(
                    request_id, expected_shards, call_outcome
                )
            case outcome.Reply():
                self.checks.check_single(
                    request_id,
                    _STAMPS if kind == 'stamp' else _READS,
                    call_outcome,
                    is_idempotent=kind != 'stamp',
                )
            case _ if serving in self._stopping and serving.returncode is None:
                self.checks.add_violation(
                    'a planned stop interrupts no request',
                    f'{request_id!r} at {process.name}: {call_outcome}',
                )

    def _must_be_current(self, process: gateway_process.GatewayProcess) -> bool:
        now = asyncio.get_running_loop().time()
        last_fault_at = max(
            self._last_fault_at_by_target.get(process.name, 0),
            self._last_fault_at_by_target.get('store', 0),
        )
        is_fault_free = now - last_fault_at > _FAULT_FREE_S
        return is_fault_free and now - self._configured_at > _UPDATE_BOUND_S

    async def _inject_faults(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            fault = self._random.choice(
                (
                    self._disturb_proxy,
                    self._disturb_proxy,
                    self._change_behaviour,
                    self._change_behaviour,
                    self._change_behaviour,
                    self._replace_searcher,
                    self._crash_searcher,
                    self._pause_gateway,
                    self._kill_gateway,
                    self._stop_gateway,
                    self._reload_gateway,
                    self._disturb_store,
                    self._change_configuration,
                ),
            )
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            pause_s = self._random.uniform(0.05, 0.4)
            if self._random.random() < _SERIES_PROBABILITY:
                pause_s = 0
            if self._random.random() < _FAULT_FREE_PROBABILITY:
                # Makes time for the checks that need a fault-free period.
                pause_s = _FAULT_FREE_S + _UPDATE_BOUND_S
            await asyncio.sleep(pause_s)

    async def _disturb_proxy(self) -> None:
        proxy = self._random.choice(self._proxies)
        self._mark_fault()
        proxy.apply_fault(self._random.choice(list(loopback_proxy.ProxyFault)))
        await asyncio.sleep(self._random.uniform(0.2, 2))
        proxy.apply_fault(loopback_proxy.ProxyFault.NONE)
        self._mark_fault()

    async def _change_behaviour(self) -> None:
        searcher_id = self._random.choice(self._store.names('servers'))
        self._ledger.behaviour_by_searcher_id[searcher_id] = (
            self._random.choice(
                searcher_ledger.BEHAVIOURS,
            )
        )

    async def _replace_searcher(self) -> None:
        """Drain one searcher, and add another one in its place."""
        searcher_id = self._random.choice(self._store.names('servers'))
        entry = self._store.spec(store_calls.SEARCHERS, searcher_id)
        if entry['state'] != 'ready':
            return
        service = entry['service']
        await self._add_searcher(
            f's-{service}-{next(self._id_numbers)}', service
        )
        self._store.put(
            store_calls.SEARCHERS,
            searcher_id,
            entry | {'state': 'draining'},
        )
        self._ledger.draining_at_by_searcher_id[searcher_id] = time.monotonic()
        await asyncio.sleep(_DRAIN_S)
        self._remove_entry(searcher_id)
        self._searcher_by_id[searcher_id].stop()

    async def _crash_searcher(self) -> None:
        """Stop one searcher without draining; remove its entry a second later.

        Another searcher is added in its place.
        """
        searcher_id = self._random.choice(self._store.names('servers'))
        entry = self._store.spec(store_calls.SEARCHERS, searcher_id)
        if entry['state'] != 'ready':
            return
        service = entry['service']
        self._searcher_by_id[searcher_id].stop()
        await self._add_searcher(
            f's-{service}-{next(self._id_numbers)}', service
        )
        await asyncio.sleep(1)
        self._remove_entry(searcher_id)

    def _remove_entry(self, searcher_id: str) -> None:
        # A draining searcher may crash as well; its entry is removed once.
        if searcher_id in self._store.names(store_calls.SEARCHERS):
            self._store.remove(store_calls.SEARCHERS, searcher_id)

    async def _pause_gateway(self) -> None:
        process = self._random.choice(self.processes)
        self._waiting_callers.stopped.discard(process.process)
        self._mark_fault()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        process.send_signal(signal.SIGCONT)
        self._mark_fault()

    async def _kill_gateway(self) -> None:
        process = self._random.choice(self.processes)
        # A kill ends a planned stop, which then guarantees nothing. It may
        # take a while on a busy host, and a stop in this time comes too late.
        self._killed.add(process.process)
        self._stopping.discard(process.process)
        self._waiting_callers.stopped.discard(process.process)
        self._mark_fault()
        await process.restart(signal.SIGKILL)

    async def _stop_gateway(self) -> None:
        process = self._random.choice(self.processes)
        stopping = process.process
        # A second SIGTERM ends a planned stop at once, by request.
        if not process.is_running or stopping in self._stopping | self._killed:
            return
        self._mark_fault()
        self._stopping.add(stopping)
        self._waiting_callers.stopped.add(stopping)
        await process.restart(signal.SIGTERM)
        self._stopping.discard(stopping)

    async def _reload_gateway(self) -> None:
        process = self._random.choice(self.processes)
        if process.readiness and await gateway_calls.is_ready(process):
            process.send_signal(signal.SIGHUP)

    async def _disturb_store(self) -> None:
        self._mark_fault()
        self._last_fault_at_by_target['store'] = (
            asyncio.get_running_loop().time()
        )
        self._store.forget()
        status = self._random.choice((429, 503, None))
        self._store.refuse = lambda path: status
        await asyncio.sleep(self._random.uniform(0.2, 2))
        self._store.refuse = lambda path: None
        self._last_fault_at_by_target['store'] = (
            asyncio.get_running_loop().time()
        )

    async def _change_configuration(self) -> None:
        self._shards = self._random.choice(gateway_calls.SHARD_SETS)
        self._configure(self._random.choice(_CONNECTION_CAPS))

    def _mark_fault(self) -> None:
        now = asyncio.get_running_loop().time()
        self._ledger.last_fault_at = time.monotonic()
        for process in self.processes:
            self._last_fault_at_by_target[process.name] = now

    async def _wait_ready(
        self,
        process: gateway_process.GatewayProcess,
    ) -> None:
        for _ in range(_READY_POLLS):
            if await gateway_calls.is_ready(process):
                return
            await asyncio.sleep(_POLL_S)
        self.checks.add_violation(
            'a started gateway becomes ready', process.name
        )
