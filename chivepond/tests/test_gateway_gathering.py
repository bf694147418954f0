"""Searches that the gateway fans out over all shards."""

import asyncio
import contextlib
import struct

import hypothesis
from hypothesis import strategies

from chivepond.decisions import gather_time
from chivepond.gateway import (
    group_request,
    merge,
    peer_message,
    shard_requests,
    shard_results,
)
from chivepond.platform import headers
from chivepond.standins import routed_store, scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.wire import gather_request

ReceivedRequest = scripted_searcher.Got
ScriptedReply = scripted_searcher.Told

_SHARDS = ('a', 'b', 'c', 'd')


def _record(number: int) -> bytes:
    return struct.pack('>QQ', number, 0)


def _part(signature: str, *numbers: int) -> scripted_searcher.Reply:
    async def reply(request: ReceivedRequest) -> ScriptedReply:
        body = b''.join(_record(number) for number in numbers)
        return scripted_searcher.good(request, body + b'rest', signature)

    return reply


async def _hang(request: ReceivedRequest) -> ScriptedReply:
    await asyncio.sleep(3)
    return ScriptedReply(b'')


def _search(**overrides):
    return gateway_bench.route(
        'search',
        '/search/',
        **{
            'gather': list(_SHARDS),
            'top_k': 3,
            'min_shard_ratio': 0.75,
            'target_latency_ms': 300,
        }
        | overrides,
    )


async def _start(bench: gateway_bench.Bench, **reply_by_shard):
    """Start a searcher for each shard, and a gateway."""
    searchers = {}
    for number, shard in enumerate(_SHARDS):
        reply = reply_by_shard.get(shard, _part(shard, number, number + 10))
        searchers[shard] = await bench.searcher(f's-{shard}', shard, reply)
    bench.configure(1, _search())
    return searchers, await bench.ready_gateway()


async def _start_remote_searchers(
    bench: gateway_bench.Bench, *local_shards, **reply_by_shard
):
    """Start a searcher for each shard and return the searchers by shard.

    Those of ``local_shards`` are in the data centre of the local gateway, the
    others in another one.
    """
    searchers = {}
    for number, shard in enumerate(_SHARDS):
        searchers[shard] = await bench.searcher(
            f's-{shard}',
            shard,
            reply_by_shard.get(shard, _part(shard, number)),
            zone='base' if shard in local_shards else 'hub',
        )
    bench.configure(1, _search())
    return searchers


async def _start_remote_gateway(bench: gateway_bench.Bench, **overrides):
    """Start a gateway in the data centre of the remote searchers."""
    return await bench.ready_gateway(
        **{'node_id': 'gate-2', 'data_centre': 'hub'} | overrides,
    )


async def _start_local_gateway(bench: gateway_bench.Bench, **overrides):
    """Start the gateway for clients; wait until it knows another gateway."""
    local_gateway = await bench.ready_gateway(**overrides)
    await gateway_bench.until(lambda: local_gateway.counts.gateways_known == 2)
    return local_gateway


def _signatures(reply) -> set[bytes]:
    field_value = reply.headers.get(headers.PART_SIGNATURES)
    return set(field_value.split(b', '))


def test_response_has_the_greatest_records_of_all_shards():
    """All shards reply: the records are in descending order, none missing."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers, gateway = await _start(bench)
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.body == b''.join(map(_record, (13, 12, 11)))
            assert _signatures(reply) == {b'a', b'b', b'c', b'd'}
            assert reply.headers.get(headers.MISSING_SHARDS) == b'0'
            assert all(len(one.got) == 1 for one in searchers.values())

    support.run(scenario())


def test_response_at_target_latency_counts_missing_shards():
    """Guards against a search that waits for one slow shard.

    One shard of four hangs. The response arrives within the target latency
    with the results of the other three, and reports one missing shard.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, gateway = await _start(bench, d=_hang)
            caller = await bench.caller(gateway.client_address)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert asyncio.get_running_loop().time() - began < 0.32
            assert reply.headers.get(headers.MISSING_SHARDS) == b'1'
            assert _signatures(reply) == {b'a', b'b', b'c'}

    support.run(scenario())


def test_failed_reply_is_not_merged():
    """An error reply has a signature, but its body is not merged."""

    async def fail(request: ReceivedRequest) -> ScriptedReply:
        reply = scripted_searcher.good(request, _record(99), 'bad')
        return ScriptedReply(reply.written.replace(b'200 OK', b'500 No'))

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, gateway = await _start(bench, b=fail)
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert _signatures(reply) == {b'a', b'c', b'd'}
            assert _record(99) not in reply.body

    support.run(scenario())


def test_too_few_shards_are_reported_at_once():
    """Two of four shards fail where three are needed: 502 at once."""

    async def refuse(request: ReceivedRequest) -> ScriptedReply:
        return scripted_searcher.not_run(503)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, gateway = await _start(bench, b=refuse, c=refuse)
            caller = await bench.caller(gateway.client_address)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.status == 502
            assert asyncio.get_running_loop().time() - began < 0.29

    support.run(scenario())


def test_search_that_still_runs_is_not_reported_as_not_run():
    """Guards against a 503 for a search that two shards still run.

    Two of four shards refuse the search, where three are needed; the other
    two are running it. The response is a 502 at once, which doesn't claim that
    the search did not run.
    """

    async def refuse(request: ReceivedRequest) -> ScriptedReply:
        return scripted_searcher.not_run(503)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, gateway = await _start(
                bench, a=_hang, b=refuse, c=refuse, d=_hang
            )
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.status == 502

    support.run(scenario())


def test_search_without_enough_searchers_is_refused_at_once():
    """Two of four shards have no searcher: refused without any request."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-a', 'a', _part('a', 1))
            await bench.searcher('s-b', 'b', _part('b', 1))
            bench.configure(1, _search())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.status == 503
            assert reply.headers.get(b'retry-after')
            assert not searcher.got

    support.run(scenario())


def test_paused_searcher_is_hedged():
    """Guards against a search that waits for a paused searcher.

    The second searcher of the shard gets a second send while the first one is
    paused, and the response is complete and in time.
    """

    async def paused(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(1)
        return scripted_searcher.good(request, _record(1), 'late')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, gateway = await _start(bench, c=paused)
            other = await bench.searcher(
                's-c2',
                'c',
                _part('c2', 7),
                zone='hub',
            )
            await gateway_bench.until(
                lambda: gateway.counts.searchers_known == 5
            )
            caller = await bench.caller(gateway.client_address)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert asyncio.get_running_loop().time() - began < 0.25
            assert reply.headers.get(headers.MISSING_SHARDS) == b'0'
            assert len(other.got) == 1

    support.run(scenario())


def test_remote_gateway_gathers_from_its_searchers():
    """Results cross between regions in one message, not one by one."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = await _start_remote_searchers(bench)
            remote_gateway = await _start_remote_gateway(bench)
            local_gateway = await _start_local_gateway(bench)
            caller = await bench.caller(local_gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.body == b''.join(map(_record, (3, 2, 1)))
            assert _signatures(reply) == {b'a', b'b', b'c', b'd'}
            assert all(len(one.got) == 1 for one in searchers.values())
            assert remote_gateway.counts.searcher_connections == 4
            assert local_gateway.counts.searcher_connections == 0

    support.run(scenario())


def test_stopped_remote_gateway_is_bypassed():
    """The remote gateway has stopped: the searchers are requested directly."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _start_remote_searchers(bench)
            remote_gateway = await _start_remote_gateway(bench)
            local_gateway = await _start_local_gateway(bench)
            await remote_gateway.__aexit__(None, None, None)
            caller = await bench.caller(local_gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.headers.get(headers.MISSING_SHARDS) == b'0'

    support.run(scenario())


def test_silent_gateway_causes_no_third_attempt():
    """Guards against a third attempt at a shard where two are allowed.

    The remote gateway may have sent the search to two searchers before it
    stopped replying; a request from the local gateway would be the third.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = await _start_remote_searchers(bench)
            silent = scripted_searcher.ScriptedSearcher(_hang)
            async with silent:
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {'address': str(silent.address), 'data_centre': 'hub'},
                )
                local_gateway = await _start_local_gateway(bench)
                caller = await bench.caller(local_gateway.client_address)
                reply = gateway_bench.reply_of(await caller.get('/search/x'))
                assert reply.status == 502
                assert not any(one.got for one in searchers.values())
                # The next search bypasses the silent gateway.
                reply = gateway_bench.reply_of(await caller.get('/search/x'))
                assert reply.status == 200

    support.run(scenario())


def test_shards_refused_through_another_gateway_are_not_retried():
    """Guards against twice the allowed second sends to overloaded searchers.

    All searchers refuse requests. The remote gateway has sent to each of them,
    and the local gateway would send to the same ones again, in spite of the
    budget for second sends, which is zero here.
    """

    async def refuse(request: ReceivedRequest) -> ScriptedReply:
        return scripted_searcher.not_run(503)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = [
                await bench.searcher(f's-{shard}', shard, refuse, zone='hub')
                for shard in _SHARDS
            ]
            bench.configure(1, _search())
            no_hedge_budget = {'second_send_burst': 0, 'second_send_share': 0}
            await _start_remote_gateway(bench, **no_hedge_budget)
            local_gateway = await _start_local_gateway(bench, **no_hedge_budget)
            caller = await bench.caller(local_gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.status in {502, 503}
            assert [len(one.got) for one in searchers] == [1, 1, 1, 1]

    support.run(scenario())


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=100), max_size=6),
    strategies.integers(1, 8),
)
def test_merge_equals_sorting_all_whole_records(bodies, count):
    """The greatest records in descending order, with duplicates."""
    records = [
        body[start : start + 16]
        for body in bodies
        for start in range(0, len(body) // 16 * 16, 16)
    ]
    expected = b''.join(sorted(records, reverse=True)[:count])
    assert merge.greatest(bodies, count) == expected


def test_remote_gateway_without_searchers_is_bypassed():
    """Guards against searches that fail because of an outdated gateway.

    The remote gateway knows no searcher of the shards and reports that it
    requested none, so the local gateway requests the shards directly.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _start_remote_searchers(bench)
            async with routed_store.RoutedStore() as empty:
                remote_gateway = await bench.unready_gateway(
                    node_id='gate-2',
                    data_centre='hub',
                    store=str(empty.address),
                )
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {
                        'address': str(remote_gateway.peers),
                        'data_centre': 'hub',
                    },
                )
                local_gateway = await _start_local_gateway(bench)
                caller = await bench.caller(local_gateway.client_address)
                reply = gateway_bench.reply_of(await caller.get('/search/x'))
                assert reply.headers.get(headers.MISSING_SHARDS) == b'0'

    support.run(scenario())


def test_late_remote_results_complete_the_response():
    """Guards against a search that fails although results are on their way.

    The searchers of two remote shards are slow. The remote gateway has too few
    results at the target latency; it continues and returns the rest later.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            for number, shard in enumerate(_SHARDS):
                reply = _part(shard, number)
                if number > 1:
                    reply = _delayed(0.5, reply)
                await bench.searcher(f's-{shard}', shard, reply, zone='hub')
            bench.configure(1, _search())
            await _start_remote_gateway(bench)
            local_gateway = await _start_local_gateway(bench)
            caller = await bench.caller(local_gateway.client_address)
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert reply.status == 200
            assert int(reply.headers.get(headers.MISSING_SHARDS)) <= 1
            assert {b'a', b'b'} < _signatures(reply)

    support.run(scenario())


def _delayed(
    delay_s: float,
    reply: scripted_searcher.Reply,
) -> scripted_searcher.Reply:
    async def slow(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(delay_s)
        return await reply(request)

    return slow


def test_lost_packet_loses_no_group():
    """Guards against a search that loses all shards of a region.

    The reply of the remote gateway is stuck on its connection. A request on
    another connection returns its results; no searcher gets a second request.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = await _start_remote_searchers(bench)
            remote_gateway = await _start_remote_gateway(bench)
            async with gateway_bench.TcpProxy(remote_gateway.peers) as proxy:
                proxy.hold_replies(1)
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {'address': str(proxy.address), 'data_centre': 'hub'},
                )
                local_gateway = await _start_local_gateway(bench)
                caller = await bench.caller(local_gateway.client_address)
                reply = gateway_bench.reply_of(await caller.get('/search/x'))
                assert reply.headers.get(headers.MISSING_SHARDS) == b'0'
                assert [len(one.got) for one in searchers.values()] == [
                    1,
                    1,
                    1,
                    1,
                ]

    support.run(scenario())


def test_group_requested_again_too_late_causes_no_further_attempt(monkeypatch):
    """Guards against a third attempt at a shard after a gateway's pause.

    The local gateway requests a missing reply again when the remote one has
    discarded the search: no answer tells then whether it ran.
    """
    monkeypatch.setattr(group_request, '_REPLY_GRACE_S', 0.4)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = await _start_remote_searchers(bench)
            remote_gateway = await _start_remote_gateway(bench)
            async with gateway_bench.TcpProxy(remote_gateway.peers) as proxy:
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {'address': str(proxy.address), 'data_centre': 'hub'},
                )
                local_gateway = await _start_local_gateway(bench)
                caller = await bench.caller(local_gateway.client_address)
                proxy.drop_reply(b'late-search')
                raw = gateway_bench.request(
                    'GET', '/search/x', request_id='late-search'
                )
                reply = gateway_bench.reply_of(await caller.send(raw))
                assert reply.status == 502
                requests = [len(one.got) for one in searchers.values()]
                assert requests == [1, 1, 1, 1]

    support.run(scenario())


def test_group_that_was_reported_as_not_received_is_never_run():
    """Guards against a group that two gateways run after a lost packet.

    The request of the group arrives after the report, and its connection is
    still open.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = await _start_remote_searchers(bench)
            remote_gateway = await _start_remote_gateway(bench)
            caller = await bench.caller(remote_gateway.peers)
            repeated = peer_message.remaining_parts_message(
                b'lost', has_reply=False
            )
            reply = gateway_bench.reply_of(
                await caller.send(repeated.encode('gate-2', 1))
            )
            assert reply.status == 404
            gather = gather_request.GatherRequest(
                request_id=b'lost',
                head=b'GET /search/x HTTP/1.1\r\n',
                body=b'',
                route='search',
                shards=list(searchers),
                least_share=0.5,
                top_count=2,
                max_attempts=2,
                answer_in_s=0.2,
                left_s=1,
                target_latency_s=0.2,
            )
            due_at = asyncio.get_running_loop().time() + 0.2
            delayed = peer_message.GatherMessage(gather, due_at)
            reply = gateway_bench.reply_of(
                await caller.send(delayed.encode('gate-2', 1))
            )
            assert reply.status == 409
            assert not any(one.got for one in searchers.values())

    support.run(scenario())


def test_group_delayed_beyond_its_report_is_not_run():
    """Guards against a third attempt at a shard after a lost packet.

    The request of a group is delayed in the network. The remote gateway
    reports that it knows no such search, the local one sends the shards
    itself, and then the request arrives.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = await _start_remote_searchers(bench)
            remote_gateway = await _start_remote_gateway(bench)
            async with gateway_bench.TcpProxy(remote_gateway.peers) as proxy:
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {'address': str(proxy.address), 'data_centre': 'hub'},
                )
                local_gateway = await _start_local_gateway(bench)
                caller = await bench.caller(local_gateway.client_address)
                proxy.delay_request(b'slow-search', 0.7)
                raw = gateway_bench.request(
                    'GET', '/search/x', request_id='slow-search'
                )
                reply = gateway_bench.reply_of(await caller.send(raw))
                assert reply.status == 200
                await asyncio.sleep(0.5)
                requests = [len(one.got) for one in searchers.values()]
                assert requests == [1, 1, 1, 1]

    support.run(scenario())


def test_response_without_a_group_keeps_its_connection():
    """Guards against every second search being late while a shard is silent.

    The remote gateway waits for that shard, and the response is sent without
    the group. If that closed the connection to the gateway, the next search
    would have to open one first, and its group would be late as well.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            for number, shard in enumerate(_SHARDS):
                reply = _hang if shard == 'd' else _part(shard, number)
                zone = 'base' if shard == 'a' else 'hub'
                await bench.searcher(f's-{shard}', shard, reply, zone=zone)
            bench.configure(1, _search(min_shard_ratio=0.25))
            remote_gateway = await _start_remote_gateway(bench)
            async with gateway_bench.TcpProxy(
                remote_gateway.peers, 0.03
            ) as proxy:
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {'address': str(proxy.address), 'data_centre': 'hub'},
                )
                local_gateway = await _start_local_gateway(bench)
                connections_before = proxy.connections
                caller = await bench.caller(local_gateway.client_address)
                for _ in range(4):
                    reply = gateway_bench.reply_of(
                        await caller.get('/search/x'),
                    )
                    assert reply.status == 200
                    await asyncio.sleep(0.2)
                # One for the group, one to request a late reply again.
                assert proxy.connections - connections_before <= 2

    support.run(scenario())


def test_silent_shard_does_not_delay_late_results():
    """Guards against a search that fails although it had enough results.

    Three of four results are enough. In one group, a shard is slow and another
    never replies; the remote gateway held the slow result back until the whole
    group was complete.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            reply_by_shard = {
                'c': _delayed(0.5, _part('c', 2)),
                'd': _hang,
            }
            for number, shard in enumerate(_SHARDS):
                await bench.searcher(
                    f's-{shard}',
                    shard,
                    reply_by_shard.get(shard, _part(shard, number)),
                    zone='base' if shard == 'a' else 'hub',
                )
            bench.configure(1, _search())
            await _start_remote_gateway(bench)
            local_gateway = await _start_local_gateway(bench)
            caller = await bench.caller(local_gateway.client_address)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/search/x'))
            assert asyncio.get_running_loop().time() - began < 0.8
            assert _signatures(reply) == {b'a', b'b', b'c'}

    support.run(scenario())


def test_shard_that_is_down_does_not_delay_responses():
    """Guards against searches that all take the target latency.

    The searcher of one shard accepts requests and never replies. After two of
    them, responses no longer wait for it once the other shards have replied.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            _, gateway = await _start(bench, d=_hang)
            caller = await bench.caller(gateway.client_address)
            durations_s = []
            for _ in range(5):
                began = asyncio.get_running_loop().time()
                reply = gateway_bench.reply_of(await caller.get('/search/x'))
                durations_s.append(asyncio.get_running_loop().time() - began)
                assert _signatures(reply) == {b'a', b'b', b'c'}
                await asyncio.sleep(0.4)
            assert durations_s[0] > 0.2
            assert min(durations_s[2:]) < 0.1

    support.run(scenario())


def test_overdue_group_is_requested_for_more_results():
    """Guards against a search that ends at its deadline with results ready.

    The host was paused for 0.3 s. The first reply of the remote gateway arrived
    after the response was due and announced more results. They were never
    requested, and the search waited for a second with no request in flight.
    """

    async def scenario() -> None:
        coverage = gather_time.Coverage(2, 1)
        collected = shard_results.ShardResults(('a', 'b'), coverage)
        reply = gather_request.GatherReply(
            records=b'',
            signature_by_shard={'a': b'1', 'b': b'2'},
            reason_by_shard={},
            unasked=[],
            has_more=False,
            queued=0,
            took_s=0.1,
        )

        async def add_results() -> None:
            collected.add_group(reply)

        loop = asyncio.get_running_loop()
        began = loop.time()
        with shard_requests.ShardRequests(
            collected, None, None, None, None
        ) as requests:
            waiter = asyncio.create_task(requests.wait_enough(began + 3))
            await asyncio.sleep(0.05)
            requests.add_fallback(add_results)
            await waiter
        assert collected.is_enough
        assert loop.time() - began < 1

    support.run(scenario())


def _numbered_part(shard: str, delay_s: float = 0) -> scripted_searcher.Reply:
    """Return a searcher whose record has the number at the end of the path."""

    async def reply(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(delay_s)
        number = int(request.line.split()[1].rsplit(b'/', 1)[-1])
        return scripted_searcher.good(request, _record(number), shard)

    return reply


@contextlib.asynccontextmanager
async def _proxied_gateway(bench: gateway_bench.Bench, **overrides):
    """Start a remote gateway behind a proxy; yield the proxy."""
    remote_gateway = await _start_remote_gateway(bench, **overrides)
    async with gateway_bench.TcpProxy(remote_gateway.peers) as proxy:
        bench.store.put(
            'chivepond-gateways',
            overrides.get('node_id', 'gate-2'),
            {'address': str(proxy.address), 'data_centre': 'hub'},
        )
        yield proxy


def test_groups_of_one_search_at_one_gateway_are_not_mixed_up():
    """Guards against a success with the records of one group twice.

    The remote gateway gathers the shards of its data centre, and the one to
    which the local gateway may not connect. The reply of that group is lost.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            for number, shard in enumerate(_SHARDS):
                is_local = shard == 'd'
                reply = _part(shard, number)
                await bench.searcher(
                    f's-{shard}',
                    shard,
                    reply if is_local else _delayed(0.1, reply),
                    zone='base' if is_local else 'hub',
                )
            bench.configure(1, _search(top_k=8), connection_cap=2)
            async with _proxied_gateway(bench, node_id='gate-0') as proxy:
                local_gateway = await _start_local_gateway(bench)
                assert not local_gateway.counts.connections_to('d')
                proxy.drop_reply(b'two-groups', 2)
                caller = await bench.caller(local_gateway.client_address)
                reply = gateway_bench.reply_of(
                    await caller.get('/search/x', request_id='two-groups'),
                )
                shards = sorted(_signatures(reply), reverse=True)
                assert reply.body == b''.join(
                    _record(_SHARDS.index(shard.decode())) for shard in shards
                )

    support.run(scenario())


def test_searches_with_one_identifier_are_not_mixed_up():
    """Guards against a success with the records of another client's search.

    Two clients send the same identifier, and the reply for the group of the
    first search is lost.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            for shard in _SHARDS:
                await bench.searcher(
                    f's-{shard}', shard, _numbered_part(shard), zone='hub'
                )
            bench.configure(1, _search(top_k=8))
            async with _proxied_gateway(bench) as proxy:
                local_gateway = await _start_local_gateway(bench)
                proxy.drop_reply(b'same-id')
                replies = await _search_twice(bench, local_gateway)
                assert [reply.body for reply in replies] == [
                    _record(1) * 4,
                    _record(2) * 4,
                ]

    support.run(scenario())


async def _search_twice(bench: gateway_bench.Bench, local_gateway):
    """Send two searches with one identifier, the second 50 ms later."""
    callers = [
        await bench.caller(local_gateway.client_address) for _ in range(2)
    ]
    searches = []
    for number, caller in enumerate(callers, start=1):
        searches.append(
            asyncio.create_task(
                caller.get(f'/search/{number}', request_id='same-id')
            )
        )
        await asyncio.sleep(0.05)
    return [
        gateway_bench.reply_of(reply)
        for reply in await asyncio.gather(*searches)
    ]


def test_cancelled_search_leaves_one_with_the_same_identifier_running():
    """Guards against a search that ends because another client left."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            for shard in _SHARDS:
                await bench.searcher(
                    f's-{shard}', shard, _numbered_part(shard, 0.2), zone='hub'
                )
            bench.configure(1, _search(top_k=8))
            await _start_remote_gateway(bench)
            local_gateway = await _start_local_gateway(bench)
            leaving = await bench.caller(local_gateway.client_address)
            staying = await bench.caller(local_gateway.client_address)
            abandoned = asyncio.create_task(
                leaving.get('/search/1', request_id='same-id')
            )
            await asyncio.sleep(0.05)
            kept = asyncio.create_task(
                staying.get('/search/2', request_id='same-id')
            )
            await asyncio.sleep(0.05)
            leaving.connection.abort()
            reply = gateway_bench.reply_of(await kept)
            assert reply.body == _record(2) * 4
            await abandoned

    support.run(scenario())
