"""How gateways divide connections and hedges, without a network."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from chivepond.decisions import burst_share, hedge_budget, upstream_share

_LIMITS = hedge_budget.BudgetLimits(share=0.2, burst=430, span_s=10)
_DATA_CENTRES = ('base', 'gate', 'hub', 'lodge', 'yard', 'ford')
_SEARCHER_DATA_CENTRES = frozenset(('base', 'hub'))


def _gateways(count, wide_every=10):
    return [
        upstream_share.Gateway(
            f'gate-{number}',
            _DATA_CENTRES[number % len(_DATA_CENTRES)],
            100 if number // len(_DATA_CENTRES) % wide_every == 0 else 11.5,
        )
        for number in range(count)
    ]


def _shares(gateways, missing_part=0, seed=1):
    """Return the shares of each gateway.

    The list of each gateway lacks ``missing_part`` of the others.
    """
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
    strategies.sets(strategies.sampled_from(_DATA_CENTRES)),
)
def test_parts_of_all_gateways_add_up_to_one(count, wide_every, holders):
    """Guards against gateways that together spend more than is allowed."""
    all_shares = _shares(_gateways(count, wide_every))
    total = sum(share.of(frozenset(holders)).part for share in all_shares)
    assert abs(total - 1) < 1e-6


@pytest.mark.parametrize('cap', [2, 26, 60, 120, 1200])
@pytest.mark.parametrize('seed', range(3))
def test_connections_stay_within_the_cap_with_differing_lists(cap, seed):
    """Guards against 200 gateways that exceed what a searcher accepts."""
    all_shares = _shares(_gateways(200), missing_part=0.2, seed=seed)
    opened = [
        share.of(_SEARCHER_DATA_CENTRES).connections(cap)
        for share in all_shares
    ]
    assert 0 < sum(opened) <= cap


@hypothesis.given(strategies.integers(1, 10), strategies.integers(26, 400))
def test_each_gateway_of_a_small_fleet_may_connect(count, cap):
    """Guards against a partitioned gateway that cannot reach searchers."""
    all_shares = _shares(_gateways(count))
    opened = [
        share.of(_SEARCHER_DATA_CENTRES).connections(cap)
        for share in all_shares
    ]
    assert min(opened) >= 1
    assert sum(opened) <= cap


def test_aggregating_gateways_get_most_of_the_burst():
    """Guards against a burst assigned to gateways that send no requests."""
    gateways = _gateways(195)
    weights = collections.Counter()
    for gateway in gateways:
        weights[gateway.data_centre] += burst_share.link_weight(
            gateway.link_mbps
        )
    spent = 0
    near = 0
    for own in gateways:
        listed = burst_share.Listed(own.link_mbps, own.data_centre, weights)
        part = listed.part(_SEARCHER_DATA_CENTRES, _SEARCHER_DATA_CENTRES)
        budget = hedge_budget.HedgeBudget(_LIMITS)
        grant = burst_share.BurstGrant(part, 0)
        later = [100 + number / 50 for number in range(501)]
        hedges = sum(budget.spend(now, grant, now) for now in later)
        spent += hedges
        if own.data_centre in _SEARCHER_DATA_CENTRES and own.link_mbps == 100:
            near += hedges
    assert spent <= _LIMITS.burst
    assert near > spent / 2
