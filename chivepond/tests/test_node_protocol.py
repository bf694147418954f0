"""The limits of a node's servers on what clients send."""

import asyncio
import contextlib

import msgspec
import result

from chivepond.tests import support
from chivepond.transport import (
    address,
    bodies,
    endpoints,
    node_protocol,
    request_memory,
    server,
)
from chivepond.wire import error_reply

_WAIT_S = 20
_BODY = b'{"text":"a"}'


class _Message(msgspec.Struct):
    text: str


async def _serve(message: _Message) -> endpoints.Outcome:
    return result.Ok(message)


@contextlib.asynccontextmanager
async def _server(memory_mb: float = 300, max_connections: int = 100):
    """Start a server with one endpoint; yield its address."""
    limits = node_protocol.Limits(
        request_memory.RequestMemory(memory_mb, share=0.25), max_connections
    )
    application = endpoints.application(
        [endpoints.post('/echo', _Message, _serve)]
    )
    async with server.Server(
        application,
        address.Address('127.0.0.1', 0),
        protocol=node_protocol.ProtocolFactory(limits),
    ) as started:
        yield started.address.ip, started.address.port


def _post(body: bytes, size: int | None = None) -> bytes:
    length = len(body) if size is None else size
    return b'POST /echo HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s' % (
        length,
        body,
    )


async def _read_refusal(
    reader: asyncio.StreamReader,
) -> tuple[bytes, error_reply.ErrorReply]:
    async with asyncio.timeout(_WAIT_S):
        raw = await reader.read()
    head, _, body = raw.partition(b'\r\n\r\n')
    return head, msgspec.json.decode(body, type=error_reply.ErrorReply)


def test_a_node_serves_requests_sent_ahead_in_order():
    """Guards against requests sent ahead that are dropped or mixed up."""

    async def scenario() -> None:
        async with _server() as remote:
            reader, writer = await asyncio.open_connection(*remote)
            texts = [b'{"text":"%d"}' % number for number in range(300)]
            writer.write(b''.join(map(_post, texts)))
            for text in texts:
                async with asyncio.timeout(_WAIT_S):
                    await reader.readuntil(b'\r\n\r\n')
                    assert await reader.readexactly(len(text)) == text
            writer.close()

    support.run(scenario())


def test_the_largest_request_to_a_node_is_refused_when_memory_is_short():
    """Guards against a refusal that promises nothing, or hits small clients."""

    async def scenario() -> None:
        async with _server(memory_mb=4) as remote:
            reader, writer = await asyncio.open_connection(*remote)
            writer.write(_post(bytes(600000), bodies.MAX_PEER_BYTES))
            head, refusal = await _read_refusal(reader)
            assert head.startswith(b'HTTP/1.1 503 ')
            assert b'\r\nretry-after: 1\r\n' in head
            assert refusal.error.kind == 'not_run'
            other_reader, other_writer = await asyncio.open_connection(*remote)
            other_writer.write(_post(_BODY))
            line = await asyncio.wait_for(other_reader.readline(), _WAIT_S)
            assert line.startswith(b'HTTP/1.1 200 ')
            for opened in (writer, other_writer):
                opened.close()

    support.run(scenario())


def test_a_head_without_an_end_is_refused():
    """Guards against a head that is kept for as long as it grows."""

    async def scenario() -> None:
        async with _server() as remote:
            reader, writer = await asyncio.open_connection(*remote)
            fields = b'a: b\r\n' * (node_protocol.MAX_HEAD_BYTES // 6 + 100)
            writer.write(b'GET /echo HTTP/1.1\r\n' + fields)
            head, refusal = await _read_refusal(reader)
            assert head.startswith(b'HTTP/1.1 431 ')
            assert refusal.error.kind == 'too_large'
            writer.close()

    support.run(scenario())


def test_connections_above_the_maximum_are_reset():
    """Guards against clients that use up the descriptors of a node."""

    async def scenario() -> None:
        async with _server(max_connections=2) as remote:
            opened = [await asyncio.open_connection(*remote) for _ in range(2)]
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection(*remote)
            with contextlib.suppress(ConnectionError):
                assert not await asyncio.wait_for(reader.read(), _WAIT_S)
            first_reader, first_writer = opened[0]
            first_writer.write(_post(_BODY))
            line = await asyncio.wait_for(first_reader.readline(), _WAIT_S)
            assert line.startswith(b'HTTP/1.1 200 ')
            for _, opened_writer in (*opened, (reader, writer)):
                opened_writer.close()

    support.run(scenario())


def test_a_request_that_does_not_arrive_is_refused():
    """Guards against connections that stay open for half a request."""

    async def scenario() -> None:
        async with _server() as remote:
            reader, writer = await asyncio.open_connection(*remote)
            writer.write(b'GET /echo HTTP/1.1\r\nHo')
            head, refusal = await _read_refusal(reader)
            assert head.startswith(b'HTTP/1.1 408 ')
            assert refusal.error.kind == 'invalid'
            writer.close()

    support.run(scenario())
