"""How gateways share connections and hedges, played without a network."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from chivepond.decisions import hedge_budget, upstream_share

_LIMITS = hedge_budget.BudgetLimits(share=0.2, burst=430, span_s=10)
_PLACES = ('base', 'gate', 'hub', 'lodge', 'yard', 'ford')
_HOLDERS = frozenset(('base', 'hub'))


def _gateways(count, wide_every=10):
    return [
        upstream_share.Gateway(
            f'gate-{number}',
            _PLACES[number % len(_PLACES)],
            100 if number // len(_PLACES) % wide_every == 0 else 11.5,
        )
        for number in range(count)
    ]


def _shares(gateways, missing_part=0, seed=1):
    """Return the shares of each gateway, whose lists lack some others."""
    rng = random.Random(seed)
    return [
        upstream_share.Shares(
            own,
            [
                other
                for other in gateways
                if other is not own and rng.random() >= missing_part
            ],
        )
        for own in gateways
    ]


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    strategies.integers(1, 60),
    strategies.integers(1, 12),
    strategies.sets(strategies.sampled_from(_PLACES)),
)
def test_parts_of_all_gateways_add_up_to_one(count, wide_every, holders):
    """Guards against gateways that spend more together than is allowed."""
    found = _shares(_gateways(count, wide_every))
    whole = sum(one.of(frozenset(holders)).part for one in found)
    assert abs(whole - 1) < 1e-6


@pytest.mark.parametrize('cap', [2, 26, 60, 120, 1200])
@pytest.mark.parametrize('seed', range(3))
def test_connections_keep_to_the_cap_though_lists_differ(cap, seed):
    """Guards against 200 gateways that open more than a searcher accepts."""
    found = _shares(_gateways(200), missing_part=0.2, seed=seed)
    opened = [one.of(_HOLDERS).connections(cap) for one in found]
    assert 0 < sum(opened) <= cap


@hypothesis.given(strategies.integers(1, 10), strategies.integers(26, 400))
def test_each_of_a_few_gateways_may_connect(count, cap):
    """Guards against a cut-off gateway that reaches searchers by itself."""
    found = _shares(_gateways(count))
    opened = [one.of(_HOLDERS).connections(cap) for one in found]
    assert min(opened) >= 1
    assert sum(opened) <= cap


def test_gateways_that_aggregate_have_most_of_the_burst():
    """Guards against hedges that lapse at gateways which send no request."""
    gateways = _gateways(195)
    spent = 0
    for own, shares in zip(gateways, _shares(gateways), strict=True):
        budget = hedge_budget.HedgeBudget(_LIMITS)
        part = shares.of(_HOLDERS).part
        sent = sum(budget.spend(1, part) for _ in range(500))
        if own.data_centre in _HOLDERS and own.link_mbps == 100:
            spent += sent
    assert _LIMITS.burst / 2 < spent <= _LIMITS.burst
