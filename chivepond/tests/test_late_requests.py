"""Requests that arrive late in the grace of a planned stop of a process."""

import asyncio
import contextlib
import itertools
import random
import signal
import types

import pytest

from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, gateway_processes, support

_GRACE_S = 6
_DEADLINE_MS = 8000
_CLIENTS = 12
_SHARDS = ('a', 'b', 'c')
#: Statuses that promise that the request has not run.
_NOT_RUN = frozenset((408, 421, 429, 503))
#: Work that does not end before the process, from two seconds on.
_LONG_S = 4
_LONG_AFTER_S = 2
_BODY_PARTS = 8

#: Path, route fields and connection limit of a kind of request.
_ROUTES = types.MappingProxyType(
    {
        'single': ({'service': 'a'}, 40),
        'unrepeatable': ({'service': 'a', 'kind': 'non_idempotent'}, 40),
        'gathered': (
            {'gather': list(_SHARDS), 'top_k': 2, 'min_shard_ratio': 1},
            40,
        ),
        'forwarded': ({'service': 'a', 'kind': 'non_idempotent'}, 2),
    }
)


class _Client:
    """Sends one request after another until no connection is accepted."""

    def __init__(self, remote: tuple[str, int], name: str, seed: int) -> None:
        self.remote = remote
        self._name = name
        self._random = random.Random(f'{seed} {name}')
        self._counter = itertools.count()
        #: Status by request identifier; 0 for a request without an answer.
        self.status_by_id: dict[str, int] = {}
        #: When the last request with an answer was sent, on the loop's clock.
        self.last_sent_at: float = 0

    async def run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                await self._use_connection()

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*self.remote)
        status = 1
        while status and not reader.at_eof():
            request_id = f'{self._name}-{next(self._counter)}'
            sent_at = asyncio.get_running_loop().time()
            status = await self._send(reader, writer, request_id)
            self.status_by_id[request_id] = status
            if status:
                self.last_sent_at = sent_at
            await asyncio.sleep(self._random.uniform(0, 0.1))
        writer.close()

    async def _send(self, reader, writer, request_id: str) -> int:
        body = b'.' * self._random.choice((1, 400))
        raw = gateway_bench.request(
            'POST',
            '/r/',
            request_id=request_id,
            body=body,
            left_ms=_DEADLINE_MS,
        )
        if self._random.random() < 0.2:
            # The body of a fifth of the requests arrives slowly.
            return await _send_slowly(reader, writer, raw)
        return await gateway_processes.status_of(reader, writer, raw)


async def _send_slowly(reader, writer, raw: bytes) -> int:
    part = len(raw) // _BODY_PARTS + 1
    for start in range(0, len(raw) - part, part):
        writer.write(raw[start : start + part])
        await asyncio.sleep(0.05)
        if writer.is_closing() or reader.at_eof():
            return 0
    last_start = (len(raw) - 1) // part * part
    return await gateway_processes.status_of(reader, writer, raw[last_start:])


class _Work:
    """Works for a time that varies, and for a long one while ``is_long``."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.is_long = False

    async def serve(
        self, request: scripted_searcher.Got
    ) -> scripted_searcher.Told:
        work_s = self._random.choice((0.02, 0.1, 0.3, 0.6, 1.2))
        await asyncio.sleep(_LONG_S if self.is_long else work_s)
        return scripted_searcher.good(request, bytes(16))


async def _play(kind: str, seed: int, folder, *, becomes_long: bool) -> None:
    """Stop a gateway while clients send; check what became of each request."""
    route, connection_cap = _ROUTES[kind]
    work = _Work(seed)
    async with gateway_bench.Bench() as bench:
        searchers = [
            await bench.searcher(f's-{shard}-{number}', shard, work.serve)
            for shard in _SHARDS
            for number in range(2)
        ]
        bench.configure(
            1,
            gateway_bench.route(
                'r',
                '/r/',
                timeout_ms=_DEADLINE_MS,
                target_latency_ms=2000,
                **route,
            ),
            connection_cap=connection_cap,
        )
        gateways = await bench.enter(
            gateway_processes.started(
                bench, folder, 3, {'stop_grace_s': _GRACE_S}
            )
        )
        # Only one of the three forwards requests, whose searchers have few
        # connections.
        for stopped in gateways if kind == 'forwarded' else gateways[:1]:
            clients = [
                _Client(gateway.callers, f'{stopped.name}-{number}', seed)
                for number, gateway in enumerate(gateways * _CLIENTS)
                if gateway.is_running
            ]
            running = [asyncio.create_task(one.run()) for one in clients]
            await asyncio.sleep(1)
            stopped_at = asyncio.get_running_loop().time()
            stopped.send_signal(signal.SIGTERM)
            await asyncio.sleep(_LONG_AFTER_S)
            work.is_long = becomes_long
            async with asyncio.timeout(_GRACE_S):
                await stopped.wait()
            work.is_long = False
            await _stop_clients(clients, running, stopped.callers)
            assert stopped.process.returncode == 0
            _check(clients, searchers)
            late_at = stopped_at + _LONG_AFTER_S
            assert any(
                client.last_sent_at > late_at
                for client in clients
                if client.remote == stopped.callers
            )


async def _stop_clients(clients, running, stopped: tuple[str, int]) -> None:
    """Wait for the clients of the stopped gateway, and end the others."""
    async with asyncio.timeout(2):
        for client, task in zip(clients, running, strict=True):
            if client.remote == stopped:
                await task
            else:
                task.cancel()


def _check(clients, searchers) -> None:
    received = {
        request.request_id.decode()
        for searcher in searchers
        for request in searcher.got
    }
    statuses = {}
    for client in clients:
        statuses |= client.status_by_id
    lost = {one for one, status in statuses.items() if not status}
    refused = {one for one, status in statuses.items() if status in _NOT_RUN}
    assert set(statuses.values()) <= _NOT_RUN | {0, 200, 502}
    assert 200 in statuses.values()
    assert not lost & received
    assert not refused & received


@pytest.mark.parametrize('kind', _ROUTES)
def test_late_requests_of_a_planned_stop_are_answered(kind, tmp_path):
    """Guards against late requests that are passed on and then cut."""
    support.run(_play(kind, 44, tmp_path, becomes_long=False))


@pytest.mark.parametrize('kind', ['single', 'unrepeatable'])
def test_late_requests_with_unforeseen_work_are_answered(kind, tmp_path):
    """Guards against requests that are cut as they take longer than before."""
    support.run(_play(kind, 45, tmp_path, becomes_long=True))
