"""Replies outside the protocol, and without end, that nodes receive."""

import asyncio
import resource

import pytest

from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, invalid_replies, support
from chivepond.transport import address, client

Request = scripted_searcher.Got
Response = scripted_searcher.Told

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%sTransfer-Encoding: chunked\r\n\r\n' % _OK
_TIMEOUT_S = 2
_BYTES_PER_KB = 1024
#: The memory that a node has for control.
_NODE_MEMORY_BYTES = 67108864


def _scripted(written: bytes, then: str = 'keep', repeated: bytes = b''):
    async def reply(request: Request) -> Response:
        return Response(written, then, repeated)

    return scripted_searcher.ScriptedSearcher(reply)


async def _lines(node_client: client.Client) -> list:
    replies = node_client.lines('/v1/query', b'{}', _TIMEOUT_S)
    return [line async for line in replies]


@pytest.mark.parametrize('fault', invalid_replies.FAULTS)
def test_an_invalid_reply_to_a_node_is_no_reply(fault):
    """Guards against nodes that read a reply outside the protocol.

    Neither the reply nor what is left of it may pass for the next one.
    """

    async def scenario() -> None:
        odd = _scripted(invalid_replies.encode(fault, b'1'))
        async with odd, client.Client(odd.address, 1) as node_client:
            for _ in range(2):
                got = await node_client.get('/v1/status', _TIMEOUT_S)
                assert got.is_err()
                posted = await node_client.post('/v1/x', b'{}', _TIMEOUT_S)
                assert posted.is_err()
                lines = await _lines(node_client)
                assert [line.is_err() for line in lines] == [True]
            await gateway_bench.until(lambda: not odd.connections)

    support.run(scenario())


@pytest.mark.parametrize(
    'written',
    [
        b'%s\r\nunframed' % _OK,
        b'HTTP/1.1 103 Early Hints\r\n\r\n%sContent-Length: 1\r\n\r\nx' % _OK,
        b'%sContent-Length: 0\r\nSet-Cookie: (a)=1\r\n\r\n' % _OK,
        b'%sContent-Length: 2\r\n' % _OK,
        b'%s0x2\r\nab\r\n0\r\n\r\n' % _CHUNKED,
        b'%s2\r\nabcd0\r\n\r\n' % _CHUNKED,
        b'%s-2\r\n0\r\n\r\n' % _CHUNKED,
        b'%s2\r\nab\r\n0\r\nno trailer\r\n\r\n' % _CHUNKED,
    ],
)
def test_a_reply_that_a_node_cannot_read_fails_alone(written):
    """Guards against the rest of a reply that is read as the next one."""

    async def scenario() -> None:
        odd = _scripted(written, then='close')
        async with odd, client.Client(odd.address, 1) as node_client:
            first = await node_client.post('/v1/x', b'{}', _TIMEOUT_S)
            assert first.is_err()
            lines = await _lines(node_client)
            assert lines[-1].is_err()
            odd.reply = _good
            second = await node_client.post('/v1/x', b'{}', _TIMEOUT_S)
            assert second.unwrap().body == b'right'

    support.run(scenario())


@pytest.mark.parametrize('status', [204, 206, 404, 500, 503])
def test_lines_of_a_reply_that_is_no_success_are_not_read(status):
    """Guards against results in a searcher's failure that count as results."""
    written = b'HTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\n{}\n\n' % status

    async def scenario() -> None:
        odd = _scripted(written)
        async with odd, client.Client(odd.address, 1) as node_client:
            for _ in range(2):
                lines = await _lines(node_client)
                assert [line.is_err() for line in lines] == [True]

    support.run(scenario())


def test_a_long_reply_in_small_pieces_is_read_whole():
    """Guards against a bound on replies that counts some bytes twice."""
    line = b'.' * 1023 + b'\n'
    head = b'%sContent-Length: %d\r\n\r\n' % (_OK, len(line) * 4000)

    async def serve(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        for _ in range(4000):
            writer.write(line)
            await writer.drain()
            await asyncio.sleep(0)

    async def scenario() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()
        remote = address.Address(ip, port)
        async with server, client.Client(remote, 1) as node_client:
            lines = await _lines(node_client)
            assert len(lines) == 4000
            assert {got.unwrap() for got in lines} == {line[:-1]}

    support.run(scenario())


async def _good(request: Request) -> Response:
    return scripted_searcher.good(request, b'right')


def test_trailers_of_a_reply_to_a_node_are_read_with_it():
    """Guards against a trailer that is read as the next reply."""
    trailed = b'%s2\r\nab\r\n0\r\nX-One: 1\r\nX-Two: 2\r\n\r\n' % _CHUNKED

    async def scenario() -> None:
        searcher = _scripted(trailed)
        async with searcher, client.Client(searcher.address, 1) as node_client:
            for _ in range(3):
                reply = await node_client.post('/v1/x', b'{}', _TIMEOUT_S)
                assert reply.unwrap().body == b'ab'
            assert searcher.connections == 1

    support.run(scenario())


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (b'HTTP/1.1 200 ', b'endless '),
        (b'%sX-Endless: ' % _OK, b'endless '),
        (_OK, b'X-Endless: 1\r\n'),
        (b'%s5;' % _CHUNKED, b'endless'),
        (_CHUNKED, b'1\r\nx\r\n'),
        (b'%sfffffff\r\n' % _CHUNKED, b'endless '),
        (b'%s0\r\n' % _CHUNKED, b'X-Endless: 1\r\n'),
        (b'%sContent-Length: 9000000000\r\n\r\n' % _OK, b'endless '),
        (b'%s\r\n' % _OK, b'endless '),
    ],
)
def test_a_reply_without_end_to_a_node_is_aborted(start, repeated):
    """Guards against nodes that hold an endless reply until their time-out."""

    async def scenario() -> None:
        endless = _scripted(start, then='endless', repeated=repeated)
        async with endless, client.Client(endless.address, 2) as node_client:
            before = _peak_bytes()
            async with asyncio.timeout(10):
                posted = await node_client.post('/v1/x', b'{}', 30)
                lines = await _lines_until_error(node_client)
            assert posted.is_err()
            assert lines[-1].is_err()
            assert _peak_bytes() - before < _NODE_MEMORY_BYTES

    support.run(scenario())


async def _lines_until_error(node_client: client.Client) -> list:
    replies = node_client.lines('/v1/query', b'{}', 30)
    return [line async for line in replies]


def _peak_bytes() -> int:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _BYTES_PER_KB
