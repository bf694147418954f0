"""Gateways on links that carry a few Mbit/s, and configurations that grow."""

import asyncio
import itertools

import msgspec

from chivepond.platform import store_calls
from chivepond.standins import narrow_link, scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.wire import gateway_entry

#: About 0.9 MB, close to the largest object that the store takes.
_ROUTES = 5000
_BYTES_PER_S = 500_000
_BOUND_S = 3
_names = itertools.count(7919)


async def _echo(got: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(got, got.line)


def _large():
    """Return routes whose names and paths differ as operators' do."""
    return [
        gateway_bench.route(
            f'r-{number * 2654435761 % 2**35:07x}',
            f'/{number * 40503 % 2**31:x}/',
            service='desk',
        )
        for number in itertools.islice(_names, _ROUTES)
    ]


async def _pair(bench, narrow):
    """Start a gateway, and one behind a narrow link that follows it."""
    await bench.searcher('s-1', 'desk', _echo)
    bench.configure(1, gateway_bench.route('desk', '/desk/', service='desk'))
    first = await bench.ready_gateway(node_id='gate-1')
    entry = gateway_entry.GatewayEntry(
        str(await narrow.to(first.peers)),
        'base',
        1000,
    )
    bench.store.put(store_calls.GATEWAYS, 'gate-1', msgspec.to_builtins(entry))
    second = await bench.ready_gateway(
        node_id='gate-2',
        store=str(await narrow.to(bench.store.address)),
        routes_bound_ms=_BOUND_S * 1000,
        leaving_bound_ms=_BOUND_S * 1000,
    )
    await gateway_bench.until(lambda: second._parts.sync.origin == 'gate-1')
    return second


async def _until_version(gate, version):
    async with asyncio.timeout(_BOUND_S):
        while gate.figures.routes_version != version:
            await asyncio.sleep(0.01)


def test_a_large_configuration_reaches_a_gateway_on_a_narrow_link():
    """Guards against transfers that are cut off and begun anew for ever."""

    async def play() -> None:
        async with (
            gateway_bench.Bench() as bench,
            narrow_link.NarrowLink(_BYTES_PER_S) as narrow,
        ):
            second = await _pair(bench, narrow)
            bench.configure(2, *_large())
            await _until_version(second, 2)

    support.run(play())


def test_a_large_configuration_is_read_from_the_store_over_a_narrow_link():
    """Guards against a reader that gives up each list before it is whole."""

    async def play() -> None:
        async with (
            gateway_bench.Bench() as bench,
            narrow_link.NarrowLink(_BYTES_PER_S) as narrow,
        ):
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, *_large())
            alone = await bench.unready_gateway(
                store=str(await narrow.to(bench.store.address)),
            )
            await _until_version(alone, 1)

    support.run(play())


def test_a_large_configuration_is_watched_over_a_narrow_link():
    """Guards against a watch that is given up while its change comes."""

    async def play() -> None:
        async with (
            gateway_bench.Bench() as bench,
            narrow_link.NarrowLink(_BYTES_PER_S) as narrow,
        ):
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, gateway_bench.route('desk', '/desk/'))
            alone = await bench.unready_gateway(
                store=str(await narrow.to(bench.store.address)),
            )
            await _until_version(alone, 1)
            bench.configure(2, *_large())
            await _until_version(alone, 2)

    support.run(play())
