"""Shared helpers of the tests: processes and requests."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time
import types
from collections.abc import Coroutine
from typing import Any, Self

import msgspec
import result

from chivepond.errors import problem
from chivepond.standins import deployment_plan, embedded, placement
from chivepond.transport import address, client, exchange
from chivepond.wire import (
    codec,
    command_answer,
    command_request,
    host,
    search_answer,
    search_request,
)

TIMEOUT_S = 5
_CONNECTIONS = 8
_READY_TRIES = 400
_READY_POLL_S = 0.05
_BIN_DIR = pathlib.Path(sys.executable).parent

Answer = result.Result[search_answer.SearchAnswer, problem.Problem]


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on a new event loop."""
    asyncio.run(main)


async def search(
    http_client: client.Client, service: str, query: str = 'a'
) -> Answer:
    """Send a search for a service to one node."""
    return await exchange.post(
        search_answer.SearchAnswer,
        http_client,
        '/v1/search',
        search_request.SearchRequest(
            service=service,
            query=query,
            caller='test',
            limit=100,
        ),
        TIMEOUT_S,
    )


class Program:
    """A running program, killed when the ``async with`` block ends."""

    __slots__ = (
        '_arguments',
        '_output_path',
        '_output_reader',
        'lines',
        'process',
    )

    def __init__(
        self,
        *arguments: str,
        output_path: pathlib.Path | None = None,
    ) -> None:
        """Take the name of an installed program and its arguments.

        The output is also appended to the file at ``output_path``, if given.
        """
        self._arguments = arguments
        self._output_path = output_path
        self.lines: list[str] = []
        self._output_reader: asyncio.Task[None] | None = None
        self.process: asyncio.subprocess.Process

    async def __aenter__(self) -> Self:
        """Start the process and collect its output in ``lines``."""
        name, *rest = self._arguments
        self.process = await asyncio.create_subprocess_exec(
            str(_BIN_DIR / name),
            *rest,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._output_reader = asyncio.create_task(self._collect_lines())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Kill the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def line_with(self, text: str) -> str:
        """Wait for a line that contains ``text`` and return it.

        Raises AssertionError when none comes within 20 seconds.
        """
        for _ in range(_READY_TRIES):
            for line in self.lines:
                if text in line:
                    return line
            await asyncio.sleep(_READY_POLL_S)
        raise AssertionError(f'no line with {text!r} in {self.lines}')

    async def stop(self, stop_signal: signal.Signals) -> int:
        """Send a signal, wait for the exit and return the exit code."""
        self.process.send_signal(stop_signal)
        return await self.process.wait()

    async def _collect_lines(self) -> None:
        stream = self.process.stdout
        if stream is None:
            return
        async for line in stream:
            self.lines.append(line.decode().rstrip())
            if self._output_path is not None:
                with self._output_path.open('ab') as output:
                    output.write(line)


class Processes:
    """A deployment in which each component is a separate process."""

    __slots__ = (
        '_folder',
        '_stack',
        'address_by_id',
        'listens_by_id',
        'node_by_id',
        'plan',
        'platform',
        'searcher_by_id',
    )

    def __init__(
        self,
        plan: deployment_plan.DeploymentPlan,
        folder: pathlib.Path,
    ) -> None:
        """Write the settings files to ``folder``."""
        self.plan = plan
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self.node_by_id: dict[str, Program] = {}
        self.searcher_by_id: dict[str, Program] = {}
        self.address_by_id: dict[str, address.Address] = {}
        self.listens_by_id: dict[str, dict[str, str]] = {}
        self.platform: client.Client

    async def __aenter__(self) -> Self:
        """Start platform, searchers and nodes; wait until all are ready."""
        await self._start_platform()
        for service in self.plan.services:
            for seed, searcher in enumerate(
                placement.service_placements(self.plan, service),
            ):
                profile = service.searcher_profile(searcher.searcher_id, seed)
                await self._start_searcher(searcher.searcher_id, profile)
            index_record = placement.index_record_of(self.plan, service, 1)
            await self.write('index', service.name, index_record)
        await self.write(
            'deployment', 'draft', embedded.draft_document_of(self.plan)
        )
        node_hosts = []
        for data_centre in self.plan.data_centres:
            for number in range(self.plan.nodes_per_data_centre):
                node_hosts.append(
                    await self.start_node(
                        f'{data_centre}-{number}', data_centre
                    )
                )
        await self._publish_hosts(node_hosts)
        for node_id in self.node_by_id:
            await self.wait_ready(node_id)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Kill all processes."""
        await self._stack.aclose()

    def caller_client(self, node_id: str) -> client.Client:
        """Return a client for the address of a node for callers."""
        return client.Client(self.address_by_id[node_id], _CONNECTIONS)

    def operator_client(self, node_id: str) -> client.Client:
        """Return a client for the address of a node for operators."""
        listen_address = self.listens_by_id[node_id]['operators']
        return client.Client(
            address.parse(listen_address).unwrap(), _CONNECTIONS
        )

    async def write(self, kind: str, name: str, message: object) -> None:
        """Create an object on the platform."""
        write_request = {'expect': 0, 'token': '', 'body': message}
        body = msgspec.json.encode(write_request)
        path = f'/v1/objects/{kind}/{name}'
        (await self.platform.post(path, body, TIMEOUT_S)).unwrap()

    async def wait_ready(self, node_id: str) -> None:
        """Wait until a node is ready for callers."""
        async with self.caller_client(node_id) as http_client:
            for _ in range(_READY_TRIES):
                if await is_ready(http_client):
                    return
                await asyncio.sleep(_READY_POLL_S)
        raise AssertionError(f'{node_id} is not ready')

    async def start_node(
        self,
        node_id: str,
        data_centre: str,
        settings: dict[str, object] | None = None,
    ) -> host.Host:
        """Start a node; ``settings`` override those of the plan."""
        default_settings = {
            'node_id': node_id,
            'data_centre': data_centre,
            'region': data_centre,
            'callers': '127.0.0.1:0',
            'peers': '127.0.0.1:0',
            'operators': '127.0.0.1:0',
            'platform': str(self.address_by_id['platform']),
            'secret': 'processes',
            'log_format': 'json',
        }
        path = self._folder / f'{node_id}.yaml'
        path.write_bytes(
            msgspec.yaml.encode(
                default_settings | self.plan.node | (settings or {}),
            )
        )
        program = await self._start(
            node_id, 'chivepondd', '--settings', str(path)
        )
        self.node_by_id[node_id] = program
        line = await program.line_with('node started')
        listen_by_side = msgspec.json.decode(line)
        self.listens_by_id[node_id] = listen_by_side
        self.address_by_id[node_id] = address.parse(
            listen_by_side['callers'],
        ).unwrap()
        return host.Host(
            host_id=node_id,
            role='node',
            data_centre=data_centre,
            region=data_centre,
            address=listen_by_side['peers'],
        )

    async def _start(self, name: str, *arguments: str) -> Program:
        """Start a program; a failed test keeps its output in ``name``.log."""
        output_path = self._folder / f'{name}.log'
        return await self._stack.enter_async_context(
            Program(*arguments, output_path=output_path)
        )

    async def _start_platform(self) -> None:
        program = await self._start('platform', 'chivepond-standin', 'platform')
        address_line = await program.line_with('127.0.0.1:')
        platform_address = address.parse(address_line).unwrap()
        self.address_by_id['platform'] = platform_address
        self.platform = client.Client(platform_address, _CONNECTIONS)

    async def _start_searcher(self, searcher_id: str, profile: object) -> None:
        path = self._folder / f'{searcher_id}.yaml'
        path.write_bytes(msgspec.yaml.encode(profile))
        program = await self._start(
            searcher_id,
            'chivepond-standin',
            'searcher',
            '--profile',
            str(path),
        )
        address_line = await program.line_with('127.0.0.1:')
        self.searcher_by_id[searcher_id] = program
        self.address_by_id[searcher_id] = address.parse(address_line).unwrap()

    async def _publish_hosts(self, node_hosts: list[host.Host]) -> None:
        hosts = list(node_hosts)
        for service in self.plan.services:
            hosts.extend(
                host.Host(
                    host_id=searcher.searcher_id,
                    role='searcher',
                    data_centre=searcher.data_centre,
                    region=searcher.data_centre,
                    address=str(self.address_by_id[searcher.searcher_id]),
                    service=service.name,
                    replica_group=searcher.group,
                )
                for searcher in placement.service_placements(self.plan, service)
            )
        body = codec.encode(hosts)
        (await self.platform.post('/standin/hosts', body, TIMEOUT_S)).unwrap()


async def is_ready(http_client: client.Client) -> bool:
    """Return whether the readiness check of a node succeeds."""
    match await http_client.get('/readyz', 1):
        case result.Ok(reply):
            return reply.status == 200
    return False


async def command(
    http_client: client.Client,
    service: str,
    name: str,
    deadline_ms: float = 8000,
    issued_ms: int = 0,
) -> result.Result[command_answer.CommandAnswer, problem.Problem]:
    """Send a command with a key that ends with ``name``.

    ``issued_ms`` is the Unix time in the key; zero stands for now.
    """
    return await exchange.post(
        command_answer.CommandAnswer,
        http_client,
        '/v1/commands',
        command_request.CommandRequest(
            service,
            f'{issued_ms or int(time.time() * 1000)}-{name:->8}',
            'member',
            'stamp',
            'test',
            deadline_ms,
        ),
        TIMEOUT_S * 2,
    )
