"""Tests when a gateway activates a new version of its routes."""

import asyncio

import hypothesis
from hypothesis import strategies

from chivepond.decisions import version_wait
from chivepond.standins import routed_store, scripted_searcher
from chivepond.tests import gateway_bench, support

ReceivedRequest = scripted_searcher.Got
ScriptedReply = scripted_searcher.Told

_OLD_SHARDS = ('a', 'b')
_NEW_SHARDS = ('c', 'd', 'e')


async def _empty_part(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.good(request, b'')


def _search(shards: tuple[str, ...], **overrides):
    return gateway_bench.route(
        'search',
        '/search/',
        **{
            'gather': list(shards),
            'top_k': 3,
            'min_shard_ratio': 0.6,
            'target_latency_ms': 300,
        }
        | overrides,
    )


async def _status(caller) -> int:
    return gateway_bench.reply_of(await caller.get('/search/x')).status


async def _register_searchers(
    bench: gateway_bench.Bench, shards, **overrides
) -> None:
    for shard in shards:
        await bench.searcher(f's-{shard}', shard, _empty_part, **overrides)


def test_a_version_with_new_shards_waits_for_their_searchers():
    """Guards against searches that all fail after the index is resharded.

    When the store recovered from an outage, the version with the new shards
    was read at once. Their searchers registered some heartbeats later, while
    those of the old shards still served; all searches were refused for a
    second.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _register_searchers(bench, _OLD_SHARDS)
            bench.configure(1, _search(_OLD_SHARDS))
            gateway = await bench.ready_gateway(
                routes_bound_ms=60000,
                leaving_bound_ms=60000,
            )
            caller = await bench.caller(gateway.client_address)
            bench.configure(2, _search(_NEW_SHARDS))
            for _ in range(6):
                await asyncio.sleep(0.08)
                assert await _status(caller) == 200
            assert gateway.counts.routes_version == 1
            await _register_searchers(bench, _NEW_SHARDS)
            await gateway_bench.until(
                lambda: gateway.counts.routes_version == 2
            )
            assert await _status(caller) == 200

    support.run(scenario())


def test_a_version_without_searchers_is_active_within_the_bound():
    """A version becomes active even if its searchers never register.

    A newer version that arrives during the wait does not extend it.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _register_searchers(bench, _OLD_SHARDS)
            bench.configure(1, _search(_OLD_SHARDS))
            gateway = await bench.ready_gateway(routes_bound_ms=2000)
            started_at = asyncio.get_running_loop().time()
            for version in range(2, 7):
                bench.configure(version, _search(_NEW_SHARDS))
                await asyncio.sleep(0.15)
            await gateway_bench.until(
                lambda: gateway.counts.routes_version == 6
            )
            took_s = asyncio.get_running_loop().time() - started_at
            assert took_s < 1.4
            caller = await bench.caller(gateway.client_address)
            assert await _status(caller) == 503

    support.run(scenario())


def test_a_version_that_is_read_late_waits_less_for_its_searchers():
    """Guards against a bound that begins when a version is read.

    The version may have been acknowledged right after the last confirmation.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _register_searchers(bench, _OLD_SHARDS)
            bench.configure(1, _search(_OLD_SHARDS))
            gateway = await bench.ready_gateway(
                routes_bound_ms=12000, leaving_bound_ms=12000
            )
            known = gateway._components.store_updates.configuration_replica
            known.confirmed_at = asyncio.get_running_loop().time() - 11
            bench.configure(2, _search(_NEW_SHARDS))
            async with asyncio.timeout(2):
                while gateway.counts.routes_version < 2:
                    await asyncio.sleep(0.05)

    support.run(scenario())


def test_a_version_whose_searchers_are_listed_is_active_at_once():
    """A version that adds a route with listed searchers does not wait."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _register_searchers(bench, _OLD_SHARDS)
            bench.configure(1, _search(_OLD_SHARDS))
            gateway = await bench.ready_gateway(routes_bound_ms=20000)
            bench.configure(
                2,
                _search(_OLD_SHARDS),
                gateway_bench.route('n', '/n/', service='a'),
            )
            await gateway_bench.until(
                lambda: gateway.counts.routes_version == 2
            )

    support.run(scenario())


def test_a_gateway_gathers_only_shards_of_its_active_version():
    """Guards against a gateway that acts on an older version of the shards.

    It already routed by the newer version, and gathered the old shards for
    another gateway that had not read it yet. That one must query them itself.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await _register_searchers(bench, (*_OLD_SHARDS, 'q'), zone='hub')
            bench.configure(1, _search((*_OLD_SHARDS, 'q')))
            async with routed_store.RoutedStore() as newer_store:
                newer_bench = gateway_bench.Bench()
                newer_bench.store = newer_store
                newer_bench.configure(2, _search(_NEW_SHARDS))
                for shard in (*_OLD_SHARDS, 'q'):
                    bench.copy_searcher(f's-{shard}', newer_store)
                remote = await bench.unready_gateway(
                    node_id='gate-2',
                    data_centre='hub',
                    store=str(newer_store.address),
                )
                await gateway_bench.until(
                    lambda: remote.counts.routes_version == 2,
                )
                bench.store.put(
                    'chivepond-gateways',
                    'gate-2',
                    {'address': str(remote.peers), 'data_centre': 'hub'},
                )
                local = await bench.ready_gateway()
                await gateway_bench.until(
                    lambda: local.counts.gateways_known == 2,
                )
                caller = await bench.caller(local.client_address)
                assert await _status(caller) == 200
                assert not remote.counts.searcher_connections
                assert local.counts.searcher_connections == 3

    support.run(scenario())


@hypothesis.given(
    strategies.sets(strategies.sampled_from('abcdefgh')),
    strategies.sets(strategies.sampled_from('abcdefgh'), min_size=1),
)
def test_a_search_is_served_if_its_least_share_of_shards_is_listed(
    listed, shards
):
    """Compares the decision with the share of shards that have searchers."""
    is_served = version_wait.is_search_served(
        tuple(sorted(shards)),
        0.5,
        listed.__contains__,
    )
    assert is_served == (len(listed & shards) >= 0.5 * len(shards))
