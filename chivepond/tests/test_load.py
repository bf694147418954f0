"""The arithmetic of the load tool, and the checks of its files."""

import asyncio
import pathlib
import random

import pytest
import result

from chivepond.load import (
    arrival,
    arrivals,
    checked_experiment,
    generator,
    outcome,
    recorder,
    scenario,
    spread,
    stream,
)
from chivepond.tests import support
from chivepond.wire import coverage, search_answer, snapshot

_EXPERIMENTS = pathlib.Path(__file__).parents[2] / 'experiments'


class _StalledCallers:
    """Answers nothing until the last search of a trial has arrived."""

    def __init__(self, expected: int) -> None:
        """Wait for ``expected`` searches."""
        self._missing = expected
        self._is_complete = asyncio.Event()

    async def search(self, due: arrival.Arrival) -> support.Answer:
        self._missing -= 1
        if not self._missing:
            self._is_complete.set()
        await self._is_complete.wait()
        return result.Ok(
            search_answer.SearchAnswer(
                request_id=due.caller,
                snapshot=snapshot.Snapshot('passes', 1),
                coverage=coverage.Coverage(2, 2, []),
                hits=[],
            ),
        )


def _scenario(**told: object) -> dict[str, object]:
    streams = [{'name': 'desk', 'service': 'desk', 'per_s': 40}]
    deployment = {'services': [{'name': 'desk', 'index': 'passes'}]}
    base = {'seconds': 1, 'streams': streams, 'deployment': deployment}
    return base | told


def test_stall_counts_from_due_time() -> None:
    """A system that stalls must not hold back its own load.

    A closed loop would send one search, wait, and report one slow answer.
    Here all are sent while nothing is answered, and each that was due
    before the stall ended counts its whole wait.
    """
    support.run(_stalled())


async def _stalled() -> None:
    told = checked_experiment.check(_scenario(warm_up_s=0)).unwrap()
    record = recorder.Recorder(told.seconds, told.warm_up_s)
    due = generator.Generator(told, None, record, 1).schedule()
    callers = _StalledCallers(len(due))
    await generator.Generator(told, callers, record, 1).run()
    assert len(record.outcomes) == len(due)
    last = max(one.due_s for one in due)
    for ended in record.outcomes:
        assert ended.took_s >= last - ended.due_s


@pytest.mark.parametrize('kind', ['poisson', 'burst'])
def test_arrivals_keep_their_rate(kind: str) -> None:
    """Arrivals come in order, within the trial, at the mean rate."""
    one = stream.Stream(name='a', service='b', per_s=100, arrivals=kind)
    due = list(arrivals.times(one, 100, random.Random(1)))
    assert due == sorted(due)
    assert due[0] > 0
    assert due[-1] < 100
    assert len(due) == pytest.approx(10000, rel=0.15)


def test_figures_leave_out_warm_up() -> None:
    """Refusals are no latencies, and the warm-up is no figure."""
    record = recorder.Recorder(seconds=3, warm_up_s=1)
    for ended in (
        outcome.Outcome('a', 0.5, 9, total=4, covered=0),
        outcome.Outcome('a', 1.5, 0.1, total=4, covered=4),
        outcome.Outcome('a', 2.5, 0.3, total=4, covered=2),
        outcome.Outcome('a', 2.6, 2, kind='shed'),
    ):
        record.ended(ended)
    seen = record.figures('a')
    assert (seen.searches, seen.refusals_by_kind) == (3, {'shed': 1})
    assert [
        seen.coverage,
        seen.whole_per_s,
        seen.last_unwhole_s,
        seen.max_ms,
        seen.refuse_p99_ms,
    ] == pytest.approx([0.75, 0.5, 2.6, 300, 2000], rel=0.01)
    assert record.needed() == 12


def test_spread_and_ratio() -> None:
    """A ratio compares medians; there is none to nothing."""
    assert spread.Spread.of([4, 1, 2], [8, 1, 4]) == spread.Spread(2, 1, 4, 0.5)
    assert spread.Spread.of([1], [0]).ratio is None


@pytest.mark.parametrize(
    ('told', 'words'),
    [
        ({'addresses': ['192.0.2.1:80']}, 'no loopback address'),
        ({'seconds': 0}, 'seconds'),
        ({'deployment': None}, 'neither deployment'),
        ({'streams': [{'name': 'a', 'service': 'b', 'per_s': 1}]}, "'b'"),
        ({'faults': [{'at_s': 1, 'what': 'node', 'target': 'x'}]}, "node 'x'"),
        ({'unknown': 1}, 'unknown'),
    ],
)
def test_wrong_scenario_names_place(
    told: dict[str, object],
    words: str,
) -> None:
    """Each wrong part is refused before anything runs."""
    wrong = checked_experiment.check(_scenario(**told)).unwrap_err()
    assert words in wrong.message
    assert wrong.remedy


@pytest.mark.parametrize('is_short', [False, True])
def test_experiments_are_right(is_short: bool) -> None:
    """Every experiment of the project can run, in both forms."""
    for path in sorted(_EXPERIMENTS.glob('*.yaml')):
        loaded = checked_experiment.CheckedExperiment.load(
            path,
            [],
            is_short=is_short,
        )
        assert all(
            isinstance(plan.scenario, scenario.Scenario)
            for plan in loaded.unwrap().plans
        )
