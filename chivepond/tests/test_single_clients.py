"""Requests within the limits that a gateway process serves in calm."""

import asyncio
import contextlib
import hashlib
import random

from chivepond.standins import scripted_searcher
from chivepond.tests import (
    client_limits,
    gateway_bench,
    gateway_processes,
    support,
)

#: The memory of the smallest hosts.
_MEMORY_MB = 160
_DEADLINE_MS = 8000
_BODY = random.Random(47).randbytes(client_limits.LIMITS.body_bytes)


async def _digest(request: scripted_searcher.Got) -> scripted_searcher.Told:
    digest = hashlib.sha256(request.body).hexdigest()
    return scripted_searcher.good(request, digest.encode())


@contextlib.asynccontextmanager
async def _gateway(folder):
    """Start one gateway as a process; yield its address."""
    async with gateway_bench.Bench() as bench:
        for number in range(3):
            await bench.searcher(f's-{number}', 'desk', _digest)
        client_limits.configure(bench)
        overrides = {'memory_mb': _MEMORY_MB, 'max_descriptors': 4100}
        gateways = await bench.enter(
            gateway_processes.started(bench, folder, 1, overrides)
        )
        yield gateways[0].callers


def _with_body(body: bytes) -> bytes:
    return gateway_bench.request(
        'POST', '/once/', left_ms=_DEADLINE_MS, body=body
    )


def _chunked(body: bytes, size: int, trailer: bytes = b'') -> bytes:
    head = gateway_bench.request(
        'POST',
        '/once/',
        left_ms=_DEADLINE_MS,
        more={'Transfer-Encoding': 'chunked'},
    )
    parts = [
        b'%x\r\n%s\r\n'
        % (len(body[start : start + size]), body[start : start + size])
        for start in range(0, len(body), size)
    ]
    return b''.join((head, *parts, b'0\r\n', trailer, b'\r\n'))


async def _read_reply(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.lower().split(b'\r\n')
    lengths = [
        int(line.partition(b':')[2])
        for line in lines
        if line.startswith(b'content-length:')
    ]
    return int(head.split(b' ')[1]), await reader.readexactly(lengths[0])


async def _replies(
    remote: tuple[str, int],
    parts: list[bytes],
    count: int = 1,
    *,
    pause_s: float = 0,
    read_after_s: float = 0,
) -> list[tuple[int, bytes]]:
    """Send parts of requests with pauses; return the replies."""
    reader, writer = await asyncio.open_connection(*remote)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(pause_s)
    await asyncio.sleep(read_after_s)
    async with asyncio.timeout(_DEADLINE_MS / 1000):
        replies = [await _read_reply(reader) for _ in range(count)]
    writer.close()
    return replies


def _good(body: bytes = b'') -> tuple[int, bytes]:
    return (200, hashlib.sha256(body).hexdigest().encode())


def test_bodies_up_to_the_limit_arrive_unchanged(tmp_path):
    """Guards against limits that a client within the pages' limits meets."""

    async def scenario() -> None:
        async with _gateway(tmp_path) as remote:
            assert await _replies(remote, [_with_body(_BODY)]) == [_good(_BODY)]
            for size in (1, 2, 7, 100, 4096, 65536, 262144):
                raw = _chunked(_BODY, size)
                assert await _replies(remote, [raw]) == [_good(_BODY)], size
            raw = _chunked(_BODY[:100], 30, b'X-Sum: 1\r\n')
            assert await _replies(remote, [raw]) == [_good(_BODY[:100])]

    support.run(scenario())


def test_requests_in_pieces_are_served(tmp_path):
    """Guards against a request that is lost where its pieces meet."""

    async def scenario() -> None:
        async with _gateway(tmp_path) as remote:
            raw = _with_body(_BODY)
            pieces = [
                raw[start : start + 40000]
                for start in range(0, len(raw), 40000)
            ]
            assert await _replies(remote, pieces, pause_s=0.1) == [_good(_BODY)]
            single = [bytes([byte]) for byte in _with_body(b'body')]
            assert await _replies(remote, single, pause_s=0.001) == [
                _good(b'body')
            ]
            long_head = gateway_bench.request(
                'GET', '/r/', left_ms=_DEADLINE_MS, more={'X-Long': 'a' * 15000}
            )
            many_fields = gateway_bench.request(
                'GET',
                '/r/',
                left_ms=_DEADLINE_MS,
                more={f'X-{number}': 'a' for number in range(1000)},
            )
            for head in (long_head, many_fields):
                assert await _replies(remote, [head]) == [_good()]

    support.run(scenario())


def test_requests_sent_ahead_are_served_in_order(tmp_path):
    """Guards against requests sent ahead that are dropped or mixed up."""

    async def scenario() -> None:
        async with _gateway(tmp_path) as remote:
            for count in (8, 50, 300):
                bodies = [b'%d' % number for number in range(count)]
                raw = b''.join(map(_with_body, bodies))
                for read_after_s in (0, 2):
                    replies = await _replies(
                        remote, [raw], count, read_after_s=read_after_s
                    )
                    assert replies == list(map(_good, bodies))
            whole = [_BODY[number:] for number in range(12)]
            raw = b''.join(map(_with_body, whole))
            replies = await _replies(remote, [raw], len(whole))
            assert replies == list(map(_good, whole))

    support.run(scenario())


def test_one_request_is_served_beside_a_thousand_idle_connections(tmp_path):
    """Guards against idle connections that keep others from being served."""

    async def scenario() -> None:
        async with _gateway(tmp_path) as remote:
            raw = gateway_bench.request('GET', '/r/', left_ms=_DEADLINE_MS)
            idle = [await asyncio.open_connection(*remote) for _ in range(1000)]
            assert await _replies(remote, [raw]) == [_good()]
            reader, writer = idle[0]
            writer.write(raw)
            assert await _read_reply(reader) == _good()
            for _, opened in idle:
                opened.close()

    support.run(scenario())
