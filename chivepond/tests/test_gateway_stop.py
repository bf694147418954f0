"""Planned stops and reloads of a gateway keep requests in flight."""

import asyncio
import pathlib
import socket
import time

from chivepond.gateway import outcome, settings_watch
from chivepond.settings import gateway_settings, loader
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support

Request = scripted_searcher.Got
Response = scripted_searcher.Told


async def _slow(request: Request) -> Response:
    await asyncio.sleep(0.4)
    return scripted_searcher.good(request, b'done')


def _route():
    return gateway_bench.route('r', '/r/', service='desk', timeout_ms=4000)


def test_a_planned_stop_completes_requests_in_flight():
    """Guards against a deployment that aborts searches in flight.

    A stopping gateway reports at once that it is not ready, answers requests
    that were read or still arrive, and replies with ``Connection: close``.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway(stop_grace_s=4.5)
            first = await bench.caller(gateway.client_address)
            second = await bench.caller(gateway.client_address)
            idle = await bench.caller(gateway.client_address)
            pending_reply = first.connection.begin(
                gateway_bench.request('GET', '/r/'),
                b'',
            )
            await gateway_bench.until(lambda: gateway.requests_in_progress)
            stopping = asyncio.create_task(gateway.stop())
            await asyncio.sleep(0)
            assert not gateway.is_ready
            reply = gateway_bench.reply_of(await pending_reply)
            assert (reply.status, reply.body) == (200, b'done')
            assert reply.headers.get(b'connection') == b'close'
            late_reply = gateway_bench.reply_of(await second.get('/r/'))
            assert late_reply.status == 200
            await stopping
            assert not idle.connection.is_open

    support.run(scenario())


def test_a_stop_after_a_pause_serves_connections_in_the_backlog():
    """Guards against closing connections that wait in the listen backlog.

    In seed 5011 of the soak a planned stop dropped two searches: the host was
    paused while the gateway was stopping, and clients connected and sent
    requests meanwhile. When the host resumed, the time for accepting
    connections was over, and the waiting ones were closed unaccepted.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway(stop_grace_s=5)
            stopping = asyncio.create_task(gateway.stop())
            await asyncio.sleep(2.7)
            with socket.create_connection(
                tuple_of(gateway.client_address)
            ) as client_socket:
                client_socket.sendall(gateway_bench.request('GET', '/r/'))
                # Blocks the event loop until the time for accepting is over.
                time.sleep(0.5)
                client_socket.setblocking(False)
                await asyncio.sleep(0.2)
                assert not stopping.done()
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(2):
                    reply = await loop.sock_recv(client_socket, 100)
            assert reply.startswith(b'HTTP/1.1 200 ')
            await stopping

    def tuple_of(gateway_address) -> tuple[str, int]:
        return (gateway_address.ip, gateway_address.port)

    support.run(scenario())


def test_a_reload_of_invalid_settings_keeps_requests_in_flight(tmp_path):
    """Guards against a gateway that exits when its settings are invalid.

    A settings file that was invalid for a moment stopped a gateway.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            path = pathlib.Path(tmp_path) / 'gateway.yaml'
            path.write_text('node_id: [')
            changed = asyncio.Event()
            watch = settings_watch.SettingsWatch(
                path,
                gateway_bench.settings(store=str(bench.store.address)),
                gateway,
                changed,
            )
            watching = asyncio.create_task(watch.run())
            caller = await bench.caller(gateway.client_address)
            pending_reply = caller.connection.begin(
                gateway_bench.request('GET', '/r/'),
                b'',
            )
            changed.set()
            exchange_outcome = await pending_reply
            assert isinstance(exchange_outcome, outcome.Reply)
            watching.cancel()

    support.run(scenario())


def test_invalid_settings_are_named_with_a_remedy():
    """The error for each invalid setting has its name and a remedy."""
    valid_settings = (
        'node_id: n\ndata_centre: base\nregion_by_data_centre: {base: c}\n'
        'callers: 127.0.0.1:1\nreadiness: 127.0.0.1:2\nstore: 127.0.0.1:3\n'
        'peers: 127.0.0.1:4\n'
    )
    for line, setting in (
        ('callers: nowhere', 'callers'),
        ('data_centre: elsewhere', 'data_centre'),
        ('second_send_share: 2', 'second_send_share'),
        ('memory_mb: some', 'memory_mb'),
    ):
        name = line.partition(':')[0]
        other_lines = [
            other_line
            for other_line in valid_settings.splitlines()
            if not other_line.startswith(name)
        ]
        text = '\n'.join([*other_lines, line]).encode()
        loaded = loader.parse(gateway_settings.GatewaySettings, text, 'f')
        error = loaded.unwrap_err()
        assert setting in error.message
        assert error.remedy
    assert loader.parse(
        gateway_settings.GatewaySettings,
        valid_settings.encode(),
        'f',
    ).is_ok()


async def _stall(request: Request) -> Response:
    await asyncio.sleep(9)
    return scripted_searcher.good(request, b'too late')


async def _send(bench: gateway_bench.Bench, to, count: int, path: str = '/r/'):
    """Send requests with deadlines beyond the shutdown; return futures."""
    callers = [await bench.caller(to) for _ in range(count)]
    return [
        caller.connection.begin(_long_request(path), b'') for caller in callers
    ]


def _long_request(path: str) -> bytes:
    return gateway_bench.request('GET', path, left_ms=8000)


def _statuses(replies) -> list[int]:
    """Return the statuses of replies that have all arrived."""
    assert all(reply.done() for reply in replies)
    return sorted(
        gateway_bench.reply_of(reply.result()).status for reply in replies
    )


def _long_route(**overrides):
    return gateway_bench.route(
        'r', '/r/', service='desk', **{'timeout_ms': 8000} | overrides
    )


def test_requests_that_wait_at_the_exit_are_answered():
    """Guards against a planned stop that drops requests without an answer.

    The searcher has one request, and the others wait for its connection.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _stall)
            bench.configure(1, _long_route(), connection_cap=2)
            gateway = await bench.ready_gateway(stop_grace_s=4.5)
            replies = await _send(bench, gateway.client_address, 4)
            await gateway_bench.until(lambda: searcher.got)
            await gateway.stop()
            await asyncio.sleep(0)
            assert _statuses(replies) == [502, 503, 503, 503]
            assert len(searcher.got) == 1

    support.run(scenario())


def test_requests_that_cannot_be_served_before_the_exit_are_rejected_at_once():
    """Guards against callers that wait for a 503 until the process exits.

    Exchanges take 0.8 s, and at most five follow each other before the exit.
    """

    async def slow(request: Request) -> Response:
        await asyncio.sleep(0.8)
        return scripted_searcher.good(request, b'done')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', slow)
            bench.configure(1, _long_route(), connection_cap=2)
            gateway = await bench.ready_gateway(stop_grace_s=4.5)
            replies = await _send(bench, gateway.client_address, 12)
            await asyncio.sleep(3.9)
            stopping = asyncio.create_task(gateway.stop())
            await asyncio.sleep(0.5)
            rejected = [reply for reply in replies if _is_rejected(reply)]
            await stopping
            statuses = _statuses(replies)
            assert statuses.count(200) >= 7
            assert len(rejected) >= 2
            assert len(rejected) == statuses.count(503)
            assert all(
                gateway_bench.reply_of(reply.result()).headers.get(
                    b'retry-after'
                )
                for reply in rejected
            )

    support.run(scenario())


def _is_rejected(reply) -> bool:
    return reply.done() and reply.result().status == 503


def test_pipelined_requests_are_answered_by_a_stopping_gateway():
    """Guards against a request that was read whole and gets no answer."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway(stop_grace_s=4.5)
            with socket.create_connection(
                (gateway.client_address.ip, gateway.client_address.port)
            ) as client_socket:
                client_socket.setblocking(False)
                client_socket.send(gateway_bench.request('GET', '/r/') * 2)
                await gateway_bench.until(lambda: gateway.requests_in_progress)
                stopping = asyncio.create_task(gateway.stop())
                received = b''
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(4):
                    while chunk := await loop.sock_recv(client_socket, 9999):
                        received += chunk
            assert received.count(b'HTTP/1.1 200 ') == 2
            assert received.count(b'Connection: close') == 1
            await stopping

    support.run(scenario())


async def _holder_and_other(bench: gateway_bench.Bench):
    """Return the gateway that may connect to the service, and the other."""
    gateways = [
        await bench.ready_gateway(node_id=f'gate-{number}', stop_grace_s=4.5)
        for number in range(2)
    ]
    await gateway_bench.until(
        lambda: all(one.counts.gateways_known == 2 for one in gateways),
    )
    gateways.sort(
        key=lambda one: one.counts.connections_to('desk'), reverse=True
    )
    return gateways


def test_requests_of_other_gateways_are_answered_by_a_stopping_one():
    """Guards against a 502 for requests that reached no searcher.

    They wait at a stopping gateway, which forwards them for another one.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _stall)
            bench.configure(1, _long_route(), connection_cap=2)
            holder, other = await _holder_and_other(bench)
            replies = await _send(bench, other.client_address, 3)
            await gateway_bench.until(lambda: searcher.got)
            await holder.stop()
            await asyncio.sleep(0.1)
            assert _statuses(replies) == [502, 503, 503]
            assert len(searcher.got) == 1

    support.run(scenario())


def test_searches_that_wait_at_a_stopping_gateway_end_with_it():
    """Guards against searches that wait for a gateway that has stopped.

    The first search is at the searchers. The second one waits at the gateway
    that gathers for both, and has reached none of them.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            shards = ['a', 'b', 'c']
            searchers = [
                await bench.searcher(f's-{shard}', shard, _stall, zone='hub')
                for shard in shards
            ]
            search = gateway_bench.route(
                'search',
                '/search/',
                gather=shards,
                top_k=3,
                min_shard_ratio=1,
                timeout_ms=8000,
                target_latency_ms=300,
            )
            bench.configure(1, search, connection_cap=2)
            local = await bench.ready_gateway(stop_grace_s=4.5)
            remote = await bench.ready_gateway(
                node_id='gate-0', data_centre='hub', stop_grace_s=4.5
            )
            await gateway_bench.until(
                lambda: local.counts.gateways_known == 2,
            )
            replies = await _send(bench, local.client_address, 2, '/search/x')
            await gateway_bench.until(lambda: searchers[0].got)
            await remote.stop()
            await asyncio.sleep(0.1)
            assert _statuses(replies) == [502, 503]
            assert all(len(one.got) == 1 for one in searchers)

    support.run(scenario())
