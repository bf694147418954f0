"""Nodes that run commands, stepped by hand, with fakes at the interfaces."""

import asyncio
import contextlib
import dataclasses
import functools
import math
import types
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any
from unittest import mock

import msgspec
import result

from chivepond.control import claim_store, shard_index, view
from chivepond.entry import claim_sweeper, commands, drain_news
from chivepond.errors import unreachable
from chivepond.owner import command_runner
from chivepond.object_store import client as platform_client
from chivepond.settings import audit_section, deployment
from chivepond.standins import object_table
from chivepond.transport import replies, reply
from chivepond.wire import (
    codec,
    command_request,
    host,
    object_list,
    object_write,
    searcher_command,
    searcher_result,
)

#: What each node believes of who is live, so that they disagree.
LIVE_BY_NODE = types.MappingProxyType(
    {'n0': ['n0', 'n1'], 'n1': ['n1'], 'n2': ['n2']},
)
#: A group that `n0` finds to be owned by `n1`.
GROUP = 'g3'
_TICK_S = 0.001
_MOST_TURNS = 2000
STARTED_S = 1_700_000_000

LOST = result.Err(unreachable.Unreachable(message='lost', remedy='none'))


class Loop(asyncio.SelectorEventLoop):
    """The loop of one node, by the clock of the bench."""

    bench: 'Bench'
    slept_s = float(0)

    def settle(self) -> None:
        """Run until nothing is left to do at this time."""
        for _ in range(_MOST_TURNS):
            self.call_soon(self.stop)
            self.run_forever()
            due = self._scheduled and self._scheduled[0].when() <= self.time()
            if not self._ready and not due:
                return
        raise AssertionError(f'goes on for ever: {self._ready}')

    @property
    def due_at(self) -> float:
        """When the next timer is due, by the time of the bench."""
        if not self._scheduled:
            return math.inf
        return self._scheduled[0].when() + self.slept_s

    def time(self) -> float:
        """Return the bench's time, less what a suspended host slept."""
        return self.bench.now - self.slept_s


@dataclasses.dataclass(slots=True, eq=False)
class Parked:
    """A message on its way: what it does on arrival, and who waits."""

    what: str
    act: Callable[[], object]
    future: asyncio.Future[object]

    def answer(self, told: object) -> None:
        """Hand the reply over, unless the sender has given up."""
        if told is not None and not self.future.done():
            self.future.set_result(told)


class Line:
    """A client of the transport whose messages wait to be delivered."""

    is_away = False

    def __init__(
        self,
        bench: 'Bench',
        what: str,
        serve: Callable[[str, bytes], object],
    ) -> None:
        """Let ``serve`` answer a path and a body on delivery."""
        self._bench = bench
        self._what = what
        self._serve = serve

    async def post(self, path: str, body: bytes, timeout_s: float) -> object:
        """Park a POST until it is delivered, or its time is over."""
        return await self._bench.park(
            self._what,
            lambda: self._serve(path, body),
            timeout_s,
        )

    async def get(self, path: str, timeout_s: float) -> object:
        """Park a GET."""
        return await self.post(path, b'', timeout_s)

    async def post_fresh(self, *told: Any) -> object:
        """Park a POST; there are no connections here."""
        return await self.post(*told)


class Node:
    """The parts of one node that have a hand in commands."""

    def __init__(self, bench: 'Bench', node_id: str) -> None:
        """Build them over the fakes of ``bench``."""
        self.is_paused = False
        self._paused_at = float(0)
        self.loop = Loop()
        self.loop.bench = bench
        self.tasks: list[asyncio.Task[object]] = []
        line = Line(bench, 'platform', bench.serve_platform)
        self.platform_line = line
        with mock.patch.object(
            platform_client.counted_client,
            'CountedClient',
            lambda *_: line,
        ):
            platform = platform_client.PlatformClient(None, 1)
        claims = claim_store.ClaimStore(platform)
        self.runner = command_runner.CommandRunner(
            types.SimpleNamespace(queue=lambda _: bench.queue),
            claims,
        )
        searcher = host.Host('s', 'searcher', 'dc', 'r', '', 'live', 's', GROUP)
        hosts = types.SimpleNamespace(
            view=view.View({}, {'s': searcher}, {'dc': LIVE_BY_NODE[node_id]}),
        )
        settings = types.SimpleNamespace(
            node_id=node_id,
            data_centre='dc',
            region='r',
        )
        index = shard_index.ShardIndex('i', 1, {'shard': ['s']})
        self.commands = commands.Commands(
            settings,
            bench.configured,
            types.SimpleNamespace(current=lambda _: index),
            hosts,
            types.SimpleNamespace(
                post=bench.post_peer,
                drains=drain_news.DrainNews(),
            ),
            claims,
            self.runner,
            types.SimpleNamespace(command_done=lambda *_: None),
        )
        self.sweeper = claim_sweeper.ClaimSweeper(
            settings,
            bench.configured,
            hosts,
            claims,
        )

    def start(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[object]:
        """Start some work on this node."""
        task = self.loop.create_task(work)
        self.tasks.append(task)
        return task

    def pause(self) -> None:
        """Suspend the host, clock and all."""
        self.is_paused = True
        self._paused_at = self.loop.time()

    def resume(self) -> None:
        """Let it go on as if no time had passed."""
        if self.is_paused:
            self.is_paused = False
            self.loop.slept_s += self.loop.time() - self._paused_at

    def spin(self) -> None:
        """Let the node go on until it waits for messages or for time."""
        if not self.is_paused:
            self.loop.settle()

    def close(self) -> None:
        """End all work of the node."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.is_paused = False
        self.spin()
        self.loop.close()


class Bench:
    """Three nodes, a platform and a searcher that counts its runs."""

    def __init__(self) -> None:
        """Start with everything idle."""
        self.now = float(0)
        self.parked: list[Parked] = []
        self.runs_by_key: dict[str, int] = {}
        self.table = object_table.ObjectTable()
        self._patches = contextlib.ExitStack()
        clock = types.SimpleNamespace(time=lambda: STARTED_S + self.now)
        for module in (commands, claim_sweeper):
            self._patches.enter_context(
                mock.patch.object(module, 'time', clock),
            )
        self.configured = types.SimpleNamespace(
            service=lambda _: types.SimpleNamespace(deadline_ms=1000),
            document=deployment.Deployment(),
        )
        self.queue = types.SimpleNamespace(
            is_leaving=False,
            slot=_slot,
            command_client=Line(self, 'searcher', self.serve_searcher),
        )
        self.keep_for(60)
        self.node_by_id = {one: Node(self, one) for one in LIVE_BY_NODE}

    def keep_for(self, retention_s: int) -> None:
        """Put another retention in force."""
        self.configured.document = deployment.Deployment(
            audit=audit_section.AuditSection(claim_retention_s=retention_s),
        )

    def close(self) -> None:
        """End all nodes."""
        for node in self.node_by_id.values():
            node.close()
        self._patches.close()

    def spin(self) -> None:
        """Let all nodes that are not paused go on."""
        for node in self.node_by_id.values():
            node.spin()

    def send(self, node_id: str, key: str) -> asyncio.Task[object]:
        """Let a caller send a command."""
        request = command_request.CommandRequest('s', key, 'k', 'body', 'c')
        node = self.node_by_id[node_id]
        return node.start(node.commands.run(request))

    def deliver(self, place: int = 0) -> None:
        """Let one message arrive and be answered."""
        one = self.parked.pop(place)
        one.answer(one.act())
        self.spin()

    def reset(self, place: int = 0) -> None:
        """Break the connection of one message before it arrives."""
        self.parked.pop(place).answer(LOST)
        self.spin()

    def deliver_until(self, what: str) -> None:
        """Deliver in order until a message of this sort is the next."""
        while self.parked and self.parked[0].what != what:
            self.deliver()

    def jump(self) -> None:
        """Let time pass until some node has something to do, or wakes."""
        due = [
            node.loop.due_at
            for node in self.node_by_id.values()
            if not node.is_paused
        ]
        until = min(due, default=math.inf)
        if until == math.inf:
            for node in self.node_by_id.values():
                node.resume()
        else:
            self.now = max(self.now + _TICK_S, until)
        self.spin()

    def run_dry(self) -> None:
        """Deliver everything in order, and let a few seconds pass."""
        for _ in range(200):
            self.spin()
            if self.parked:
                self.deliver()
            else:
                self.now += 0.02

    async def park(
        self,
        what: str,
        act: Callable[[], object],
        timeout_s: float,
    ) -> object:
        """Wait for a reply; the message may still arrive afterwards."""
        future = asyncio.get_running_loop().create_future()
        self.parked.append(Parked(what, act, future))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return LOST

    async def post_peer(
        self,
        kind: object,
        node_id: str,
        path: str,
        message: object,
        timeout_s: float,
    ) -> object:
        """Carry a command to its owner, and the answer back."""
        owner = self.node_by_id[node_id]
        waits = asyncio.get_running_loop().create_future()
        self.parked.append(
            Parked('peer', lambda: self._arrive(owner, message, waits), waits),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await waits
        except TimeoutError:
            return LOST

    def serve_searcher(self, path: str, body: bytes) -> object:
        """Run a command, and count it."""
        told = codec.decode(searcher_command.SearcherCommand, body).unwrap()
        runs = self.runs_by_key.get(told.key, 0) + 1
        self.runs_by_key[told.key] = runs
        return result.Ok(
            reply.Reply(
                200,
                codec.encode(
                    searcher_result.SearcherResult(
                        told.key,
                        'done',
                        f'run {runs} of {told.key}',
                    ),
                ),
            ),
        )

    def serve_platform(self, path: str, body: bytes) -> object:
        """Answer one call on the platform."""
        *_, verb, kind, name = path.split('/')
        if verb == 'v1':
            listed = self.table.listed(name.partition('?')[0], 0)
            message = codec.encode(object_list.ObjectList(entries=listed))
            return result.Ok(reply.Reply(200, message))
        if not body:
            return _http(self.table.read(kind, name))
        write = codec.decode(object_write.ObjectWrite, body).unwrap()
        if verb == 'deletions':
            return _http(self.table.delete(kind, name, write))
        return _http(self.table.write(kind, name, write))

    def _arrive(
        self,
        owner: Node,
        message: object,
        waits: asyncio.Future[object],
    ) -> None:
        """Start the owner; its connection to the sender may still break."""
        task = owner.start(owner.runner.run(message))
        self.parked.append(Parked('wire', lambda: None, waits))
        task.add_done_callback(
            lambda ended: self.parked.append(
                Parked('answer', functools.partial(_result, ended), waits),
            ),
        )


def refused(key: str) -> object:
    """Return a searcher's refusal."""
    told = searcher_result.SearcherResult(key, 'refused')
    return result.Ok(reply.Reply(200, msgspec.json.encode(told)))


def _result(task: asyncio.Task[object]) -> object:
    return LOST if task.cancelled() else task.result()


def _http(answer: result.Result[Any, Any]) -> object:
    match answer:
        case result.Ok(message):
            return result.Ok(reply.Reply(200, codec.encode(message)))
    response = replies.of_problem(answer.unwrap_err())
    return result.Ok(reply.Reply(response.status_code, response.body))


@contextlib.asynccontextmanager
async def _slot(timeout_s: float) -> AsyncIterator[bool]:
    yield True
