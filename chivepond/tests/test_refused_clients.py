"""What clients learn that a gateway refuses, and who is refused."""

import asyncio
import dataclasses
import pathlib

import msgspec
import pytest

from chivepond.settings import gateway_settings, loader
from chivepond.standins import scripted_searcher
from chivepond.tests import (
    client_crowds,
    client_limits,
    gateway_bench,
    support,
)
from chivepond.transport import bounded_connection, request_memory

_DEADLINE_MS = 8000
_WAIT_S = 8
#: A quarter of it holds one body of the largest size, but not two.
_MEMORY_MB = 1
#: The state of an open connection in /proc/net/tcp.
_ESTABLISHED = '01'
_LARGE_BYTES = 200000
_SMALL_BYTES = 150000
_REPLY_BYTES = 100000


async def _reply(request: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(request, bytes(_REPLY_BYTES))


async def _setup(bench: gateway_bench.Bench, **limits: float):
    searcher = await bench.searcher('s-0', 'desk', _reply)
    client_limits.configure(
        bench, dataclasses.replace(client_limits.LIMITS, **limits)
    )
    gateway = await bench.ready_gateway(memory_mb=_MEMORY_MB)
    address = gateway.client_address
    return searcher, (address.ip, address.port)


def _request(path: str, body: bytes = b'') -> bytes:
    method = 'POST' if body else 'GET'
    return gateway_bench.request(method, path, left_ms=_DEADLINE_MS, body=body)


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(_WAIT_S):
        return await reader.read()


def test_the_largest_request_is_refused_when_memory_is_short():
    """Guards against a refusal that promises nothing, or hits small clients."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher, remote = await _setup(bench)
            large, large_writer = await asyncio.open_connection(*remote)
            large_writer.write(_request('/once/', bytes(_LARGE_BYTES))[:-1])
            await asyncio.sleep(0.2)
            small, small_writer = await asyncio.open_connection(*remote)
            raw = _request('/once/', bytes(_SMALL_BYTES))
            small_writer.write(raw[:-1])
            refusal = await _read_all(large)
            assert refusal.startswith(b'HTTP/1.1 503 ')
            assert b'\r\nRetry-After: ' in refusal
            assert b'\r\nConnection: close\r\n' in refusal
            assert not searcher.got
            small_writer.write(raw[-1:])
            line = await asyncio.wait_for(small.readline(), _WAIT_S)
            assert line.startswith(b'HTTP/1.1 200 ')
            assert len(searcher.got) == 1
            for writer in (large_writer, small_writer):
                writer.close()

    support.run(scenario())


def test_a_small_request_is_served_while_memory_is_used_up():
    """Guards against callers that pay for the requests of others."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, remote = await _setup(bench)
            unfinished = _request('/once/', bytes(_SMALL_BYTES))[:-1]
            writers = []
            for _ in range(20):
                _, writer = await asyncio.open_connection(*remote)
                writer.write(unfinished)
                writers.append(writer)
            reader, writer = await asyncio.open_connection(*remote)
            writer.write(_request('/r/'))
            line = await asyncio.wait_for(reader.readline(), _WAIT_S)
            assert line.startswith(b'HTTP/1.1 200 ')
            for opened in (*writers, writer):
                opened.close()

    support.run(scenario())


def test_a_client_that_still_sends_gets_its_refusal():
    """Guards against a reset that destroys a response on its way."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, remote = await _setup(bench)
            reader, writer = await asyncio.open_connection(*remote)
            writer.write(_request('/once/', bytes(4000000)))
            await asyncio.sleep(0.5)
            refusal = await _read_all(reader)
            assert refusal.startswith(b'HTTP/1.1 413 ')
            writer.close()

    support.run(scenario())


def test_a_request_that_stops_behind_another_one_is_not_waited_for():
    """Guards against a connection that runs no time-out after a response."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, remote = await _setup(bench, header_timeout_s=0.3)
            reader, writer = await asyncio.open_connection(*remote)
            writer.write(_request('/r/') + _request('/r/')[:-1])
            answers = await _read_all(reader)
            assert answers.startswith(b'HTTP/1.1 200 ')
            assert b'HTTP/1.1 408 ' in answers
            writer.close()

    support.run(scenario())


def test_a_client_that_reads_nothing_is_disconnected():
    """Guards against responses that are held for as long as a client likes."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, remote = await _setup(bench, idle_timeout_s=0.5)
            _, writer = await asyncio.open_connection(*remote, limit=1)
            async with asyncio.timeout(_WAIT_S):
                while not writer.transport.is_closing():
                    writer.write(_request('/r/'))
                    await asyncio.sleep(0.01)

    support.run(scenario())


class _UnreadTransport(asyncio.Transport):
    """A transport whose peer reads nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def close(self) -> None:
        """Wait until the peer has read all."""

    def abort(self) -> None:
        self.is_aborted = True

    def get_write_buffer_size(self) -> int:
        return 1

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits."""


class _Parser(asyncio.Protocol):
    def attach(self, connection) -> None:
        """Ignore the connection."""


def test_a_connection_that_closes_waits_no_longer_for_its_client():
    """Guards against descriptors of clients that never read the end."""

    async def scenario() -> None:
        bounds = bounded_connection.Bounds(
            request_memory.RequestMemory(memory_mb=1, share=0.25), lambda: 0.01
        )
        connection = bounded_connection.BoundedConnection(_Parser(), bounds)
        transport = _UnreadTransport()
        connection.connection_made(transport)
        connection.close()
        assert not transport.is_aborted
        async with asyncio.timeout(_WAIT_S):
            while not transport.is_aborted:
                await asyncio.sleep(0.01)

    support.run(scenario())


class _Holder:
    def __init__(self) -> None:
        self.is_refused = False

    def refuse_for_memory(self) -> None:
        self.is_refused = True


@pytest.mark.parametrize('share', [0, 0.04, 0.51, 1, -1])
def test_a_part_of_the_memory_that_is_too_small_or_large_is_refused(
    share, tmp_path
):
    """Guards against a setting that refuses all clients, or none."""
    settings = gateway_bench.settings(store='127.0.0.1:1')
    path = tmp_path / 'gateway.yaml'
    fields = msgspec.to_builtins(settings) | {'request_memory_share': share}
    path.write_bytes(msgspec.json.encode(fields))
    error = loader.load(gateway_settings.GatewaySettings, path).unwrap_err()
    assert 'request_memory_share' in error.message


def test_a_refused_client_is_counted_while_its_request_is_served():
    """Guards against served requests that use memory beyond the limit."""
    memory = request_memory.RequestMemory(memory_mb=1, share=0.25)
    holder = _Holder()
    memory.update(holder, request_memory.Holding(400000, 200000))
    assert holder.is_refused
    assert memory.total_bytes == 200000


def test_memory_is_free_again_once_a_connection_is_gone():
    """Guards against a count that keeps what has been given back."""
    memory = request_memory.RequestMemory(memory_mb=1, share=0.25)
    served, receiving = _Holder(), _Holder()
    memory.update(served, request_memory.Holding(200000, 0))
    memory.update(receiving, request_memory.Holding(100000, 100000))
    assert [served.is_refused, receiving.is_refused] == [False, True]
    assert memory.total_bytes == 200000
    memory.release(served)
    memory.release(receiving)
    assert memory.total_bytes == 0


def _unread_bytes(port: int) -> int:
    """Return what lies unread in the kernel for connections to ``port``."""
    rows = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    return sum(
        int(row.split()[4].partition(':')[2], 16)
        for row in rows
        if row.split()[1].endswith(f':{port:04X}')
        and row.split()[3] == _ESTABLISHED
    )


def test_bytes_that_lie_unread_stay_within_their_part_of_the_memory():
    """Guards against clients whose bytes use memory before they are read."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, remote = await _setup(bench)
            sent = client_crowds.ahead('GET', '/none/')
            async with client_crowds.connected(remote, 5, sent):
                await asyncio.sleep(2)
                unread_bytes = _unread_bytes(remote[1])
            # The kernel doubles the size that was asked for.
            assert 0 < unread_bytes <= 5 * 2 * 8192

    support.run(scenario())
