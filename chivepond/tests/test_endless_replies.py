"""Searchers whose replies never end, beside a gateway process."""

import asyncio
import contextlib
import pathlib
import statistics

import pytest

from chivepond.gateway import http_connection, reply_buffers
from chivepond.platform import headers
from chivepond.soak import gateway_process, loopback_subnet
from chivepond.standins import endless_searcher, scripted_searcher
from chivepond.tests import endless_processes, gateway_bench, support

_REQUESTS_A_SECOND = 20
_LOAD_S = 3
_DEADLINE_MS = 3000
_TARGET_MS = 300
#: A gateway without such searchers uses 33 MB; replies may use a quarter of the
#: 300 MB that it has.
_MAX_PEAK_MB = 33 + 75
_MAX_CORE_SHARE = 0.3
_MAX_CORE_SHARE_OF_MANY = 0.7
_SOUND = 'sound'
_SUBNET = 170


async def _echo(request: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(request, request.line)


@contextlib.asynccontextmanager
async def _gateway(bench: gateway_bench.Bench, folder: pathlib.Path):
    """Start a gateway as a process; yield it once it is ready."""
    with loopback_subnet.LoopbackSubnet(
        _SUBNET, 1, gateway_process.PORTS
    ) as subnet:
        process = gateway_process.GatewayProcess(
            'gate-1',
            subnet.ip(1),
            str(bench.store.address),
            folder,
            'base',
            {'entry_settle_s': 0},
        )
        async with process:
            async with asyncio.timeout(20):
                while not await _is_ready(process):
                    await asyncio.sleep(0.05)
            # The bucket of second sends starts empty.
            await asyncio.sleep(1)
            yield process


async def _is_ready(process: gateway_process.GatewayProcess) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*process.readiness)
    except OSError:
        return False
    writer.write(b'GET /api/ready HTTP/1.1\r\nHost: test\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return b' 200 ' in line


async def _ask(process, path: str) -> tuple[int, bytes, float]:
    """Send one request; return the status, the body and the seconds."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    connection = http_connection.HttpConnection(
        headers.REQUEST_ID, lambda closed: None
    )
    await loop.create_connection(lambda: connection, *process.callers)
    raw = gateway_bench.request('GET', path, left_ms=_DEADLINE_MS)
    async with asyncio.timeout(_DEADLINE_MS / 1000 + 1):
        reply = gateway_bench.reply_of(await connection.begin(raw, b''))
    connection.abort()
    return reply.status, reply.body, loop.time() - began_at


async def _load(process, services):
    """Ask each service; return the answers by service."""
    tasks = {service: [] for service in services}
    for _ in range(_REQUESTS_A_SECOND * _LOAD_S):
        for service, asked in tasks.items():
            asked.append(asyncio.create_task(_ask(process, f'/{service}/')))
        await asyncio.sleep(1 / _REQUESTS_A_SECOND)
    return {
        service: await asyncio.gather(*asked)
        for service, asked in tasks.items()
    }


async def _start_services(
    stack: contextlib.AsyncExitStack, bench: gateway_bench.Bench, parts
) -> list[str]:
    """Start a sound service, and one with an endless searcher for each part.

    The endless searcher is the nearest one of three.
    """
    for part in parts:
        endless = await stack.enter_async_context(
            endless_processes.started(part)
        )
        bench.register(f'{part}-0', part, endless)
        for number in (1, 2):
            await bench.searcher(f'{part}-{number}', part, _echo, zone='hub')
    for number in range(3):
        await bench.searcher(f'sound-{number}', _SOUND, _echo)
    services = [_SOUND, *parts]
    bench.configure(
        1,
        *(
            gateway_bench.route(
                service,
                f'/{service}/',
                service=service,
                max_attempts=2,
                timeout_ms=_DEADLINE_MS,
                target_latency_ms=_TARGET_MS,
            )
            for service in services
        ),
    )
    return services


async def _play(parts, folder: pathlib.Path, max_core_share: float) -> None:
    """Check the answers, the memory and the work of a gateway under load."""
    async with contextlib.AsyncExitStack() as stack:
        bench = await stack.enter_async_context(gateway_bench.Bench())
        services = await _start_services(stack, bench, parts)
        process = await stack.enter_async_context(_gateway(bench, folder))
        core_s_before = endless_processes.core_seconds(process)
        answers = await _load(process, services)
        core_share = (
            endless_processes.core_seconds(process) - core_s_before
        ) / _LOAD_S
        for service, asked in answers.items():
            line = f'GET /{service}/ HTTP/1.1'.encode()
            assert {answer[:2] for answer in asked} == {(200, line)}
            # Second sends are few until the budget has grown.
            times = [answer[2] for answer in asked]
            assert statistics.quantiles(times, n=10)[-1] < _TARGET_MS / 1000
        sound_times = [answer[2] for answer in answers[_SOUND]]
        assert max(sound_times) < _TARGET_MS / 1000
        assert core_share < max_core_share
        assert endless_processes.peak_mb(process) < _MAX_PEAK_MB

    log = (folder / 'gate-1.log').read_text()
    for part in parts:
        aborted = f'"name":"{part}-0","why":"a reply'
        assert aborted in log or f'"name":"{part}-0","why":"too many' in log


@pytest.mark.parametrize('part', endless_searcher.ReplyPart)
def test_a_reply_without_end_is_aborted_and_another_searcher_tried(
    part, tmp_path
):
    """Guards against an endless reply that occupies the whole gateway."""
    support.run(_play([part], tmp_path, _MAX_CORE_SHARE))


def test_endless_replies_of_many_searchers_leave_other_services_unharmed(
    tmp_path,
):
    """Guards against endless replies that use up memory or time together."""
    parts = list(endless_searcher.ReplyPart)
    support.run(_play(parts, tmp_path, _MAX_CORE_SHARE_OF_MANY))


class _Receiver:
    def __init__(self) -> None:
        self.is_dropped = False

    def drop_reply(self, reason: str) -> None:
        self.is_dropped = True


def test_the_largest_reply_is_dropped_when_memory_is_short():
    """Guards against many endless replies that exceed the memory together."""
    buffers = reply_buffers.ReplyBuffers(memory_mb=4)
    receivers = [_Receiver() for _ in range(3)]
    for receiver, size in zip(receivers, (400000, 500000, 100000), strict=True):
        buffers.add(receiver, size)
    buffers.add(receivers[2], 90000)
    assert [one.is_dropped for one in receivers] == [False, True, False]
    buffers.release(receivers[1])
    buffers.add(receivers[0], 100000)
    assert not receivers[0].is_dropped
