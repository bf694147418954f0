"""Runs an experiment and writes its report."""

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

PrintLine = Callable[[str], None]


class Runner:
    """Runs all variants in turn, several times, and compares them."""

    __slots__ = ('_command', '_pids', '_print_line')

    def __init__(
        self, command: str, pids: list[int], print_line: PrintLine
    ) -> None:
        """Set up a runner.

        ``command`` is quoted in reports, ``pids`` are further processes to
        measure, and ``print_line`` prints a summary of each trial.
        """
        self._command = command
        self._pids = pids
        self._print_line = print_line

    def run(
        self, checked: checked_experiment.CheckedExperiment
    ) -> report.Report:
        """Run the variants interleaved; within a run all share one seed."""
        started = datetime.datetime.now(datetime.UTC)
        trials: list[trial_figures.TrialFigures] = []
        for number in range(checked.runs):
            for plan in checked.plans:
                current_trial = trial.Trial(
                    plan, plan.scenario.seed + number, self._pids
                )
                trials.append(uvloop.run(current_trial.run()))
                self._print_line(_trial_line(trials[-1], number))
        return report.Report(
            experiment=checked.experiment.name,
            question=checked.experiment.question,
            goal=checked.experiment.goal,
            command=self._command,
            started=started.isoformat(timespec='seconds'),
            runs=checked.runs,
            trials=trials,
            spreads=comparison.compare(checked.experiment, trials),
        )


def write(experiment_report: report.Report, folder: pathlib.Path) -> None:
    """Write the report to ``folder`` as Markdown, JSON and a plot."""
    folder.mkdir(parents=True, exist_ok=True)
    base = folder / experiment_report.experiment
    base.with_suffix('.md').write_text(markdown.render(experiment_report))
    base.with_suffix('.json').write_bytes(
        msgspec.json.encode(experiment_report)
    )
    plot.draw(experiment_report, base.with_suffix('.png'))


def _trial_line(figures: trial_figures.TrialFigures, number: int) -> str:
    stream_texts = [
        f'{name}: p99 {stream_result.p99_ms:.0f} ms,'
        f' coverage {stream_result.coverage:.3f},'
        f' answered {stream_result.answered:.3f}'
        for name, stream_result in figures.streams.items()
    ]
    return (
        f'  run {number + 1} {figures.variant}: {"; ".join(stream_texts)};'
        f' generator lag {figures.lag_p99_ms:.0f} ms, cpu {figures.cpu:.2f}'
    )
