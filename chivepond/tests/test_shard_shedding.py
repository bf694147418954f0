"""Loads played on leaving slow shards out, and what searches get."""

import heapq
import itertools
import random

import pytest

from chivepond.decisions import (
    shard_shedding,
    upstream_health,
    usual_latency,
)

#: The shards of each group of a search.
_GROUPS = (30, 28, 15, 8, 6)
_LEAST_SHARE = 0.95
_DUE_S = 0.2


class _Shard:
    """A shard whose copies share one queue, and what is believed of it."""

    def __init__(self, rng, slowness, usual):
        self._rng = rng
        self._slowness = slowness
        self._free_at = [0, 0, 0, 0]
        self._health = upstream_health.UpstreamHealth(4, usual=usual)
        self._owed = []

    def expected_s(self, now):
        while self._owed and self._owed[0][0] <= now:
            at, attempt = heapq.heappop(self._owed)
            self._health.replied(attempt, at)
        return self._health.expected_s(now)

    def ask(self, now, attempt):
        begins = max(now, heapq.heappop(self._free_at))
        ends = begins + self._slowness * self._rng.lognormvariate(-4.26, 0.35)
        heapq.heappush(self._free_at, ends)
        heapq.heappush(self._owed, (ends, attempt))
        self._health.sent(attempt, now)
        return ends


def _groups(rng, slow):
    """Return the shards of each group by name, some of all of them slow."""
    count = sum(_GROUPS)
    slow_numbers = set(rng.sample(range(count), slow))
    usual = usual_latency.UsualLatency()
    numbers = iter(range(count))
    return [
        {
            f's-{number}': _Shard(
                rng, 10 if number in slow_numbers else 1, usual
            )
            for number in itertools.islice(numbers, size)
        }
        for size in _GROUPS
    ]


def _asked(group, now, rng, *, is_shed):
    """Return the shards of a group that one search asks."""
    expected = {name: one.expected_s(now) for name, one in group.items()}
    most = shard_shedding.allowed(len(group), _LEAST_SHARE, rng.random)
    shed = frozenset()
    if is_shed:
        shed = shard_shedding.left_out(expected, _DUE_S, most, rng.random)
    return [one for name, one in group.items() if name not in shed]


def _play(seed, slow, *, is_shed):
    """Return the share of searches with enough parts in time."""
    rng = random.Random(seed)
    groups = _groups(rng, slow)
    now, in_time, searches = 0, 0, 0
    while now < 12:
        now += rng.expovariate(30)
        searches += 1
        ends = [
            one.ask(now, searches)
            for group in groups
            for one in _asked(group, now, rng, is_shed=is_shed)
        ]
        parts = sum(at <= now + _DUE_S for at in ends)
        in_time += parts >= _LEAST_SHARE * sum(_GROUPS)
    return in_time / searches


@pytest.mark.parametrize('seed', range(4))
def test_slow_shards_do_the_work_that_they_can_in_time(seed):
    """Guards against queues at a few shards that make all searches late."""
    before = _play(seed, 6, is_shed=False)
    after = _play(seed, 6, is_shed=True)
    assert before < 0.2
    assert after > 2 * before
    assert after > 0.4


@pytest.mark.parametrize('seed', range(4))
def test_no_shard_is_left_out_while_all_are_quick(seed):
    """Guards against answers that lack parts which would have come."""
    rng = random.Random(seed)
    expected = {f's-{number}': 0.05 * rng.random() for number in range(30)}
    assert not shard_shedding.left_out(expected, 0.1, 5, rng.random)


@pytest.mark.parametrize('most', [0, 1, 3])
def test_no_more_are_left_out_than_a_success_may_lack(most):
    """Guards against searches that fail by what they did not ask."""
    rng = random.Random(1)
    expected = {f's-{number}': 9 for number in range(30)}
    for _ in range(50):
        shed = shard_shedding.left_out(expected, 0.1, most, rng.random)
        assert len(shed) <= most


@pytest.mark.parametrize('least_share', [0.75, 0.85, 0.95])
def test_groups_together_leave_out_what_a_success_may_lack(least_share):
    """Guards against small groups that may never leave a shard out."""
    rng = random.Random(2)
    drawn = [
        sum(
            shard_shedding.allowed(size, least_share, rng.random)
            for size in _GROUPS
        )
        for _ in range(400)
    ]
    allowed = (1 - least_share) * sum(_GROUPS)
    assert sum(drawn) / len(drawn) <= allowed
    assert sum(drawn) / len(drawn) >= 0.7 * allowed
