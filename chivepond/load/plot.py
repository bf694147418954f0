"""Plots a report: latencies by variant, full answers by second."""

import pathlib

from matplotlib import axes, figure

from chivepond.load import report, trial_figures

_SIZE_INCHES = (12, 5)
_LABEL_ROTATION_DEGREES = 30
_LATENCIES = ('p50_ms', 'p99_ms')


def draw(experiment_report: report.Report, path: pathlib.Path) -> None:
    """Write the plot of a report as PNG to ``path``."""
    canvas = figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    bars, lines = canvas.subplots(1, 2)
    canvas.suptitle(experiment_report.experiment)
    first = experiment_report.trials[0]
    _draw_latencies(bars, experiment_report, next(iter(first.streams)))
    for trial in experiment_report.trials:
        _draw_full_coverage(lines, trial)
    lines.set_xlabel('second of the trial')
    lines.set_ylabel('answers with full coverage')
    canvas.savefig(path)


def _draw_latencies(
    panel: axes.Axes, experiment_report: report.Report, stream: str
) -> None:
    for name in _LATENCIES:
        by_variant = experiment_report.spreads.get(f'{stream} {name}', {})
        panel.plot(
            list(by_variant),
            [figure_spread.median for figure_spread in by_variant.values()],
            marker='o',
            label=f'{stream} {name}',
        )
    panel.set_yscale('log')
    panel.tick_params('x', rotation=_LABEL_ROTATION_DEGREES)
    panel.legend()


def _draw_full_coverage(
    panel: axes.Axes, trial: trial_figures.TrialFigures
) -> None:
    stream_result = next(iter(trial.streams.values()))
    panel.plot(stream_result.whole_by_second, alpha=0.5, label=trial.variant)
    panel.legend(fontsize='small')
