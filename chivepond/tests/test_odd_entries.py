"""Entries of the store that another program wrote, and that make no sense."""

import asyncio
import json
import types
from collections.abc import Mapping

import msgspec
import pytest

from chivepond.platform import searcher_codec, store_calls
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, gateway_processes, support

#: How soon a change is in force everywhere, in seconds.
_IN_FORCE_S = 8
_POLL_S = 0.05

_SEARCHER = types.MappingProxyType(
    {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'base',
        'version': '1',
        'slots': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': 1,
    }
)
_GATEWAY = types.MappingProxyType(
    {'address': '127.0.0.1:9', 'data_centre': 'base'}
)
_CRASHES = types.MappingProxyType(
    {'crashes_by_request': {'a': 1}, 'seen_at': 1}
)
#: Half of a character, which is valid in JSON.
_UNPAIRED_SURROGATE = msgspec.Raw(json.dumps('\ud800').encode())
_CONFIGURATION = types.MappingProxyType({'version': 1})


def _nested(depth: int) -> msgspec.Raw:
    return msgspec.Raw(b'[' * depth + b']' * depth)


def _nested_objects(depth: int) -> msgspec.Raw:
    return msgspec.Raw(b'{"a":' * depth + b'1' + b'}' * depth)


def _odd_numbers(
    spec: Mapping[str, object], number_name: str
) -> dict[str, object]:
    """Return a spec with odd forms of one of its numbers."""
    return {
        f'{number_name} {position}': dict(spec)
        | {number_name: msgspec.Raw(number.encode())}
        for position, number in enumerate(
            (
                '9' * 19,
                '9' * 30,
                '-' + '9' * 30,
                '9' * 400,
                '9' * 5000,
                '1e400',
                '1e300',
                '-1',
                '0',
                '1.5',
                'null',
            )
        )
    }


def _odd_specs(
    spec: Mapping[str, object], number_name: str
) -> dict[str, object]:
    """Return odd forms of a spec; ``number_name`` is one of its numbers."""
    return _odd_numbers(spec, number_name) | {
        'list': _nested(1100),
        'deep list': _nested(100000),
        'objects': _nested_objects(5000),
        'extra field': dict(spec) | {'extra': _nested(100000)},
        'nested number': dict(spec) | {number_name: _nested(2000)},
        'unpaired surrogate': dict(spec) | {'extra': _UNPAIRED_SURROGATE},
        'text': 'text',
        'nothing': None,
        'address': dict(spec) | {'address': '127.0.0.1:65536'},
        'port 0': dict(spec) | {'address': '127.0.0.1:0'},
        'negative port': dict(spec) | {'address': '127.0.0.1:-1'},
        'line\r\nbreak': dict(spec),
    }


_KINDS = types.MappingProxyType(
    {
        store_calls.SEARCHERS: _odd_specs(_SEARCHER, 'slots')
        | _odd_numbers(_SEARCHER, 'born')
        | _odd_numbers(_SEARCHER, 'sequence'),
        store_calls.GATEWAY_KIND: _odd_specs(_GATEWAY, 'link_mbps'),
        store_calls.CRASH_KIND: _odd_specs(_CRASHES, 'seen_at')
        | _odd_numbers(_CRASHES, 'crashes_by_request'),
        store_calls.CONFIGURATION: _odd_specs(_CONFIGURATION, 'version'),
    }
)


async def _echo(request: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(request, request.line)


async def _until_followed(bench, kind: str) -> None:
    """Wait until a gateway watches a kind from its newest revision."""
    newest = bench.store.as_of
    targets: list[str] = []
    bench.store.refuse = targets.append
    async with asyncio.timeout(_IN_FORCE_S):
        while not any(
            f'/{kind}?watch={newest}&' in target for target in targets
        ):
            await asyncio.sleep(_POLL_S)


async def _until_served(gateways, path: str) -> None:
    """Wait until all gateways serve a path."""
    async with asyncio.timeout(_IN_FORCE_S):
        for gateway in gateways:
            raw = gateway_bench.request('GET', path, left_ms=500)
            while await gateway_processes.exchange(gateway.callers, raw) != 200:
                await asyncio.sleep(_POLL_S)


@pytest.mark.parametrize('kind', _KINDS)
def test_an_odd_entry_costs_no_other_one(kind, tmp_path):
    """Guards against an entry that ends what reads the list, or a process.

    While one odd entry after another is there, a searcher registers, and a
    gateway is started again beside all of them.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('known', 'desk', _echo)
            services = [f'new-{number}' for number in range(len(_KINDS[kind]))]
            bench.configure(
                2,
                *(
                    gateway_bench.route(name, f'/{name}/', service=name)
                    for name in ('desk', 'last', *services)
                ),
            )
            gateways = await bench.enter(
                gateway_processes.started(bench, tmp_path, 3, {})
            )
            await _until_served(gateways, '/desk/')
            for service, (name, spec) in zip(
                services, _KINDS[kind].items(), strict=True
            ):
                bench.store.put(kind, f'odd {name}', spec)
                await bench.searcher(service, service, _echo)
                await _until_served(gateways, f'/{service}/')
                await _until_served(gateways, '/desk/')
            await _until_followed(bench, kind)
            running = [gateway.process.pid for gateway in gateways]
            gateways[0].process.kill()
            await gateways[0].wait()
            await gateways[0].start()
            await gateway_processes.until_ready(gateways[0])
            await bench.searcher('last', 'last', _echo)
            await _until_served(gateways, '/last/')
            assert all(gateway.is_running for gateway in gateways)
            assert [one.process.pid for one in gateways[1:]] == running[1:]

    support.run(scenario())
    for log in tmp_path.glob('*.log'):
        assert 'Traceback' not in log.read_text()


def test_the_name_of_an_entry_adds_no_field_to_requests():
    """Guards against a request that a name with a line break changes."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            odd = await bench.searcher('s\r\nX-Added: 1', 'desk', _echo)
            await bench.searcher('s-1', 'desk', _echo, zone='hub')
            bench.configure(
                1, gateway_bench.route('desk', '/desk/', service='desk')
            )
            gateway = await bench.ready_gateway()
            remote = (gateway.client_address.ip, gateway.client_address.port)
            for _ in range(5):
                raw = gateway_bench.request('GET', '/desk/')
                assert await gateway_processes.exchange(remote, raw) == 200
            assert not odd.got

    support.run(scenario())


@pytest.mark.parametrize('port', [-1, 0, 65536, 99999])
def test_an_entry_with_a_port_out_of_range_is_refused(port):
    """Guards against searchers and gateways that can't be connected to."""
    spec = json.dumps(dict(_SEARCHER) | {'address': f'127.0.0.1:{port}'})
    refused = searcher_codec.decode('s-1', spec.encode())
    assert str(port) in refused.unwrap_err().message
