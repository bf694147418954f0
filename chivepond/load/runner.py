"""Runs an experiment and writes what it showed."""

import datetime
import pathlib
from collections.abc import Callable

import msgspec
import uvloop

from chivepond.load import (
    checked_experiment,
    comparison,
    markdown,
    plot,
    report,
    trial,
    trial_figures,
)

Say = Callable[[str], None]


class Runner:
    """Runs all variants in turn, several times, and compares them."""

    __slots__ = ('_command', '_pids', '_say')

    def __init__(self, command: str, pids: list[int], say: Say) -> None:
        """Name ``command`` in reports; tell of each trial by ``say``."""
        self._command = command
        self._pids = pids
        self._say = say

    def run(
        self, checked: checked_experiment.CheckedExperiment
    ) -> report.Report:
        """Interleave the variants; one run gives all the same arrivals."""
        started = datetime.datetime.now(datetime.UTC)
        trials: list[trial_figures.TrialFigures] = []
        for number in range(checked.runs):
            for plan in checked.plans:
                one = trial.Trial(plan, plan.scenario.seed + number, self._pids)
                trials.append(uvloop.run(one.run()))
                self._say(_line(trials[-1], number))
        return report.Report(
            experiment=checked.told.name,
            question=checked.told.question,
            goal=checked.told.goal,
            command=self._command,
            started=started.isoformat(timespec='seconds'),
            runs=checked.runs,
            trials=trials,
            spreads=comparison.compare(checked.told, trials),
        )


def write(told: report.Report, folder: pathlib.Path) -> None:
    """Write the report as Markdown, JSON and a plot."""
    folder.mkdir(parents=True, exist_ok=True)
    base = folder / told.experiment
    base.with_suffix('.md').write_text(markdown.of(told))
    base.with_suffix('.json').write_bytes(msgspec.json.encode(told))
    plot.draw(told, base.with_suffix('.png'))


def _line(seen: trial_figures.TrialFigures, number: int) -> str:
    told = [
        f'{name}: p99 {one.p99_ms:.0f} ms, coverage {one.coverage:.3f},'
        f' answered {one.answered:.3f}'
        for name, one in seen.streams.items()
    ]
    return (
        f'  run {number + 1} {seen.variant}: {"; ".join(told)};'
        f' generator late {seen.lag_p99_ms:.0f} ms, cpu {seen.cpu:.2f}'
    )
