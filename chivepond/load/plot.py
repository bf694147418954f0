"""Draws a report: latencies by variant, and whole answers by second."""

import pathlib

from matplotlib import axes, figure

from chivepond.load import report, trial_figures

_SIZE_INCHES = (12, 5)
_TILT_DEGREES = 30
_LATENCIES = ('p50_ms', 'p99_ms')


def draw(told: report.Report, path: pathlib.Path) -> None:
    """Write a PNG."""
    drawn = figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    bars, lines = drawn.subplots(1, 2)
    drawn.suptitle(told.experiment)
    first = told.trials[0]
    _draw_latencies(bars, told, next(iter(first.streams)))
    for trial in told.trials:
        _draw_whole(lines, trial)
    lines.set_xlabel('second of the trial')
    lines.set_ylabel('answers with full coverage')
    drawn.savefig(path)


def _draw_latencies(to: axes.Axes, told: report.Report, stream: str) -> None:
    for name in _LATENCIES:
        by_variant = told.spreads.get(f'{stream} {name}', {})
        to.plot(
            list(by_variant),
            [seen.median for seen in by_variant.values()],
            marker='o',
            label=f'{stream} {name}',
        )
    to.set_yscale('log')
    to.tick_params('x', rotation=_TILT_DEGREES)
    to.legend()


def _draw_whole(to: axes.Axes, trial: trial_figures.TrialFigures) -> None:
    seen = next(iter(trial.streams.values()))
    to.plot(seen.whole_by_second, alpha=0.5, label=trial.variant)
    to.legend(fontsize='small')
