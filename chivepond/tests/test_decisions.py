"""What callers get from the decisions, under patterns of load."""

import ast
import dataclasses
import pathlib
import random

import hypothesis
from hypothesis import strategies

from chivepond import decisions
from chivepond.decisions import (
    admission,
    admission_limit,
    batch_slowness,
    batch_window,
    come_back,
    concurrency_limit,
    ejection,
    replica_choice,
    replica_trust,
    slow_start,
    standing_queue,
    token_budget,
)
from chivepond.tools import queue_model

_FORBIDDEN = frozenset(
    (
        'aiosonic',
        'asyncio',
        'http',
        'socket',
        'starlette',
        'time',
        'uvicorn',
    )
)
_GOODPUT = 0.9
_PEERS = ('a', 'b', 'c', 'd', 'e', 'f')


def test_decisions_import_no_loop_and_no_network():
    for path in pathlib.Path(decisions.__path__[0]).glob('*.py'):
        for found in ast.walk(ast.parse(path.read_text())):
            names = []
            match found:
                case ast.Import(names=imported):
                    names = [one.name for one in imported]
                case ast.ImportFrom(module=module):
                    names = [module]
            assert not _FORBIDDEN & {name.split('.')[0] for name in names}
            assert not any('transport' in name for name in names)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.integers(0, 2)),
        max_size=400,
    ),
)
def test_hot_callers_can_not_starve_others(steps):
    """Three callers send as fast as they can, some searches end.

    A caller with nothing in flight comes at any moment. Were places given
    to whoever asks first, it would be turned away.
    """
    gate = admission.Admission(admission_limit.AdmissionLimit(100))
    in_flight = []
    for is_new, number in steps:
        name = f'hot-{number}'
        if not is_new and name in in_flight:
            in_flight.remove(name)
            gate.release(name, 'interactive')
        in_flight.extend(
            name for _ in range(20) if gate.admit(name, 'interactive', 1)
        )
        assert len(in_flight) <= 100
        assert gate.tracked_callers == len(set(in_flight))
        assert gate.admit('quiet', 'interactive', 1)
        gate.release('quiet', 'interactive')


def test_lone_hot_caller_leaves_a_fifth():
    gate = admission.Admission(admission_limit.AdmissionLimit(100))
    taken = sum(gate.admit('hot', 'interactive', 1) for _ in range(1000))
    assert taken == 80
    desks = [f'desk-{number}' for number in range(20)]
    assert all(gate.admit(name, 'interactive', 1) for name in desks)


def test_many_batch_callers_leave_places_for_the_turnstile():
    gate = admission.Admission(admission_limit.AdmissionLimit(100))
    callers = [f'batch-{number}' for number in range(1000)]
    assert sum(gate.admit(name, 'batch', 0.1) for name in callers) < 40
    desks = [f'desk-{number}' for number in range(60)]
    assert all(gate.admit(name, 'interactive', 1) for name in desks)


def test_saturation_lowers_the_limit_and_it_comes_back():
    limit = admission_limit.AdmissionLimit(200)
    for _ in range(1000):
        limit.finished(0.5, 200)
    assert limit.current == 1
    for _ in range(40_000):
        limit.finished(0, limit.current)
    assert limit.current >= 200


def test_one_searcher_in_trouble_does_not_lower_the_limit():
    limit = admission_limit.AdmissionLimit(200)
    for _ in range(100):
        limit.finished(0.1, 200)
    assert limit.current >= 200


def test_refused_callers_return_spread_and_later_under_more_load():
    """A burst is refused; told one time, all return in the same moment."""
    mild = _times_to_come_back(admitted_each=4)
    heavy = _times_to_come_back(admitted_each=0)
    assert sum(heavy) > 3 * sum(mild)
    for times in (mild, heavy):
        window = sum(times) / len(times) / 10
        fullest = max(
            sum(start <= one <= start + window for one in times)
            for start in times
        )
        assert fullest < len(times) / 4
        assert min(times) >= 100
        assert max(times) <= 30_000


def _times_to_come_back(admitted_each):
    spread = come_back.ComeBack(random.Random(1))
    times = []
    for _ in range(800):
        for _ in range(admitted_each):
            spread.admitted()
        times.append(spread.refused_ms())
    return times[400:]


def test_saturated_queue_serves_its_capacity_in_time():
    """Three times what the slots carry comes for twenty seconds.

    With waiting bounded by the deadline alone, nearly all that is served
    has waited so long that it ends late.
    """
    run = _model(3)
    assert run.in_time_share >= _GOODPUT
    assert run.p99_ms < 125
    assert run.refused_median_ms < 10
    assert run.refused_p99_ms < 40


def test_saturated_queue_of_patient_searches_refuses_early():
    """The same with searches of three seconds, which weigh coverage most."""
    run = queue_model.run(3, 3, standing_queue.COVERAGE_SHARE, _rng())
    assert run.in_time_share >= _GOODPUT
    assert run.refused_median_ms < 300
    assert run.refused_p99_ms < 1300


def test_long_work_among_short_refuses_nobody_below_saturation():
    run = _model(0.7)
    assert not run.refused_s
    assert not run.late


def test_burst_that_empties_soon_refuses_nobody():
    standing = standing_queue.StandingQueue(0)
    assert not standing.is_over(0.24, 0.25, 0.2, 0.24, 0.01, 0.01)
    standing.emptied(0.2)
    assert not standing.is_over(0.4, 0.25, 0.2, 0.2, 0.05, 0.05)


def test_second_try_that_can_not_be_done_any_more_is_refused_at_once():
    """It came 10 ms before its deadline, behind 50 ms of work."""
    standing = standing_queue.StandingQueue(0)
    assert standing.is_over(0.24, 0.25, 0.2, 0, 0.01, 0.05)
    assert not standing.is_over(0.24, 0.25, 0.2, 0, 0.05, 0.05)


def _model(load):
    share = standing_queue.DEADLINE_SHARE
    return queue_model.run(load, 0.25, share, _rng())


def _rng():
    return random.Random(2)


def test_failing_searcher_gets_no_work_until_its_time_is_over():
    watched = ejection.Ejection(random.Random(1))
    _play(watched, {'a': 0.9})
    assert watched.look(1) == {'a'}
    assert watched.look(2) == {'a'}
    assert not watched.look(4)


def test_shared_fault_ejects_nobody():
    """A bad index makes all fail; ejecting some would overload the rest."""
    watched = ejection.Ejection(random.Random(1))
    _play(watched, dict.fromkeys(_PEERS, 0.9))
    assert not watched.look(1)


@hypothesis.given(
    strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from(_PEERS),
            strategies.floats(0, 1),
        ),
        max_size=20,
    ),
)
def test_two_in_three_always_keep_their_work(rounds):
    watched = ejection.Ejection(random.Random(1))
    for number, shares in enumerate(rounds):
        _play(watched, shares)
        assert len(watched.look(number)) <= len(_PEERS) / 3


def _play(watched, failed_share_by_id):
    for searcher_id in _PEERS:
        failed = round(40 * failed_share_by_id.get(searcher_id, 0))
        for number in range(40):
            watched.observe(searcher_id, has_failed=number < failed)


@dataclasses.dataclass
class _Replica:
    searcher_id: str
    outstanding: int
    weight: float
    latency_s: float = 0.004


def test_cold_replica_gets_little_work_at_first():
    """It answers as if nothing waited there, so it looks the best."""
    rng = random.Random(1)
    taken = {'cold': 0, 'warm': 0}
    for _ in range(110):
        chosen = replica_choice.choose(
            [
                _Replica('cold', taken['cold'], slow_start.weight(10, 10.1)),
                _Replica('warm', taken['warm'], 1),
            ],
            rng,
        )
        taken[chosen.searcher_id] += 1
    assert taken['cold'] < taken['warm'] / 5
    assert slow_start.is_warm(10, 15)


@hypothesis.given(
    strategies.lists(
        strategies.one_of(strategies.booleans(), strategies.integers(2, 9)),
        max_size=200,
    ),
)
def test_batches_at_once_stay_within_the_slots(steps):
    limit = concurrency_limit.ConcurrencyLimit(3)
    slots = 3
    for step in steps:
        match step:
            case True:
                limit.succeeded(1, 0.001 * slots)
            case False:
                limit.refused()
            case _:
                slots = step
                limit.resize(step)
        assert 1 <= limit.current <= slots


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 200),
            strategies.integers(0, 50),
        ),
    ),
)
def test_extra_load_stays_within_its_budget(steps):
    budget = token_budget.TokenBudget(0.05, 20, 0)
    needed = 0
    extra = 0
    for more, wishes in steps:
        budget.earn(more)
        needed += more
        extra += sum(budget.spend() for _ in range(wishes))
        assert extra <= needed * 0.05 + 1e-9


def test_share_of_zero_allows_no_extra_load():
    budget = token_budget.TokenBudget(0, 20, 20)
    assert not budget.spend()


@hypothesis.given(
    strategies.lists(strategies.integers(1, 16), min_size=40, max_size=60),
)
def test_batches_that_take_no_time_are_no_fault_and_not_slow(sizes):
    """A coarse clock shows batches that took no time at all."""
    slowness = batch_slowness.BatchSlowness()
    means = [slowness.observe(size, 0) for size in sizes]
    assert max(means) <= 1


@hypothesis.given(strategies.floats(0, 0.05), strategies.floats(-1, 10))
def test_batching_costs_little_of_the_deadline(configured_s, left_s):
    window_s = batch_window.window_s(configured_s, left_s)
    assert 0 <= window_s <= max(left_s, 0) / 49.99


def test_replica_that_refuses_all_gets_little_and_is_found_when_well():
    """It refuses at once, so it looks idle, and its sibling never gets work.

    Each refusal costs a retry; when those are spent, shards go missing that
    the sibling would have covered.
    """
    trust = replica_trust.ReplicaTrust()
    tries = _choices(trust, range(0, 1000), is_well=False)
    assert 1 <= tries <= 10
    assert _choices(trust, range(5000, 6000), is_well=True) > 300


def test_replica_that_refuses_some_batches_keeps_most_work():
    trust = replica_trust.ReplicaTrust()
    weights = []
    for number in range(1000):
        if number % 20:
            trust.succeeded(number / 1000)
        else:
            trust.failed(number / 1000)
        weights.append(trust.weight(number / 1000))
    assert sum(weights[500:]) > 300


def _choices(trust, at_ms, *, is_well):
    """Count how often the replica is chosen; its sibling has one in flight."""
    rng = random.Random(1)
    chosen = 0
    for number in at_ms:
        now = number / 1000
        found = replica_choice.choose(
            [
                _Replica('x', 0, trust.weight(now)),
                _Replica('y', rng.randrange(3), 1),
            ],
            rng,
        )
        if found.searcher_id == 'x':
            chosen += 1
            told = trust.succeeded if is_well else trust.failed
            told(now)
    return chosen
