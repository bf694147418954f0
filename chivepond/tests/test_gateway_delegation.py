"""Gateways that the connection cap of a service leaves no connection."""

import asyncio
import time

import pytest

from chivepond.gateway import gateway, peer_message
from chivepond.platform import headers
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.wire import sync_message

ReceivedRequest = scripted_searcher.Got
ScriptedReply = scripted_searcher.Told

_SHARDS = ('a', 'b', 'c', 'd')
#: The connection cap, which lets only one of two gateways connect.
_CAP = 2


async def _echo(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.good(request, b'body of ' + request.line)


async def _reset(request: ReceivedRequest) -> ScriptedReply:
    return ScriptedReply(b'', 'reset')


def _part(shard: str) -> scripted_searcher.Reply:
    async def reply(request: ReceivedRequest) -> ScriptedReply:
        return scripted_searcher.good(request, shard.encode() * 16, shard)

    return reply


async def _gateways(
    bench: gateway_bench.Bench,
    service: str,
) -> tuple[gateway.Gateway, gateway.Gateway]:
    """Return the gateway that may connect to ``service``, and the other."""
    gateways = [
        await bench.ready_gateway(node_id=f'gate-{number}')
        for number in range(2)
    ]
    await gateway_bench.until(
        lambda: all(one.counts.gateways_known == 2 for one in gateways),
    )
    gateways.sort(
        key=lambda one: one.counts.connections_to(service), reverse=True
    )
    assert [one.counts.connections_to(service) for one in gateways] == [1, 0]
    return gateways[0], gateways[1]


def _stamps(**overrides):
    return gateway_bench.route(
        'stamps', '/stamps/', service='desk', **overrides
    )


def test_gateway_without_connections_forwards_through_another():
    """Guards against failed requests at a gateway without connections."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps(), connection_cap=_CAP)
            _, other = await _gateways(bench, 'desk')
            client = await bench.caller(other.client_address)
            replies = [
                gateway_bench.reply_of(await client.get('/stamps/1'))
                for _ in range(3)
            ]
            assert [one.status for one in replies] == [200, 200, 200]
            assert replies[0].body == b'body of GET /stamps/1 HTTP/1.1'
            assert replies[0].headers.get(headers.SIGNATURE)
            assert len(searcher.got) == 3
            assert not other.counts.searcher_connections

    support.run(scenario())


def test_lost_non_idempotent_request_is_not_forwarded_again():
    """Guards against a non-idempotent request that runs twice."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = [
                await bench.searcher(name, 'desk', _reset)
                for name in ('s-1', 's-2')
            ]
            route = _stamps(kind='non_idempotent')
            bench.configure(1, route, connection_cap=_CAP)
            _, other = await _gateways(bench, 'desk')
            client = await bench.caller(other.client_address)
            raw = gateway_bench.request('POST', '/stamps/', body=b'x')
            reply = gateway_bench.reply_of(await client.send(raw))
            assert reply.status == 502
            assert sum(len(one.got) for one in searchers) == 1

    support.run(scenario())


@pytest.mark.parametrize('stall_s', [0.15, 0.6])
def test_stalled_gateway_still_forwards_through_another(stall_s):
    """Guards against a refusal after this process has stalled.

    A connection to the other gateway is being opened, or an update is awaited
    from it, when the process stalls beyond the time-out. The other gateway is
    not at fault, and is the only one that may connect to the searchers.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps(), connection_cap=_CAP)
            holder, other = await _gateways(bench, 'desk')
            client = await bench.caller(other.client_address)
            peers = other._components.peer_gateways
            channel = peers.channel(holder._settings.node_id)
            message = peer_message.sync_message(sync_message.SyncRequest({}, 0))
            deadline = asyncio.get_running_loop().time() + 0.1
            exchange = asyncio.create_task(channel.send(message, deadline))
            connecting = asyncio.create_task(channel._pool._connect())
            await asyncio.sleep(0)
            time.sleep(stall_s)
            await asyncio.gather(exchange, connecting)
            reply = gateway_bench.reply_of(await client.get('/stamps/1'))
            assert reply.status == 200
            assert connecting.result() is not None

    support.run(scenario())


def test_search_without_own_connections_covers_all_shards():
    """Guards against missing shards at a gateway without connections."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            for shard in _SHARDS:
                await bench.searcher(f's-{shard}', shard, _part(shard))
            bench.configure(
                1,
                gateway_bench.route(
                    'search',
                    '/search/',
                    gather=list(_SHARDS),
                    top_k=4,
                    min_shard_ratio=0.75,
                ),
                connection_cap=_CAP,
            )
            _, other = await _gateways(bench, 'a')
            client = await bench.caller(other.client_address)
            reply = gateway_bench.reply_of(await client.get('/search/x'))
            assert reply.status == 200
            assert reply.headers.get(headers.MISSING_SHARDS) == b'0'
            assert reply.body == b'd' * 16 + b'c' * 16 + b'b' * 16 + b'a' * 16
            assert not other.counts.searcher_connections

    support.run(scenario())


def test_request_without_available_gateway_is_refused_at_once():
    """Guards against a client that waits while no gateway may connect."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _stamps(), connection_cap=_CAP)
            holder, other = await _gateways(bench, 'desk')
            await holder.__aexit__(None, None, None)
            client = await bench.caller(other.client_address)
            async with asyncio.timeout(1):
                ended = await client.get('/stamps/1')
            reply = gateway_bench.reply_of(ended)
            assert reply.status == 503
            assert reply.headers.get(b'retry-after')
            assert not searcher.got

    support.run(scenario())
