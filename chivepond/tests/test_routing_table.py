"""The route of a request, however many routes there are."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from chivepond.gateway import routing_table
from chivepond.platform import configuration_codec, documents

_PREFIXES = strategies.lists(
    strategies.lists(strategies.sampled_from('ab'), max_size=4).map(
        lambda parts: '/'.join(['', *parts, '']),
    ),
    unique=True,
    max_size=9,
)
_PATHS = strategies.text('ab/', max_size=12).map('/{0}'.format)


def _table(prefixes):
    routes = [
        documents.route(f'r{number}', 'desk', prefix, service='desk')
        for number, prefix in enumerate(prefixes)
    ]
    told = documents.configuration(1, routes, routing_table.DEFAULT_LIMITS)
    return configuration_codec.decode(documents.encoded(told)).unwrap()


@hypothesis.given(_PREFIXES, _PATHS)
def test_the_longest_prefix_wins(prefixes, path):
    """Guards against a request that is sent to another route's service."""
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = _table(prefixes).find(b'desk', path.encode())
    assert (found and found.prefix.decode()) == max(
        fitting, key=len, default=None
    )
    assert _table(prefixes).find(b'other', path.encode()) is None


class _CountedRoutes(collections.UserDict):
    def __init__(self, routes):
        super().__init__(routes)
        self.looks = 0

    def get(self, key, default=None):
        self.looks += 1
        return super().get(key, default)


def test_a_route_is_found_as_soon_among_thousands():
    """Guards against requests that each cost more with each route added."""
    table = _table([f'/{number:04}/' for number in range(5000)])
    of_host = table.routes_by_host[b'desk']
    counted = _CountedRoutes(of_host.route_by_prefix)
    routes = dataclasses.replace(of_host, route_by_prefix=counted)
    assert routes.find(b'/4999/x').prefix == b'/4999/'
    assert routes.find(b'/none/x') is None
    assert counted.looks <= 4
