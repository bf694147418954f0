"""Crowds of clients that a gateway process does not control."""

import asyncio
import types

import pytest

from chivepond.standins import scripted_searcher
from chivepond.tests import (
    client_crowds,
    client_limits,
    gateway_bench,
    gateway_processes,
    support,
)

#: Clients that send one unfinished request, and those that send many.
_CLIENTS = 380
_AHEAD_CLIENTS = 60
_PLAY_S = 5
_MEMORY_MB = 96
_MAX_DESCRIPTORS = 800
#: Less than the limit on bodies.
_UNFINISHED_BYTES = 262100
_AHEAD_BYTES = 131072
_DEADLINE_MS = 8000
#: A quarter of what requests may use of 300 MB.
_KEPT_MB = 300 / 16
_GIVEN_BACK_S = 20

_CROWDS = types.MappingProxyType(
    {
        'large-chunks': client_crowds.unfinished_chunks(
            '/r/', _UNFINISHED_BYTES, 32768
        ),
        'two-byte-chunks': client_crowds.unfinished_chunks(
            '/r/', _UNFINISHED_BYTES, 2
        ),
        'one-byte-chunks': client_crowds.unfinished_chunks(
            '/r/', _UNFINISHED_BYTES, 1
        ),
        'short-body': client_crowds.unfinished(
            '/r/', client_limits.LIMITS.body_bytes
        ),
        'many-fields': client_crowds.Sent(
            b'GET /r/ HTTP/1.1\r\n' + b'ab:cd\r\n' * 2000
        ),
        'get-ahead': client_crowds.ahead('GET', '/r/'),
        'post-ahead': client_crowds.ahead('POST', '/once/'),
        'get-ahead-no-route': client_crowds.ahead('GET', '/none/'),
        'bodies-ahead': client_crowds.bodies_ahead('/r/', _AHEAD_BYTES),
        'bodies-ahead-no-route': client_crowds.bodies_ahead(
            '/none/', _AHEAD_BYTES
        ),
    }
)


async def _echo(request: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(request, request.line)


@pytest.mark.parametrize('crowd', _CROWDS)
def test_a_gateway_bears_a_crowd_within_its_memory(crowd, tmp_path):
    """Guards against clients that make a gateway run out of memory."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-0', 'desk', _echo)
            client_limits.configure(bench)
            overrides = {
                'memory_mb': _MEMORY_MB,
                'max_descriptors': _MAX_DESCRIPTORS,
            }
            gateways = await bench.enter(
                gateway_processes.started(bench, tmp_path, 1, overrides)
            )
            gateway = gateways[0]
            pid = gateway.process.pid
            sent = _CROWDS[crowd]
            async with client_crowds.connected(
                gateway.callers,
                _AHEAD_CLIENTS if sent.repeated else _CLIENTS,
                sent,
            ):
                descriptors = await client_crowds.peak_descriptors(pid, _PLAY_S)
            ordinary = gateway_bench.request('GET', '/r/', left_ms=_DEADLINE_MS)
            status = await gateway_processes.exchange(gateway.callers, ordinary)
            assert gateway.is_running
            assert status == 200
            assert client_crowds.peak_mb(pid) < _MEMORY_MB
            assert descriptors < _MAX_DESCRIPTORS

    support.run(scenario())


def test_memory_is_given_back_after_a_crowd(tmp_path):
    """Guards against a crowd that a gateway goes on paying for."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-0', 'desk', _echo)
            client_limits.configure(bench)
            overrides = {'memory_mb': 300, 'max_descriptors': _MAX_DESCRIPTORS}
            gateways = await bench.enter(
                gateway_processes.started(bench, tmp_path, 1, overrides)
            )
            pid = gateways[0].process.pid
            before_mb = client_crowds.resident_mb(pid)
            async with client_crowds.connected(
                gateways[0].callers, _CLIENTS, _CROWDS['short-body']
            ):
                await asyncio.sleep(_PLAY_S)
            async with asyncio.timeout(_GIVEN_BACK_S):
                while client_crowds.resident_mb(pid) > before_mb + _KEPT_MB:
                    await asyncio.sleep(0.1)

    support.run(scenario())
