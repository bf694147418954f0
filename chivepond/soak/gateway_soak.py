"""Random faults from outside against gateways that run as processes."""

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
    searcher_ledger,
)
from chivepond.standins import routed_store, scripted_searcher

_STAMPS = 'stamps'
_READS = 'reads'
_COPIES = 2
_DATA_CENTRES = ('base', 'hub')
_CALLERS = 10
_TRIES = 400
_POLL_S = 0.05
#: How long after a new version no caller may get an answer by an older one,
#: where no fault has touched the gateway or the store meanwhile.
_IN_FORCE_S = 3.0
_CALM_S = 4.0
#: How many faults are followed by a calm spell.
_CALM_SHARE = 0.02
#: Searchers that are spoilt from the start.
_FIRST_SPOILT = 5
#: How long a searcher serves after it said that it leaves, in seconds; news
#: of that must be in force within three.
_LEAVES_S = 3.5


class GatewaySoak:
    """A store, searchers, proxies and gateways; callers and faults."""

    def __init__(self, seed: int, folder: pathlib.Path, gateways: int) -> None:
        """Draw all from ``seed``; keep logs in ``folder``."""
        self._random = random.Random(seed)
        self._folder = folder
        self._gateways = gateways
        self._open = contextlib.AsyncExitStack()
        self._store = routed_store.RoutedStore()
        self._ledger = searcher_ledger.SearcherLedger(self._random)
        self.checks = gateway_checks.GatewayChecks(self._ledger)
        self._ids = itertools.count(1)
        self._version = 0
        self._shards = gateway_calls.SHARD_SETS[0]
        #: When versions were written, and when a fault last touched each.
        self._written_at: float = 0
        self._harmed_at: dict[str, float] = {}
        self.processes: list[gateway_process.GatewayProcess] = []
        self._ways: list[loopback_proxy.LoopbackProxy] = []
        self._searcher_by_id: dict[str, scripted_searcher.ScriptedSearcher] = {}
        self._stopping: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start everything, and wait until the gateways are ready."""
        await self._open.enter_async_context(self._store)
        for service in (
            *itertools.chain(*gateway_calls.SHARD_SETS),
            _STAMPS,
            _READS,
        ):
            for copy in range(_COPIES):
                await self._add_searcher(f's-{service}-{copy}', service)
        for _ in range(_FIRST_SPOILT):
            await self._spoil_searcher()
        self._configure()
        net = gateway_process.free_net(self._random.randrange(1, 250))
        for number in range(1, self._gateways + 1):
            way = loopback_proxy.LoopbackProxy(self._store.address)
            await self._open.enter_async_context(way)
            self._ways.append(way)
            process = gateway_process.GatewayProcess(
                f'gate-{number}',
                f'127.{net}.77.{number}',
                str(way.address),
                self._folder,
                _DATA_CENTRES[number % len(_DATA_CENTRES)],
            )
            self.processes.append(process)
            await self._open.enter_async_context(process)
        for process in self.processes:
            await self._until_ready(process)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        await self._open.aclose()

    async def run(self, seconds: float) -> None:
        """Play callers and faults, then check the whole."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(_CALLERS):
                group.create_task(self._call_until(until))
            group.create_task(self._break_until(until))
        await asyncio.sleep(1)
        for process in self.processes:
            if process.ended_by_itself:
                self.checks.broken('a gateway runs on', process.name)
        self.checks.at_the_end(_STAMPS)

    async def _add_searcher(self, searcher_id: str, service: str) -> None:
        searcher = scripted_searcher.ScriptedSearcher(
            self._ledger.replier(searcher_id, service),
        )
        await self._open.enter_async_context(searcher)
        self._searcher_by_id[searcher_id] = searcher
        way = loopback_proxy.LoopbackProxy(searcher.address)
        await self._open.enter_async_context(way)
        self._ways.append(way)
        self._store.put(
            store_calls.SEARCHERS,
            searcher_id,
            documents.searcher(
                service,
                way.address,
                zone=self._random.choice(_DATA_CENTRES),
                slots=4,
            ),
        )

    def _configure(self) -> None:
        self._version += 1
        self._written_at = asyncio.get_running_loop().time()
        self._store.put(
            store_calls.CONFIGURATION,
            store_calls.CONFIGURATION_NAME,
            documents.configuration(
                self._version,
                [
                    gateway_calls.route(
                        'search', **gateway_calls.gathered(self._shards)
                    ),
                    gateway_calls.route(
                        'stamp', service=_STAMPS, kind='non_idempotent'
                    ),
                    gateway_calls.route('read', service=_READS),
                    gateway_calls.route(
                        f'only-{self._version}', service=_READS
                    ),
                ],
                routing_table.DEFAULT_LIMITS,
            ),
        )

    async def _call_until(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        connection: http_connection.HttpConnection | None = None
        process = self.processes[0]
        while loop.time() < until:
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
        request_id = b'r%d' % next(self._ids)
        shards = self._shards
        ended = await gateway_calls.exchange(connection, kind, request_id)
        match ended:
            case outcome.Reply() if kind == 'search':
                own = shards
                if shards != self._shards or not self._is_in_force(process):
                    own = gateway_calls.set_of(ended) or shards
                self.checks.search(request_id, own, ended)
            case outcome.Reply():
                self.checks.single(
                    request_id,
                    _STAMPS if kind == 'stamp' else _READS,
                    ended,
                    is_idempotent=kind != 'stamp',
                )
            case _ if process.name in self._stopping and process.runs:
                self.checks.broken(
                    'a planned stop cuts nothing',
                    f'{request_id!r} at {process.name}: {ended}',
                )

    def _is_in_force(self, process: gateway_process.GatewayProcess) -> bool:
        now = asyncio.get_running_loop().time()
        harmed_at = max(
            self._harmed_at.get(process.name, 0),
            self._harmed_at.get('store', 0),
        )
        is_calm = now - harmed_at > _CALM_S
        return is_calm and now - self._written_at > _IN_FORCE_S

    async def _break_until(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            fault = self._random.choice(
                (
                    self._harm_way,
                    self._harm_way,
                    self._spoil_searcher,
                    self._spoil_searcher,
                    self._spoil_searcher,
                    self._replace_searcher,
                    self._crash_searcher,
                    self._pause_gateway,
                    self._kill_gateway,
                    self._stop_gateway,
                    self._reload_gateway,
                    self._harm_store,
                    self._change_configuration,
                ),
            )
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            pause_s = self._random.uniform(0.05, 0.4)
            if self._random.random() < _CALM_SHARE:
                # Bounds in time are checked where nothing happened for long.
                pause_s = _CALM_S + _IN_FORCE_S
            await asyncio.sleep(pause_s)

    async def _harm_way(self) -> None:
        way = self._random.choice(self._ways)
        self._touch_all()
        way.do_harm(self._random.choice(list(loopback_proxy.Harm)))
        await asyncio.sleep(self._random.uniform(0.2, 2))
        way.do_harm(loopback_proxy.Harm.NONE)
        self._touch_all()

    async def _spoil_searcher(self) -> None:
        searcher_id = self._random.choice(self._store.names('servers'))
        self._ledger.mood_by_id[searcher_id] = self._random.choice(
            searcher_ledger.MOODS,
        )

    async def _replace_searcher(self) -> None:
        """Let one searcher leave as planned; another takes its place."""
        searcher_id = self._random.choice(self._store.names('servers'))
        entry = self._store.spec(store_calls.SEARCHERS, searcher_id)
        if entry['state'] != 'ready':
            return
        service = entry['service']
        await self._add_searcher(f's-{service}-{next(self._ids)}', service)
        self._store.put(
            store_calls.SEARCHERS,
            searcher_id,
            entry | {'state': 'draining'},
        )
        self._ledger.leaving_at_by_id[searcher_id] = time.monotonic()
        await asyncio.sleep(_LEAVES_S)
        self._remove_entry(searcher_id)
        self._searcher_by_id[searcher_id].stop()

    async def _crash_searcher(self) -> None:
        """End one searcher without notice; its entry lapses later."""
        searcher_id = self._random.choice(self._store.names('servers'))
        entry = self._store.spec(store_calls.SEARCHERS, searcher_id)
        if entry['state'] != 'ready':
            return
        service = entry['service']
        self._searcher_by_id[searcher_id].stop()
        await self._add_searcher(f's-{service}-{next(self._ids)}', service)
        await asyncio.sleep(1)
        self._remove_entry(searcher_id)

    def _remove_entry(self, searcher_id: str) -> None:
        # One that leaves may crash as well; its entry goes once.
        if searcher_id in self._store.names(store_calls.SEARCHERS):
            self._store.remove(store_calls.SEARCHERS, searcher_id)

    async def _pause_gateway(self) -> None:
        process = self._random.choice(self.processes)
        self._touch_all()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        process.signal(signal.SIGCONT)
        self._touch_all()

    async def _kill_gateway(self) -> None:
        process = self._random.choice(self.processes)
        if process.name in self._stopping:
            return
        self._touch_all()
        process.signal(signal.SIGKILL)
        await process.wait()
        await process.start()

    async def _stop_gateway(self) -> None:
        process = self._random.choice(self.processes)
        if self._stopping or not process.runs:
            return
        self._touch_all()
        self._stopping.add(process.name)
        process.signal(signal.SIGTERM)
        await process.wait()
        self._stopping.discard(process.name)
        await process.start()

    async def _reload_gateway(self) -> None:
        process = self._random.choice(self.processes)
        if process.readiness and await gateway_calls.is_ready(process):
            process.signal(signal.SIGHUP)

    async def _harm_store(self) -> None:
        self._touch_all()
        self._harmed_at['store'] = asyncio.get_running_loop().time()
        self._store.forget()
        status = self._random.choice((429, 503, None))
        self._store.refuse = lambda path: status
        await asyncio.sleep(self._random.uniform(0.2, 2))
        self._store.refuse = lambda path: None
        self._harmed_at['store'] = asyncio.get_running_loop().time()

    async def _change_configuration(self) -> None:
        self._shards = self._random.choice(gateway_calls.SHARD_SETS)
        self._configure()

    def _touch_all(self) -> None:
        now = asyncio.get_running_loop().time()
        self._ledger.harmed_at = time.monotonic()
        for process in self.processes:
            self._harmed_at[process.name] = now

    async def _until_ready(
        self,
        process: gateway_process.GatewayProcess,
    ) -> None:
        for _ in range(_TRIES):
            if await gateway_calls.is_ready(process):
                return
            await asyncio.sleep(_POLL_S)
        self.checks.broken('a gateway starts', process.name)
