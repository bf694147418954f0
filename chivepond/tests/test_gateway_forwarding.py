"""Requests that the gateway forwards to a single searcher."""

import asyncio
import contextlib

import pytest

from chivepond.gateway import outcome
from chivepond.platform import headers
from chivepond.soak import loopback_proxy
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.transport import address

ReceivedRequest = scripted_searcher.Got
ScriptedReply = scripted_searcher.Told


async def _echo(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.good(request, request.line + b'|' + request.body)


def _stamps(**overrides):
    return gateway_bench.route(
        'stamps', '/stamps/', service='desk', **overrides
    )


async def _reset(request: ReceivedRequest) -> ScriptedReply:
    return ScriptedReply(b'', then='reset')


def test_request_is_forwarded_unchanged():
    """Method, path, query and body reach the searcher unchanged."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request(
                'POST',
                '/stamps/%2e/a?b=c%20d&&',
                request_id='one',
                body=b'\x00\r\n\r\nbody',
                more={'X-Odd': 'kept', 'Connection': 'X-Hop', 'X-Hop': 'no'},
            )
            reply = gateway_bench.reply_of(await caller.send(raw))
            assert reply.status == 200
            assert reply.body == (
                b'POST /stamps/%2e/a?b=c%20d&& HTTP/1.1|\x00\r\n\r\nbody'
            )
            assert reply.headers.get(headers.SIGNATURE) == b'sig'
            assert reply.headers.get(headers.REQUEST_ID) == b'one'
            fields = searcher.got[0].value_by_name
            assert fields[b'x-odd'] == b'kept'
            assert b'x-hop' not in fields
            assert fields[headers.EXPECTED_SEARCHER] == b's-1'
            assert 0 < int(fields[headers.TIME_LEFT_MS]) < 1500

    support.run(scenario())


def test_chunked_body_is_forwarded_with_content_length():
    """The chunks are joined, and the chunked framing is not forwarded."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            head = gateway_bench.request(
                'POST',
                '/stamps/x',
                more={'Transfer-Encoding': 'chunked'},
            )
            reply = await caller.send(
                head + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )
            assert gateway_bench.reply_of(reply).body.endswith(b'|abcde')
            fields = searcher.got[0].value_by_name
            assert b'transfer-encoding' not in fields
            assert fields[b'content-length'] == b'5'

    support.run(scenario())


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (gateway_bench.request('GET', '/elsewhere/'), 404),
        (b'GET /stamps/ HTTP/1.1\r\nHost: desk.example\r\n\r\n', 400),
        (b'no protocol at all\r\n\r\n', 400),
        (
            gateway_bench.request(
                'POST',
                '/stamps/',
                more={'Content-Length': '3', 'Transfer-Encoding': 'chunked'},
            ),
            400,
        ),
        (gateway_bench.request('POST', '/stamps/', body=b'.' * 8193), 413),
        (gateway_bench.request('GET', '/stamps/', more={'X': 'y' * 5000}), 431),
        (b'GET /stamps/ HTTP/1.1\r\nHost: desk', 408),
    ],
)
def test_invalid_request_gets_its_error_status(raw, status):
    """Each kind of invalid request has its status and reaches no searcher."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.send(raw))
            assert reply.status == status
            assert not searcher.got

    support.run(scenario())


def test_non_idempotent_request_is_not_retried_after_lost_reply():
    """Guards against a non-idempotent request that runs twice.

    The searcher runs the request, and its connection is reset before the
    reply. A retry at the other searcher would run it again, and so would the
    client after a 503.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = [
                await bench.searcher(name, 'desk', _reset)
                for name in ('s-1', 's-2')
            ]
            bench.configure(1, _stamps(kind='non_idempotent'))
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request('POST', '/stamps/', body=b'x')
            reply = gateway_bench.reply_of(await caller.send(raw))
            assert reply.status == 502
            assert sum(len(one.got) for one in searchers) == 1

    support.run(scenario())


def test_refused_non_idempotent_request_goes_to_another_searcher():
    """Guards against refusing a request that another searcher can run.

    The first searcher is full, and its reply says that the request did not
    run.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            full = await bench.searcher('s-1', 'desk', _refuse)
            free = await bench.searcher('s-2', 'desk', _echo, zone='hub')
            bench.configure(1, _stamps(kind='non_idempotent'))
            gateway = await bench.hedging_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request('POST', '/stamps/', body=b'x')
            reply = gateway_bench.reply_of(await caller.send(raw))
            assert reply.status == 200
            assert len(full.got) == len(free.got) == 1

    support.run(scenario())


async def _refuse(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.not_run(503)


def test_refusal_has_retry_after():
    """All searchers refuse a request, so it never ran and gets a 503."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _refuse)
            bench.configure(1, _stamps(kind='non_idempotent'))
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request('POST', '/stamps/', body=b'x')
            reply = gateway_bench.reply_of(await caller.send(raw))
            assert reply.status == 503
            assert float(reply.headers.get(b'retry-after')) < 0.5

    support.run(scenario())


def _truncated(request: ReceivedRequest) -> ScriptedReply:
    whole = scripted_searcher.good(request, b'0123456789').written
    return ScriptedReply(whole[:-4], then='reset')


def _unframed(request: ReceivedRequest, then: str) -> ScriptedReply:
    head = b'HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nhalf' % (
        headers.REQUEST_ID,
        request.request_id,
        headers.SIGNATURE,
    )
    return ScriptedReply(head, then=then)


def _encoded(request: ReceivedRequest) -> ScriptedReply:
    reply = scripted_searcher.good(request, b'zipped')
    reply.written = reply.written.replace(
        b'Content-Length',
        b'Content-Encoding: gzip\r\nContent-Length',
    )
    return reply


def _other_id(request: ReceivedRequest) -> ScriptedReply:
    reply = scripted_searcher.good(request, b'of another request')
    return ScriptedReply(
        reply.written.replace(request.request_id, b'other'), then='close'
    )


@pytest.mark.parametrize(
    'spoil',
    [
        _truncated,
        lambda request: _unframed(request, 'reset'),
        _encoded,
        _other_id,
        lambda request: ScriptedReply(b'\x00\x01 no reply \r\n\r\n'),
        lambda request: ScriptedReply(
            b'HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n'
        ),
    ],
)
def test_corrupt_reply_is_not_forwarded(spoil):
    """Guards against truncated or corrupt replies that reach a client.

    The first searcher truncates its reply, corrupts it or sends the reply to
    another request. The request is idempotent, so the second searcher gets it,
    and its complete reply is forwarded.
    """

    async def corrupt_reply(request: ReceivedRequest) -> ScriptedReply:
        return spoil(request)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            bad = await bench.searcher('s-1', 'desk', corrupt_reply)
            good = await bench.searcher('s-2', 'desk', _echo, zone='hub')
            bench.configure(1, _stamps())
            gateway = await bench.hedging_gateway()
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/stamps/'))
            assert reply.status == 200
            assert reply.body == b'GET /stamps/ HTTP/1.1|'
            assert len(bad.got) == len(good.got) == 1

    support.run(scenario())


def test_connection_close_completes_reply_without_length():
    """A close completes a reply without a length; a reset does not."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:

            async def unframed(request: ReceivedRequest) -> ScriptedReply:
                return _unframed(request, 'close')

            await bench.searcher('s-1', 'desk', unframed)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/stamps/'))
            assert (reply.status, reply.body) == (200, b'half')

    support.run(scenario())


def test_duplicate_reply_is_discarded():
    """Guards against a client that gets the reply to an earlier request.

    A faulty searcher sends a reply twice, and the second copy is still in the
    buffer of the reused connection when the next request is sent on it.
    """

    async def twice(request: ReceivedRequest) -> ScriptedReply:
        reply = scripted_searcher.good(request, b'for ' + request.request_id)
        return ScriptedReply(reply.written + reply.written)

    async def late_twice(request: ReceivedRequest) -> ScriptedReply:
        reply = scripted_searcher.good(request, b'for ' + request.request_id)
        call_later = asyncio.get_running_loop().call_later
        call_later(0.02, searchers[0].push, reply.written)
        return reply

    searchers = []

    async def scenario(reply) -> None:
        async with gateway_bench.Bench() as bench:
            searchers[:] = [await bench.searcher('s-1', 'desk', reply)]
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for name in ('a', 'b', 'c', 'd', 'e'):
                raw = gateway_bench.request('GET', '/stamps/', request_id=name)
                ended = gateway_bench.reply_of(await caller.send(raw))
                assert ended.body == b'for ' + name.encode()
                await asyncio.sleep(0.015)

    support.run(scenario(twice))
    support.run(scenario(late_twice))


def test_client_disconnect_closes_searcher_connection():
    """Guards against searchers that work for clients that disconnected.

    The connection to the searcher closes as soon as the client's does.
    """

    async def scenario() -> None:
        released = asyncio.Event()

        async def hang(request: ReceivedRequest) -> ScriptedReply:
            await released.wait()
            return ScriptedReply(b'')

        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', hang)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            caller.connection.begin(
                gateway_bench.request('GET', '/stamps/'), b''
            )
            await gateway_bench.until(lambda: searcher.got)
            caller.connection.abort()
            await gateway_bench.until(lambda: not gateway.requests_in_progress)
            released.set()

    support.run(scenario())


def test_hung_searcher_delays_response_to_the_timeout_only():
    """All searchers hang: the client gets a 504 at the route's time-out."""

    async def hang(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(3)
        return ScriptedReply(b'')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', hang)
            bench.configure(1, _stamps(timeout_ms=300))
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/stamps/'))
            assert reply.status == 504
            assert asyncio.get_running_loop().time() - began < 0.6

    support.run(scenario())


def test_pipelined_requests_are_answered_in_order():
    """Pipelined requests get their responses in the same order."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            reader, writer = await asyncio.open_connection(
                gateway.client_address.ip,
                gateway.client_address.port,
            )
            for name in ('one', 'two', 'three'):
                writer.write(gateway_bench.request('GET', f'/stamps/{name}'))
            received = b''
            while received.count(b'|') < 3:
                received += await asyncio.wait_for(reader.read(4096), 5)
            offsets = [
                received.index(b'/stamps/' + n) for n in (b'one', b'two')
            ]
            assert offsets == sorted(offsets)
            writer.close()

    support.run(scenario())


def test_traffic_split_follows_weights():
    """Exactly a tenth of the requests goes to the new service."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            old = await bench.searcher('s-1', 'old', _echo)
            new = await bench.searcher('s-2', 'new', _echo)
            parts = [
                {'service': 'old', 'weight': 9},
                {'service': 'new', 'weight': 1},
            ]
            bench.configure(
                1,
                gateway_bench.route('r', '/stamps/', traffic_split=parts),
            )
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for _ in range(40):
                ended = await caller.get('/stamps/')
                assert isinstance(ended, outcome.Reply)
            assert (len(old.got), len(new.got)) == (36, 4)

    support.run(scenario())


def test_client_that_never_reads_is_not_served_further():
    """Guards against memory that grows for a client that never reads.

    While its responses fill the write buffer, none of its further requests is
    served.
    """

    async def large(request: ReceivedRequest) -> ScriptedReply:
        return scripted_searcher.good(request, bytes(400000))

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', large)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway()
            _, writer = await asyncio.open_connection(
                gateway.client_address.ip,
                gateway.client_address.port,
                limit=1024,
            )
            for _ in range(400):
                writer.write(gateway_bench.request('GET', '/stamps/'))
            await asyncio.sleep(0.5)
            received_count = len(searcher.got)
            assert received_count < 60
            await asyncio.sleep(0.3)
            assert len(searcher.got) == received_count
            writer.close()

    support.run(scenario())


def test_connections_above_the_maximum_are_reset():
    """Guards against idle clients that exhaust the file descriptors."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps())
            gateway = await bench.ready_gateway(max_descriptors=8)
            callers = [
                await bench.caller(gateway.client_address) for _ in range(6)
            ]
            await asyncio.sleep(0.1)
            are_open = [one.connection.is_open for one in callers]
            assert sum(are_open) == 4
            reply = gateway_bench.reply_of(await callers[0].get('/stamps/'))
            assert reply.status == 200

    support.run(scenario())


def test_silent_connections_fail_one_request_only():
    """Guards against one failed request for each stale pooled connection.

    The network drops all open connections silently, while new ones work. The
    first request without a reply closes the idle connections, so that the next
    request uses a new one.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = scripted_searcher.ScriptedSearcher(_echo)
            async with searcher:
                proxy = loopback_proxy.LoopbackProxy(searcher.address)
                async with proxy:
                    bench.register('s-1', 'desk', proxy.address)
                    bench.configure(
                        1,
                        _stamps(kind='non_idempotent', timeout_ms=400),
                    )
                    gateway = await bench.ready_gateway()
                    callers = [
                        await bench.caller(gateway.client_address)
                        for _ in range(3)
                    ]
                    await asyncio.gather(
                        *(one.get('/stamps/') for one in callers),
                    )
                    assert gateway.counts.searcher_connections == 3
                    proxy.silence_open()
                    replies = [
                        gateway_bench.reply_of(await callers[0].get('/stamps/'))
                        for _ in range(3)
                    ]
                    assert [one.status for one in replies] == [504, 200, 200]

    support.run(scenario())


def test_non_idempotent_request_avoids_long_idle_connection():
    """Guards against non-idempotent requests with an unknown outcome.

    The searcher no longer knows the idle connection and resets it on use, so
    the gateway can't tell whether the request ran. A new connection costs 1 ms.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = scripted_searcher.ScriptedSearcher(_echo)
            async with searcher:
                proxy = loopback_proxy.LoopbackProxy(searcher.address)
                async with proxy:
                    bench.register('s-1', 'desk', proxy.address)
                    bench.configure(1, _stamps(kind='non_idempotent'))
                    gateway = await bench.ready_gateway()
                    caller = await bench.caller(gateway.client_address)
                    assert (await caller.get('/stamps/')).status == 200
                    proxy.reset_on_use()
                    await asyncio.sleep(1.2)
                    assert (await caller.get('/stamps/')).status == 200

    support.run(scenario())


def test_request_is_hedged_when_its_target_latency_has_passed():
    """Guards against a client that waits for a paused searcher to the end.

    A hedge that would reply after the target latency is postponed to it; it
    was never sent.
    """
    paused = asyncio.Event()

    async def near(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(1.3 if paused.is_set() else 0.08)
        return scripted_searcher.good(request, b'near')

    async def far(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(0.08)
        return scripted_searcher.good(request, b'far')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', near)
            await bench.searcher('s-2', 'desk', far, zone='hub')
            route = gateway_bench.route(
                'r', '/r/', service='desk', target_latency_ms=100
            )
            bench.configure(1, route)
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for _ in range(10):
                await caller.get('/r/')
            paused.set()
            reply = gateway_bench.reply_of(await caller.get('/r/'))
            assert reply.body == b'far'

    support.run(scenario())


def test_paused_searcher_keeps_one_abandoned_request_only():
    """Guards against searches that stay late after a searcher's pause.

    Four requests arrive during a pause, and the other searcher answers them.
    The paused searcher worked off all four before new requests. Now one of them
    is left running, as a probe that shows when the pause is over.
    """

    async def paused(request: ReceivedRequest) -> ScriptedReply:
        # Longer than a busy machine may stall the process of this test.
        await asyncio.sleep(1)
        return scripted_searcher.good(request, b'late')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            near = await bench.searcher('s-1', 'desk', paused)
            far = await bench.searcher('s-2', 'desk', _echo, zone='hub')
            bench.configure(
                1,
                gateway_bench.route(
                    'r',
                    '/r/',
                    service='desk',
                    target_latency_ms=100,
                ),
            )
            gateway = await bench.hedging_gateway()
            callers = [
                await bench.caller(gateway.client_address) for _ in range(4)
            ]
            ended = await asyncio.gather(*(one.get('/r/') for one in callers))
            replies = map(gateway_bench.reply_of, ended)
            assert {one.status for one in replies} == {200}
            assert len(near.got) > 1
            await asyncio.sleep(0.05)
            remaining = gateway.counts.searcher_connections - far.connections
            assert remaining == 1

    support.run(scenario())


async def _repeat_replies(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reply with the request line; repeat the last reply before the next."""
    last_reply = b''
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:-2]
            )
            request = ReceivedRequest(head.split(b'\r\n')[0], fields, b'')
            reply = scripted_searcher.good(request, request.line).written
            writer.write(last_reply + reply)
            last_reply = reply
    writer.close()


def test_repeated_reply_does_not_answer_a_request_with_the_same_identifier():
    """Guards against a client that gets the reply to another client's request.

    A searcher repeats a reply where the next one is due, and both requests
    have the identifier that their clients chose.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            server = await asyncio.start_server(_repeat_replies, '127.0.0.1', 0)
            async with server:
                ip, port = server.sockets[0].getsockname()[:2]
                bench.register('s-1', 'desk', address.Address(ip, port))
                bench.configure(1, _stamps())
                gateway = await bench.ready_gateway()
                caller = await bench.caller(gateway.client_address)
                for number in range(3):
                    reply = gateway_bench.reply_of(
                        await caller.get(f'/stamps/{number}', request_id='own'),
                    )
                    line = f'GET /stamps/{number} HTTP/1.1'
                    assert reply.body == line.encode()

    support.run(scenario())
