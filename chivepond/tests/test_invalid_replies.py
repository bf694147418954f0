"""Replies that are outside the protocol, and who reads them."""

import asyncio
import io
import json
import re

import msgspec
import pytest

from chivepond.gateway import http_connection, outcome, store_client
from chivepond.observe import events, journal
from chivepond.platform import headers, store_calls
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, invalid_replies, support
from chivepond.wire import forward_request, gateway_entry, sync_message

_GOOD = b'right'
_NO_UPDATES = msgspec.msgpack.encode(sync_message.SyncReply({}, 0))
_WAIT_S = 5

Request = scripted_searcher.Got
Response = scripted_searcher.Told

every_fault = pytest.mark.parametrize('fault', invalid_replies.FAULTS)
#: At least one for each place where a reply is found to be invalid.
some_faults = pytest.mark.parametrize(
    'fault',
    [
        'status 000',
        'status 600',
        'version 2.0',
        'another protocol',
        'switch of protocols',
        'blank in a name',
        'NUL in a name',
        'transfer coding',
        'content encoding',
    ],
)


def _faulty(fault: str) -> scripted_searcher.Reply:
    async def reply(request: Request) -> Response:
        return Response(invalid_replies.encode(fault, request.request_id))

    return reply


async def _good(request: Request) -> Response:
    return scripted_searcher.good(request, _GOOD)


async def _slow(request: Request) -> Response:
    await asyncio.sleep(0.5)
    return scripted_searcher.good(request, _GOOD)


def _log_of(scenario) -> list[dict]:
    """Run a scenario; return the events that it logged."""
    stream = io.StringIO()
    with journal.Journal('INFO', 'json', stream):
        support.run(scenario())
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def _names_of(log: list[dict], kind) -> set[str]:
    return {line['name'] for line in log if line['event'] == kind.number}


def _desk_routes() -> list[dict]:
    return [
        gateway_bench.route('read', '/r/', service='desk'),
        gateway_bench.route(
            'write', '/w/', service='desk', kind='non_idempotent'
        ),
    ]


async def _statuses(gateway, method: str, path: str, count: int) -> list[int]:
    """Send requests one after another, and read the raw replies.

    Checks that each reply is sound, and that no body is the wrong one.
    """
    reader, writer = await asyncio.open_connection(
        gateway.client_address.ip, gateway.client_address.port
    )
    statuses = []
    async with asyncio.timeout(_WAIT_S):
        for _ in range(count):
            writer.write(gateway_bench.request(method, path))
            head = await reader.readuntil(b'\r\n\r\n')
            status_line = re.match(rb'HTTP/1\.1 ([2345]\d\d) ', head)
            assert status_line, head
            assert b'Odd' not in head
            length = re.search(rb'\r\nContent-Length: (\d+)\r\n', head)
            if method != 'HEAD':
                body = await reader.readexactly(int(length[1]))
                assert invalid_replies.WRONG not in body
            statuses.append(int(status_line[1]))
    writer.close()
    return statuses


@some_faults
def test_an_invalid_reply_is_no_reply(fault):
    """Guards against replies outside the protocol that reach clients.

    The nearest searcher of three sends them to all requests.
    """
    faulty_searchers = []

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            faulty_searchers.append(
                await bench.searcher('odd', 'desk', _faulty(fault))
            )
            for name in ('s-1', 's-2'):
                await bench.searcher(name, 'desk', _good, zone='hub')
            bench.configure(1, *_desk_routes())
            gateway = await bench.hedging_gateway()
            assert set(await _statuses(gateway, 'POST', '/w/', 2)) <= {200, 502}
            assert set(await _statuses(gateway, 'GET', '/r/', 20)) == {200}
            assert set(await _statuses(gateway, 'HEAD', '/r/', 2)) == {200}
            assert set(await _statuses(gateway, 'POST', '/w/', 4)) <= {200, 502}

    log = _log_of(scenario)
    assert 'odd' in _names_of(log, events.REPLY_ABORTED)
    assert 'odd' in _names_of(log, events.SEARCHER_DISTRUSTED)
    assert len(faulty_searchers[0].got) < 10


@some_faults
def test_an_invalid_reply_of_the_only_searcher_becomes_an_error(fault):
    """Guards against a failure that is passed on as the searcher's own."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('odd', 'desk', _faulty(fault))
            bench.configure(1, *_desk_routes())
            gateway = await bench.hedging_gateway()
            assert await _statuses(gateway, 'POST', '/w/', 1) == [502]
            assert await _statuses(gateway, 'GET', '/r/', 1) == [502]
            assert await _statuses(gateway, 'HEAD', '/r/', 1) == [502]

    _log_of(scenario)


@some_faults
def test_a_gathered_search_has_no_part_from_an_invalid_reply(fault):
    """Guards against a search whose records are of an invalid reply."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('odd', 'a', _faulty(fault))
            await bench.searcher('s-a', 'a', _good, zone='hub')
            await bench.searcher('s-b', 'b', _good)
            bench.configure(
                1,
                gateway_bench.route(
                    'search',
                    '/s/',
                    gather=['a', 'b'],
                    top_k=2,
                    min_shard_ratio=1,
                ),
            )
            gateway = await bench.hedging_gateway()
            assert await _statuses(gateway, 'GET', '/s/', 2) == [200, 200]

    assert 'odd' in _names_of(_log_of(scenario), events.REPLY_ABORTED)


@some_faults
def test_an_invalid_reply_to_a_hedge_does_not_end_the_request(fault):
    """Guards against a hedge that fails and takes the first attempt along."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            odd = await bench.searcher(
                'odd', 'desk', _faulty(fault), zone='hub'
            )
            bench.configure(
                1,
                gateway_bench.route(
                    'read', '/r/', service='desk', target_latency_ms=200
                ),
            )
            gateway = await bench.hedging_gateway()
            assert await _statuses(gateway, 'GET', '/r/', 2) == [200, 200]
            assert odd.got

    _log_of(scenario)


@every_fault
def test_an_invalid_reply_of_the_store_is_no_reply(fault):
    """Guards against routes or lists that are read from an invalid reply."""

    async def scenario() -> None:
        async with scripted_searcher.ScriptedSearcher(_faulty(fault)) as store:
            with store_client.StoreClient(store.address) as client:
                for _ in range(2):
                    reply = await client.get('/api/objects/servers', 1)
                    assert isinstance(reply, outcome.Broken)
            await gateway_bench.until(lambda: not store.connections)

    support.run(scenario())


@pytest.mark.parametrize(
    'fault',
    [fault for fault in invalid_replies.FAULTS if 'trailer' not in fault],
)
def test_an_invalid_reply_to_a_head_request_is_no_reply(fault):
    """Guards against replies without a body that are not checked."""

    async def scenario() -> None:
        async with scripted_searcher.ScriptedSearcher(_faulty(fault)) as odd:
            connection = http_connection.HttpConnection(
                headers.REQUEST_ID, lambda closed: None
            )
            await asyncio.get_running_loop().create_connection(
                lambda: connection, odd.address.ip, odd.address.port
            )
            reply = await connection.begin(
                gateway_bench.request('HEAD', '/r/'), b'', is_head=True
            )
            assert isinstance(reply, outcome.Broken)
            assert not connection.is_open

    support.run(scenario())


async def _delegating_gateway(bench: gateway_bench.Bench, reply):
    """Return a gateway whose requests go through a scripted gateway."""
    other = scripted_searcher.ScriptedSearcher(reply)
    await bench.enter(other)
    gateway = await bench.ready_gateway()
    entry = gateway_entry.GatewayEntry(str(other.address), 'base')
    # Names decide which of two gateways may connect to a searcher.
    names = [f'other-{number}' for number in range(30)]
    while gateway.counts.connections_to('desk'):
        await _list_gateways(bench, gateway, {})
        await _list_gateways(bench, gateway, {names.pop(): entry})
    return gateway


async def _list_gateways(bench, gateway, entry_by_name) -> None:
    """Replace the list of the other gateways; wait until it is read."""
    kind = store_calls.GATEWAY_KIND
    for name in set(bench.store.names(kind)) - {'gate-1'}:
        bench.store.remove(kind, name)
    for name, entry in entry_by_name.items():
        bench.store.put(kind, name, msgspec.to_builtins(entry))
    await gateway_bench.until(
        lambda: gateway.counts.gateways_known == 1 + len(entry_by_name)
    )


def _forwarding(reply: bytes) -> scripted_searcher.Reply:
    """Reply as a gateway that forwards requests and has no updates."""

    async def serve(request: Request) -> Response:
        if b'/v1/forward' in request.line:
            return Response(reply.replace(b'ID', request.request_id))
        await asyncio.sleep(0.1)
        return scripted_searcher.good(request, _NO_UPDATES)

    return serve


def _nested(fault: str) -> bytes:
    """Return a sound reply of a gateway that holds an invalid response."""
    status, field = {
        'status 000': (0, (b'X', b'y')),
        'status 600': (600, (b'X', b'y')),
        'interim status': (103, (b'X', b'y')),
        'blank in a name': (200, (b'X Odd', b'y')),
        'colon in a name': (200, (b'X:Odd', b'y')),
        'line break in a value': (200, (b'X-Odd', b'a\r\nX-More: b')),
        'content encoding': (200, (b'Content-Encoding', b'gzip')),
        'body without content': (204, (b'X', b'y')),
    }[fault]
    forwarded = forward_request.ForwardedResponse(
        status, [field], invalid_replies.WRONG
    )
    body = msgspec.msgpack.encode(forward_request.ForwardReply(forwarded))
    return b'HTTP/1.1 200 OK\r\n%s: ID\r\nContent-Length: %d\r\n\r\n%s' % (
        headers.REQUEST_ID,
        len(body),
        body,
    )


@some_faults
def test_an_invalid_reply_of_another_gateway_becomes_an_error(fault):
    """Guards against an invalid reply that passes two gateways."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _good)
            bench.configure(1, *_desk_routes(), connection_cap=2)
            gateway = await _delegating_gateway(
                bench, _forwarding(invalid_replies.encode(fault, b'ID'))
            )
            assert await _statuses(gateway, 'POST', '/w/', 1) == [502]

    log = _log_of(scenario)
    assert _names_of(log, events.REPLY_ABORTED)


@pytest.mark.parametrize(
    'fault',
    [
        'status 000',
        'status 600',
        'interim status',
        'blank in a name',
        'colon in a name',
        'line break in a value',
        'content encoding',
        'body without content',
    ],
)
def test_an_invalid_response_inside_a_gateways_reply_becomes_an_error(fault):
    """Guards against a gateway of an earlier release that lets one through."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _good)
            bench.configure(1, *_desk_routes(), connection_cap=2)
            gateway = await _delegating_gateway(
                bench, _forwarding(_nested(fault))
            )
            assert await _statuses(gateway, 'POST', '/w/', 1) == [502]
            assert await _statuses(gateway, 'GET', '/r/', 1) == [502]

    _log_of(scenario)
