"""Properties of the gateway's load decisions, without a network."""

import random

import hypothesis
from hypothesis import strategies

from chivepond.decisions import (
    aggregator_selection,
    burst_share,
    gather_plan,
    gather_time,
    hedge_budget,
    hedge_timing,
    log_limit,
    recent_count,
    round_trip,
    search_admission,
    searcher_choice,
    switches,
    sync_source,
    upstream_health,
    usual_latency,
    weighted_share,
)

_LIMITS = hedge_budget.BudgetLimits(share=0.2, burst=54, span_s=10)


def _health() -> upstream_health.UpstreamHealth:
    return upstream_health.UpstreamHealth(2)


def _candidate(name, health, *, near=True, is_last_choice=False):
    return searcher_choice.Candidate(
        searcher_id=name,
        health=health,
        data_centre='base' if near else 'hub',
        is_in_data_centre=near,
        is_in_region=near,
        is_last_choice=is_last_choice,
    )


def _choose(candidates, now, *, is_idempotent=True, target_s=0.2):
    chosen = searcher_choice.choose(
        candidates,
        now,
        switches.Switches(),
        searcher_choice.SearcherRequirements(target_s, is_idempotent),
    )
    return chosen and chosen.searcher_id


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    strategies.integers(1, 12),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.001, 0.2),
            strategies.integers(0, 30),
        ),
        min_size=50,
        max_size=300,
    ),
)
def test_hedges_of_all_gateways_stay_within_the_budget(gateways, steps):
    """Guards against gateways that together exceed the bound of a service.

    Every request wants a hedge, however the requests are spread over the
    gateways; in any ten seconds the sum stays within share and burst.
    """
    budgets = [hedge_budget.HedgeBudget(_LIMITS) for _ in range(gateways)]
    grant = burst_share.BurstGrant(1 / gateways, 0)
    now = 100.0
    requests, hedges = [], []
    for pause_s, index in steps:
        now += pause_s
        budget = budgets[index % gateways]
        budget.count_request(now)
        requests.append(now)
        if budget.spend(now, grant, now):
            hedges.append(now)
    for start in hedges:
        spent = sum(start <= at < start + 10 for at in hedges)
        requests_in_span = sum(start <= at < start + 10 for at in requests)
        requests_before = sum(start - 10 <= at < start for at in requests)
        assert spent <= 0.2 * max(requests_in_span, requests_before) + 54


@hypothesis.given(
    strategies.integers(1, 80),
    strategies.floats(0.1, 20),
)
def test_hedges_after_a_fleet_restart_stay_within_the_burst(gateways, after_s):
    """Guards against a service that gets its burst twice within ten seconds.

    All gateways spend their parts of the burst on slow searchers and are
    killed. Their replacements do not know that and would spend a whole burst
    again.
    """
    spent_at: list[float] = []
    for granted_at in (0, 100 + after_s):
        grant = burst_share.BurstGrant(1 / gateways, granted_at)
        budgets = [hedge_budget.HedgeBudget(_LIMITS) for _ in range(gateways)]
        for step in range(200):
            now = max(100, granted_at) + step * after_s / 200
            spent_at.extend(
                now for budget in budgets if budget.spend(now, grant, now)
            )
    for start in spent_at:
        spent = sum(start <= at < start + 10 for at in spent_at)
        assert spent <= _LIMITS.burst


def test_whole_burst_is_spent_in_one_span():
    """Half of the usable burst is there at once, the rest comes with time."""
    budget = hedge_budget.HedgeBudget(_LIMITS)
    grant = burst_share.BurstGrant(1, 0)
    assert sum(budget.spend(100, grant, 100) for _ in range(100)) == 21
    later = [100 + number / 10 for number in range(1, 101)]
    spent = sum(budget.spend(now, grant, now) for now in later)
    assert 21 + spent == 43


def test_gateway_without_a_peer_list_spends_no_burst():
    """Guards against a new gateway that spends the burst of the whole fleet.

    It has the list of searchers, but not yet the list of the other gateways.
    """
    budget = hedge_budget.HedgeBudget(_LIMITS)
    assert not budget.spend(100, burst_share.NO_GRANT, 100)


def test_hedge_counts_until_its_request_has_ended():
    """Guards against sends to a stalled searcher that all arrive at its end."""
    budget = hedge_budget.HedgeBudget(_LIMITS)
    grant = burst_share.BurstGrant(1, 0)
    assert sum(budget.spend(100, grant, 112) for _ in range(100)) == 21
    assert not budget.spend(111.9, grant, 112)
    assert budget.spend(113, grant, 114)


@hypothesis.given(strategies.floats(2.5, 20), strategies.integers(1, 100))
def test_silent_watch_is_detected_within_the_bound(bound_s, members):
    """Guards against a dropped route that is served for too long.

    The connection to the store fails without a reset, and the watch on it
    reports no newer version until it times out.
    """
    detected_s = sync_source.watch_s(bound_s, members)
    assert detected_s + sync_source.WATCH_GRACE_S < bound_s


@hypothesis.given(strategies.integers(1, 600))
def test_list_of_gateways_stays_recent_enough_for_a_burst(members):
    """Guards against a gateway that loses its part between two watches.

    A list is as old as the beginning of the watch before the running one.
    """
    watch_s = sync_source.gateways_watch_s(members)
    age_s = 2 * (watch_s + sync_source.WATCH_GRACE_S)
    assert age_s < burst_share.MAX_LIST_AGE_S


@hypothesis.given(
    strategies.floats(0.002, 0.1),
    strategies.floats(0, 0.03),
    strategies.integers(0, 1000),
)
def test_few_gather_replies_arrive_late(base_s, spread_s, seed):
    """Guards against groups that arrive after the answer was due.

    With the mean round-trip time as the estimate, each exchange that took a
    little longer was late: one group in three.
    """
    rng = random.Random(seed)
    estimate = round_trip.RoundTrip()
    late_count = 0
    for exchange in range(300):
        took_s = base_s + rng.uniform(0, spread_s)
        late_count += (
            exchange >= 100 and took_s > estimate.upper_estimate_s + 0.0005
        )
        estimate.learn(took_s)
    assert late_count <= 30
    assert estimate.upper_estimate_s < base_s + 1.5 * spread_s + 0.001


@hypothesis.given(
    strategies.lists(
        strategies.lists(
            strategies.sampled_from((12, 20, 100, 1000)),
            min_size=1,
            max_size=15,
        ),
        min_size=1,
        max_size=6,
    ),
)
def test_gather_weights_add_up_to_the_number_of_gateways(data_centres):
    """A bound that is divided by weight must not grow with uneven links."""
    weights = [
        aggregator_selection.gather_weight(own, links)
        for links in data_centres
        for own in links
    ]
    assert abs(sum(weights) - len(weights)) < 1e-6


def test_aggregators_get_most_of_the_hedge_burst():
    """Guards against aggregators that run out of hedges.

    Two of twelve gateways have wide links and gather for the ten with narrow
    links, which held five sixths of the burst and spent none of it.
    """
    links = [*(12 for _ in range(10)), 100, 100]
    weights = {'base': sum(map(burst_share.link_weight, links))}
    wide = burst_share.Listed(100, 'base', weights).part(['base'], ['base'])
    narrow = burst_share.Listed(12, 'base', weights).part(['base'], ['base'])
    assert 2 * wide > 0.8
    assert abs(2 * wide + 10 * narrow - 1) < 1e-6
    budget = hedge_budget.HedgeBudget(_LIMITS)
    grant = burst_share.BurstGrant(wide, 0)
    later = [100 + number / 10 for number in range(101)]
    assert sum(budget.spend(now, grant, now) for now in later) == 17


def test_hedge_budget_is_restored_after_its_span():
    """A spent budget is available again after the span."""
    budget = hedge_budget.HedgeBudget(_LIMITS)
    grant = burst_share.BurstGrant(1 / 4, 0)
    assert sum(budget.spend(100, grant, 100) for _ in range(100)) == 5
    assert not budget.spend(100.1, grant, 100.1)
    assert sum(budget.spend(110, grant, 110) for _ in range(100)) == 5


@hypothesis.given(
    strategies.lists(strategies.floats(0, 40), min_size=1, max_size=80),
)
def test_recent_count_is_never_too_low(event_times):
    """The count over a window includes every event within it."""
    count = recent_count.RecentCount(10)
    for at in sorted(event_times):
        count.add(at)
    last_at = max(event_times)
    events_in_span = sum(at > last_at - 10 for at in event_times)
    events_in_span_and_step = sum(at > last_at - 11 for at in event_times)
    assert events_in_span <= count.read(last_at) <= events_in_span_and_step


def test_overdue_reply_moves_requests_to_another_searcher():
    """Guards against searches sent into a pause that others have already hit.

    A searcher whose reply is overdue is not preferred; the next search goes to
    the other searcher first, without spending the hedge budget.
    """
    paused = _health()
    other = _health()
    near = _candidate('near', paused)
    far = _candidate('far', other, near=False)
    for attempt in range(5):
        paused.sent(attempt, attempt / 10)
        paused.replied(attempt, attempt / 10 + 0.02)
    assert _choose([near, far], 1) == 'near'
    paused.sent(9, 1)
    assert _choose([near, far], 1.03) == 'near'
    assert _choose([near, far], 1.09) == 'far'
    paused.replied(9, 1.2)
    assert _choose([near, far], 3) == 'near'


def test_slow_searcher_loses_requests_and_is_retried():
    """Guards against requests that stay with a searcher that became slow."""
    usual = usual_latency.UsualLatency()
    slow = upstream_health.UpstreamHealth(2, usual=usual)
    healthy = upstream_health.UpstreamHealth(2, usual=usual)
    near = _candidate('near', slow)
    far = _candidate('far', healthy, near=False)
    now = float(0)
    for attempt in range(20):
        for health in (slow, healthy):
            health.sent(attempt, now)
            now += 0.03
            health.replied(attempt, now)
    assert _choose([near, far], now) == 'near'
    for attempt in range(6):
        slow.sent(attempt, now)
        now += 0.3
        slow.replied(attempt, now)
    assert _choose([near, far], now) == 'far'
    assert _choose([near, far], now + 20) == 'near'


def test_silent_searcher_is_distrusted_then_put_on_trial():
    """Guards against requests to a crashed searcher that each time out."""
    silent = _health()
    near = _candidate('near', silent)
    far = _candidate('far', _health(), near=False)
    silent.sent(1, 0)
    silent.failed(1, 0.1)
    silent.sent(2, 0.1)
    silent.failed(2, 0.2)
    assert silent.state(0.3) is upstream_health.HealthState.DISTRUSTED
    assert _choose([near, far], 0.3) == 'far'
    assert silent.state(0.8) is upstream_health.HealthState.ON_TRIAL
    # A request that must not run twice goes to a healthy searcher.
    assert _choose([near, far], 5, is_idempotent=False) == 'far'
    silent.sent(3, 5)
    assert silent.state(5.1) is upstream_health.HealthState.DISTRUSTED
    silent.replied(3, 5.2)
    assert silent.state(5.3) is upstream_health.HealthState.USABLE


def test_searcher_with_partial_failures_is_not_preferred():
    """45% of the requests fail at a searcher whose health checks pass."""
    flaky = _health()
    rng = random.Random(5)
    for attempt in range(30):
        flaky.sent(attempt, attempt / 10)
        if rng.random() < 0.45:
            flaky.failed(attempt, attempt / 10 + 0.02)
        else:
            flaky.replied(attempt, attempt / 10 + 0.02)
    candidates = [
        _candidate('near', flaky),
        _candidate('far', _health(), near=False),
    ]
    assert _choose(candidates, 3) == 'far'


def test_deregistered_searcher_is_the_last_choice():
    """A searcher without a registration is used only if there is no other."""
    gone = _candidate('gone', _health(), is_last_choice=True)
    slow = _health()
    slow.sent(1, 0)
    assert _choose([gone, _candidate('slow', slow)], 5) == 'slow'
    assert _choose([gone], 5) == 'gone'
    assert _choose([], 5) is None


def test_hedge_delay_follows_the_usual_reply_time():
    """The delay exceeds the usual reply time and stays below its maximum."""
    timing = hedge_timing.HedgeTiming()
    assert timing.delay_s(0.2, switches.Switches()) == 0.2 * 0.38
    for _ in range(300):
        timing.learn(0.02)
    assert 0.029 < timing.delay_s(0.2, switches.Switches()) < 0.031
    for _ in range(300):
        timing.learn(0.5)
    assert timing.delay_s(0.2, switches.Switches()) == 0.2 * 0.38


@hypothesis.given(
    strategies.integers(1, 400),
    strategies.floats(0.01, 1),
)
def test_needed_parts_reach_the_least_share(shards, least_share):
    """One part fewer than needed is below the minimum share."""
    needed = gather_time.Coverage(shards, least_share).needed
    assert needed / shards >= least_share
    assert needed == 1 or (needed - 1) / shards < least_share


def test_answer_time_reserves_the_return_transfer():
    """A response sent at the target latency itself arrives late."""
    assert gather_time.answer_at(10, 0.2, 0.002) < 10.2 - 0.01
    assert gather_time.answer_at(10, 0.01, 0.002) > 10


@hypothesis.given(
    strategies.floats(0, 0.02),
    strategies.floats(0.08, 1),
    strategies.booleans(),
)
def test_answer_reaches_a_remote_client_in_time(
    round_trip_s,
    target_s,
    is_new,
):
    """Guards against answers that are late by the setup of a new connection."""
    connect_s = round_trip_s if is_new else 0
    came_at = 10 + connect_s + round_trip_s / 2
    answer_at = gather_time.answer_at(
        came_at, target_s, connect_s + round_trip_s
    )
    assert answer_at + round_trip_s / 2 <= 10 + target_s


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(min_size=1, max_size=3),
        strategies.integers(1, 50),
        min_size=1,
        max_size=5,
    ),
    strategies.integers(1, 200),
)
def test_turns_stay_close_to_the_weights(weight_by_name, turns):
    """Each name is within two requests of its share at any moment."""
    share = weighted_share.WeightedShare(weight_by_name, random.random)
    chosen = [share.take() for _ in range(turns)]
    total_weight = sum(weight_by_name.values())
    for name, weight in weight_by_name.items():
        assert abs(chosen.count(name) - turns * weight / total_weight) < 2


def test_many_gateways_with_few_requests_keep_the_weights():
    """Guards against a new service that gets none of its share of requests.

    Eighty gateways got a request or two each, and all of them started with the
    heaviest service.
    """
    rng = random.Random(4)
    chosen = [
        weighted_share.WeightedShare(
            {'old': 0.7, 'new': 0.3}, rng.random
        ).take()
        for _ in range(200)
    ]
    assert 0.2 < chosen.count('new') / len(chosen) < 0.4


def _remote_location(
    data_centre: str, cost_s: float = 0.03
) -> searcher_choice.QueryLocation:
    return searcher_choice.QueryLocation(
        data_centre, is_far=True, cost_s=cost_s
    )


def test_groups_are_gathered_beside_their_searchers():
    """Guards against parts of many shards that cross regions one by one."""
    near = searcher_choice.QueryLocation('base', is_far=False, cost_s=0.03)
    locations_by_shard = {
        'a': [_remote_location('hub')],
        'b': [_remote_location('hub')],
        'c': [_remote_location('hub')],
        'd': [near],
        'e': [_remote_location('far')],
    }
    shard_plan = gather_plan.plan(
        locations_by_shard, frozenset(('hub', 'far')), switches.Switches()
    )
    assert shard_plan.shards_by_data_centre == {'hub': ['a', 'b', 'c']}
    assert set(shard_plan.direct) == {'d', 'e'}
    local_plan = gather_plan.plan(
        locations_by_shard, frozenset(), switches.Switches()
    )
    assert set(local_plan.direct) == set(locations_by_shard)


def test_one_region_is_preferred_when_two_hold_the_shards():
    """Guards against two regions that each send the top records of a half.

    Both hold all shards. One region gathers all shards for which it is nearly
    as fast; a shard whose searcher there is slow is gathered in the other one.
    """
    locations_by_shard = {
        'a': [_remote_location('hub'), _remote_location('far')],
        'b': [_remote_location('hub'), _remote_location('far')],
        'c': [_remote_location('far'), _remote_location('hub', 0.04)],
        'd': [_remote_location('far'), _remote_location('hub', 0.2)],
        'e': [_remote_location('far')],
        'f': [_remote_location('hub')],
    }
    shard_plan = gather_plan.plan(
        locations_by_shard, frozenset(('hub', 'far')), switches.Switches()
    )
    assert shard_plan.shards_by_data_centre == {'hub': ['a', 'b', 'c', 'f']}
    assert shard_plan.direct == ['d', 'e']


def test_flood_of_one_event_does_not_suppress_others():
    """Guards against rejections under overload that suppress other events.

    The suppressed line was the one that named the cause of the overload.
    """
    limit = log_limit.LogLimit()
    written = sum(
        limit.take(1, 20, step / 1000) is not None for step in range(10000)
    )
    assert 200 <= written <= 280
    assert limit.take(2, 20, 10) == 0
    left_out = limit.take(1, 20, 20)
    assert left_out > 0


def _run_overload(
    *, capacity: float, arrivals: float, seconds: float, admission
):
    """Run searches against one queue; return how many were in time.

    ``capacity`` and ``arrivals`` are per second. A search is in time if it
    waits less than 150 ms. A rejected search is not retried.
    """
    now, busy_until = float(0), float(0)
    in_time = 0
    interval_s = 1 / arrivals
    while now < seconds:
        now += interval_s
        if admission is not None and not admission.admit():
            continue
        busy_until = max(now, busy_until) + 1 / capacity
        wait_s = busy_until - now
        is_on_time = wait_s < 0.15
        in_time += is_on_time
        # Clients give up after a second, so the queue is never longer.
        busy_until = min(busy_until, now + 1)
        if admission is not None:
            queued = float(wait_s > 0.05)
            admission.learn(queued, is_on_time=is_on_time)
    return in_time


def test_overload_is_rejected_in_part_and_the_rest_is_in_time():
    """Guards against an overload in which all searches are late.

    The load is one and a half times the capacity for ten seconds. If all
    searches are admitted, only a few at the start are in time; with partial
    rejection most of those that the searchers can serve are.
    """
    workload = {'capacity': 100, 'arrivals': 150, 'seconds': 10}
    in_time_without = _run_overload(admission=None, **workload)
    admission = search_admission.SearchAdmission()
    in_time_with = _run_overload(admission=admission, **workload)
    assert in_time_without < 100
    assert in_time_with > 400


def test_slow_searchers_cause_no_rejections():
    """Late responses without queues at most shards: all are admitted."""
    admission = search_admission.SearchAdmission()
    for _ in range(200):
        assert admission.admit()
        admission.learn(0.27, is_on_time=False)
    assert admission.share == 1


def test_admitted_share_recovers_after_overload():
    """The admitted share has a minimum and is back at 1 soon afterwards."""
    admission = search_admission.SearchAdmission()
    for _ in range(200):
        admission.learn(1, is_on_time=False)
    assert 0.29 < admission.share < 0.31
    admitted = sum(admission.admit() for _ in range(100))
    assert 29 <= admitted <= 31
    for _ in range(100):
        admission.learn(0, is_on_time=True)
    assert admission.share == 1


def test_store_retry_interval_depends_on_known_content():
    """Guards against needless calls to an unavailable store.

    Without content a gateway retries every 0.25 s, since it rejects requests
    meanwhile; with old content every 0.8 s; with fresh content from another
    gateway every 1.6 s.
    """

    def longest_pause_s(**known_content):
        pause_s = sync_source.FIRST_RETRY_S
        for _ in range(8):
            pause_s = sync_source.retry_s(pause_s, **known_content)
        return pause_s

    assert longest_pause_s(is_known=False, is_fresh=False) == 0.25
    assert longest_pause_s(is_known=True, is_fresh=False) == 0.8
    assert longest_pause_s(is_known=True, is_fresh=True) == 1.6
    first_pause_s = sync_source.retry_s(
        sync_source.FIRST_RETRY_S,
        is_known=True,
        is_fresh=True,
    )
    assert first_pause_s == 0.2
