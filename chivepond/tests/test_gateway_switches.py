"""Switching the mechanisms of a gateway off and on."""

import asyncio
import types

import pytest
import result

from chivepond.decisions import (
    gather_plan,
    hedge_timing,
    searcher_choice,
    switches,
    upstream_health,
)
from chivepond.gateway import (
    group_request,
    peer_record,
    peers,
    searcher_selection,
    store_sync,
    sync_service,
    telemetry,
)
from chivepond.platform import documents, headers, store_calls
from chivepond.settings import gateway_settings, loader, mechanism
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.transport import address

_SETTINGS = """
node_id: gate-1
data_centre: base
region_by_data_centre: {base: coast}
callers: 127.0.0.1:1
readiness: 127.0.0.1:2
store: 127.0.0.1:3
peers: 127.0.0.1:4
"""


def _without(*mechanisms):
    return switches.Switches(mechanisms)


def _candidate(health, *, near=True):
    return searcher_choice.Candidate(
        searcher_id='near' if near else 'far',
        health=health,
        data_centre='base' if near else 'hub',
        is_in_data_centre=near,
        is_in_region=near,
        is_last_choice=False,
    )


def _chosen(near, far, mechanism_switches, now=1.0, *, is_idempotent=True):
    return searcher_choice.choose(
        (_candidate(near), _candidate(far, near=False)),
        now,
        mechanism_switches,
        searcher_choice.SearcherRequirements(0.2, is_idempotent=is_idempotent),
    ).searcher_id


def _health():
    return upstream_health.UpstreamHealth(2)


def test_an_unknown_mechanism_is_rejected_with_its_setting():
    """The error for an unknown mechanism names the setting that has it."""
    text = f'{_SETTINGS}switched_off: [second_asks, warp]\n'.encode()
    loaded = loader.parse(gateway_settings.GatewaySettings, text, 'here')
    assert 'switched_off' in str(loaded.unwrap_err())
    right = f'{_SETTINGS}switched_off: [second_asks]\n'.encode()
    match loader.parse(gateway_settings.GatewaySettings, right, 'here'):
        case result.Ok(settings):
            assert settings.switched_off == [mechanism.Mechanism.SECOND_ASKS]
        case wrong:
            pytest.fail(str(wrong))


def test_distrust_off_keeps_a_failing_searcher_usable():
    """With distrust off, a searcher that failed twice remains usable."""
    near, far = _health(), _health()
    near.failed(1, 1.0)
    near.failed(2, 1.0)
    disabled = _without(mechanism.Mechanism.DISTRUST)
    assert _chosen(near, far, _without()) == 'far'
    state = searcher_choice.health_state(_candidate(near), 1.0, disabled)
    assert state is upstream_health.HealthState.USABLE


def test_trials_off_sends_nothing_to_a_distrusted_searcher():
    """With trials off, a searcher that is due for a trial gets no request."""
    near, far = _health(), _health()
    for attempt in range(2):
        near.failed(attempt, 1.0)
        far.failed(attempt, 20.0)
    assert _chosen(near, far, _without(), 20.1) == 'near'
    near_only = _candidate(near)
    state = searcher_choice.health_state(near_only, 20.1, _without())
    assert state is upstream_health.HealthState.ON_TRIAL
    healthy = _health()
    disabled = _without(mechanism.Mechanism.TRIALS)
    assert _chosen(near, healthy, disabled, 20.1) == 'far'


def test_overdue_off_keeps_an_overdue_searcher_usable():
    """With overdue off, an overdue reply leaves its searcher usable."""
    near, far = _health(), _health()
    near.sent(1, 0.8)
    assert _chosen(near, far, _without()) == 'far'
    disabled = _without(mechanism.Mechanism.OVERDUE)
    assert searcher_choice.health_state(_candidate(near), 1.0, disabled) is (
        upstream_health.HealthState.USABLE
    )


def test_link_price_off_prefers_the_quicker_searcher():
    """With link price off, a remote searcher is chosen where it is quicker."""
    near, far = _health(), _health()
    near.sent(1, 0.99)
    assert _chosen(near, far, _without()) == 'near'
    assert _chosen(near, far, _without(mechanism.Mechanism.LINK_PRICE)) == 'far'


def test_learned_ask_time_off_uses_the_latest_hedge_delay():
    """With learned ask time off, hedges wait 0.38 of the target latency."""
    hedge_timer = hedge_timing.HedgeTiming()
    for _ in range(100):
        hedge_timer.learn(0.02)
    disabled = _without(mechanism.Mechanism.LEARNED_ASK_TIME)
    assert hedge_timer.delay_s(0.2, _without()) < hedge_timer.delay_s(
        0.2, disabled
    )
    assert hedge_timer.delay_s(0.2, disabled) == 0.38 * 0.2


def _far(data_centre, cost_s=0.03):
    return searcher_choice.QueryLocation(
        data_centre, is_far=True, cost_s=cost_s
    )


def test_one_region_and_remote_gather_off_change_the_plan():
    """With one region off, groups go to several regions.

    With remote gather off, the gateway queries all shards itself.
    """
    locations_by_shard = {
        f's{number}': [_far('hub'), _far('end', 0.031)] for number in range(6)
    }
    locations_by_shard |= {
        f't{number}': [_far('end'), _far('hub', 0.031)] for number in range(4)
    }
    helpers = frozenset(('hub', 'end'))
    one_region = gather_plan.plan(locations_by_shard, helpers, _without())
    assert set(one_region.shards_by_data_centre) == {'hub'}
    disabled = _without(mechanism.Mechanism.ONE_REGION)
    two_regions = gather_plan.plan(locations_by_shard, helpers, disabled)
    assert set(two_regions.shards_by_data_centre) == {'hub', 'end'}
    disabled = _without(mechanism.Mechanism.REMOTE_GATHER)
    local_only = gather_plan.plan(locations_by_shard, helpers, disabled)
    assert len(local_only.direct) == 10
    assert not local_only.shards_by_data_centre


async def _quick(request):
    return scripted_searcher.good(request, b'', 'quick')


async def _slow(request):
    await asyncio.sleep(0.3)
    return scripted_searcher.good(request, b'', 'slow')


def _all_shards():
    return gateway_bench.route(
        'all',
        '/all/',
        **documents.gathered(['one', 'two'], 5, 0.5, 200),
    )


async def _search(gateway, bench):
    """Return the reply to a search, and its duration in seconds."""
    caller = await bench.caller(gateway.client_address)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    reply = gateway_bench.reply_of(await caller.get('/all/'))
    return reply, loop.time() - started_at


def test_target_answer_is_switched_off_by_a_reload():
    """A reload switches a mechanism off without a restart.

    A search with one slow shard is answered at the target latency; with the
    mechanism off, it waits for all shards. The metrics show which one is on.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('a', 'one', _quick)
            await bench.searcher('b', 'two', _slow)
            bench.configure(1, _all_shards())
            gateway = await bench.ready_gateway()
            partial, took_s = await _search(gateway, bench)
            assert partial.headers.get(headers.MISSING_SHARDS) == b'1'
            assert took_s < 0.25
            changed_settings = gateway_bench.settings(
                store=str(bench.store.address),
                switched_off=[mechanism.Mechanism.TARGET_ANSWER],
            )
            gateway.reload(changed_settings, ['switched_off'])
            whole, took_s = await _search(gateway, bench)
            assert whole.headers.get(headers.MISSING_SHARDS) == b'0'
            assert took_s > 0.28
            metrics_client = await bench.caller(gateway.metrics)
            page = gateway_bench.reply_of(
                await metrics_client.get('/metrics')
            ).body
            name = b'chivepond_gateway_mechanism_is_on{of="%s"} %d'
            assert name % (b'target_answer', 0) in page
            assert name % (b'second_asks', 1) in page

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_second_asks_hedge_a_late_reply(is_on):
    """A late reply is hedged at another searcher, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            first = await bench.searcher('a', 'one', _slow)
            second = await bench.searcher('b', 'one', _slow)
            bench.configure(
                1,
                gateway_bench.route('all', '/all/', service='one'),
            )
            disabled = () if is_on else (mechanism.Mechanism.SECOND_ASKS,)
            gateway = await bench.ready_gateway(switched_off=list(disabled))
            await _search(gateway, bench)
            assert len(first.got) + len(second.got) == 1 + is_on

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_last_choice_keeps_a_searcher_without_an_entry(is_on):
    """A searcher whose entry is gone is still used, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('a', 'one', _quick)
            await bench.searcher('b', 'two', _quick)
            bench.configure(1, _all_shards())
            disabled = () if is_on else (mechanism.Mechanism.LAST_CHOICE,)
            gateway = await bench.ready_gateway(switched_off=list(disabled))
            bench.store.remove(store_calls.SEARCHERS, 'b')
            await asyncio.sleep(0.2)
            reply, _ = await _search(gateway, bench)
            missing = reply.headers.get(headers.MISSING_SHARDS)
            assert missing == b'%d' % (not is_on)

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_version_wait_delays_a_version_without_searchers(is_on):
    """A version whose service has no searchers waits, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('a', 'one', _quick)
            route = gateway_bench.route('all', '/all/', service='one')
            bench.configure(1, route)
            disabled = () if is_on else (mechanism.Mechanism.VERSION_WAIT,)
            gateway = await bench.ready_gateway(switched_off=list(disabled))
            bench.configure(2, route | {'service': 'none'})
            await asyncio.sleep(0.2)
            assert gateway.counts.routes_version == 2 - is_on

    support.run(scenario())


def _peers(mechanism_switches, own_mbps=100):
    own = peer_record.PeerRecord(
        'gate-4',
        address.Address('127.0.0.1', 1),
        'base',
        own_mbps,
    )
    known_peers = peers.Peers(
        own, telemetry.Telemetry('gate-4'), (), mechanism_switches
    )
    for number in range(1, 4):
        peer_address = address.Address('127.0.0.1', 1 + number)
        record = peer_record.PeerRecord(
            f'gate-{number}', peer_address, 'base', 10
        )
        known_peers.put(record)
    known_peers.mark_listed()
    return known_peers


def test_uneven_budget_and_shared_reader_can_be_switched_off():
    """With both off, shares are even and each gateway reads the store."""

    async def scenario() -> None:
        mechanism_switches = _without()
        others = _peers(mechanism_switches)
        sync = store_sync.StoreSync(
            3,
            address.Address('127.0.0.1', 9),
            sync_service.SyncService({}, asyncio.Event(), 'gate-4', 3),
            _peers(mechanism_switches, own_mbps=10),
            telemetry.Telemetry('gate-4'),
            mechanism_switches,
            None,
        )
        assert others.shares.of(frozenset()).part > 1 / others.gateways
        assert sync.followed_gateway().end.name == 'gate-1'
        mechanism_switches.off = frozenset(
            (
                mechanism.Mechanism.UNEVEN_BUDGET,
                mechanism.Mechanism.SHARED_READER,
            ),
        )
        assert others.shares.of(frozenset()).part == 1 / others.gateways
        assert sync.followed_gateway() is None

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_hopeless_shards_detects_ejected_searchers(is_on):
    """A shard whose searchers all fail is hopeless, unless switched off."""

    async def scenario() -> None:
        dead = _health()
        for attempt in range(2):
            dead.failed(attempt, asyncio.get_running_loop().time())
        disabled = () if is_on else (mechanism.Mechanism.HOPELESS_SHARDS,)
        selection = searcher_selection.SearcherSelection(
            types.SimpleNamespace(candidates=lambda _: [_candidate(dead)]),
            _without(*disabled),
        )
        assert selection.is_hopeless('one') is is_on

    support.run(scenario())


@pytest.mark.parametrize(('is_on', 'status'), [(True, 503), (False, 200)])
def test_search_admission_rejects_searches_under_overload(is_on, status):
    """Searches are rejected under overload, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('a', 'one', _quick)
            await bench.searcher('b', 'two', _quick)
            bench.configure(1, _all_shards())
            disabled = () if is_on else (mechanism.Mechanism.SEARCH_ADMISSION,)
            gateway = await bench.ready_gateway(switched_off=list(disabled))
            gateway._components.context.admission.share = 0
            reply, _ = await _search(gateway, bench)
            assert reply.status == status

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_peer_news_replace_the_unreachable_store(is_on):
    """Without the store, updates come from a peer, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('a', 'one', _quick)
            route = gateway_bench.route('all', '/all/', service='one')
            bench.configure(1, route)
            follower = await bench.ready_gateway(node_id='gate-2')
            disabled = () if is_on else (mechanism.Mechanism.PEER_NEWS,)
            async with gateway_bench.TcpProxy(bench.store.address) as relay:
                isolated = await bench.ready_gateway(
                    store=str(relay.address),
                    switched_off=list(disabled),
                )
                await gateway_bench.until(
                    lambda: isolated.counts.gateways_known == 2,
                )
            bench.configure(2, route)
            await gateway_bench.until(
                lambda: follower.counts.routes_version == 2,
            )
            await asyncio.sleep(1.2)
            assert isolated.counts.routes_version == 1 + is_on

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_late_groups_are_kept_and_repeated(is_on):
    """A late group is repeated and kept connected, unless switched off."""
    disabled = (
        mechanism.Mechanism.KEPT_GROUPS,
        mechanism.Mechanism.REPEATED_GROUPS,
    )
    work = types.SimpleNamespace(
        request_context=types.SimpleNamespace(
            switches=_without() if is_on else _without(*disabled),
        ),
    )
    group = group_request.GroupRequest(work, None, [], None, list)
    group.keep_attempts_running()
    assert group.is_left_running is is_on
    assert group.may_retry() is is_on


@pytest.mark.parametrize('is_on', [True, False])
def test_stragglers_keep_a_superseded_attempt_as_a_probe(is_on):
    """A superseded attempt continues as a probe, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            slow = await bench.searcher('a', 'one', _slow)
            far = await bench.searcher('b', 'one', _quick, zone='hub')
            bench.configure(
                1,
                gateway_bench.route(
                    'all',
                    '/all/',
                    service='one',
                    target_latency_ms=100,
                ),
            )
            disabled = () if is_on else (mechanism.Mechanism.STRAGGLERS,)
            gateway = await bench.hedging_gateway(switched_off=list(disabled))
            await _search(gateway, bench)
            assert len(slow.got) == 1
            await asyncio.sleep(0.05)
            probes = gateway.counts.searcher_connections - far.connections
            assert probes == is_on

    support.run(scenario())


async def _quarter(request: scripted_searcher.Got) -> scripted_searcher.Told:
    await asyncio.sleep(0.25)
    return scripted_searcher.good(request, b'0' * 16)


@pytest.mark.parametrize('is_on', [True, False])
def test_hedge_gain_skips_a_hedge_that_would_be_late(is_on):
    """A hedge that would reply too late is skipped, unless switched off."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            copies = [
                await bench.searcher(name, 'one', _quarter)
                for name in ('a', 'b')
            ]
            route = {'service': 'one', 'target_latency_ms': 300}
            bench.configure(1, gateway_bench.route('all', '/all/', **route))
            disabled = () if is_on else (mechanism.Mechanism.HEDGE_GAIN,)
            gateway = await bench.ready_gateway(switched_off=list(disabled))
            clients = [
                await bench.caller(gateway.client_address) for _ in range(8)
            ]
            for _ in range(2):
                await asyncio.gather(
                    *(client.get('/all/x') for client in clients)
                )
            assert all(len(copy.got) > 2 for copy in copies)
            before = sum(len(copy.got) for copy in copies)
            await clients[0].get('/all/x')
            sent = sum(len(copy.got) for copy in copies) - before
            assert sent == 2 - is_on

    support.run(scenario())


@pytest.mark.parametrize('is_on', [True, False])
def test_shard_shedding_skips_a_shard_that_is_always_late(is_on):
    """A shard that is always late gets fewer requests, unless switched off."""
    shards = [f'shard-{number}' for number in range(20)]

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searchers = [
                await bench.searcher(name, name, _quick) for name in shards[1:]
            ]
            assert searchers
            slow = await bench.searcher('slow', shards[0], _slow)
            bench.configure(
                1,
                gateway_bench.route(
                    'all',
                    '/all/',
                    gather=shards,
                    top_k=3,
                    min_shard_ratio=0.9,
                    target_latency_ms=60,
                ),
            )
            disabled = () if is_on else (mechanism.Mechanism.SHARD_SHEDDING,)
            gateway = await bench.ready_gateway(switched_off=list(disabled))
            client = await bench.caller(gateway.client_address)
            for _ in range(20):
                await client.get('/all/x')
                await asyncio.sleep(0.02)
            assert (len(slow.got) < 20) == is_on

    support.run(scenario())
