"""Compares the trials of the variants of an experiment."""

import dataclasses

from chivepond.load import experiment, spread, trial_figures

_SpreadByVariant = dict[str, spread.Spread]
_FigureByName = dict[str, float]


def compare(
    definition: experiment.Experiment,
    trials: list[trial_figures.TrialFigures],
) -> dict[str, _SpreadByVariant]:
    """Return spreads by figure name, then by variant.

    Ratios are relative to the variant's baseline. Figures that are zero in
    every run are omitted.
    """
    runs_by_variant: dict[str, list[_FigureByName]] = {}
    for trial in trials:
        runs_by_variant.setdefault(trial.variant, []).append(
            flat_figures(trial)
        )
    default_baseline = definition.variants[0].name
    baseline_by_variant = {
        variant.name: variant.against or default_baseline
        for variant in definition.variants
    }
    figure_names = dict.fromkeys(
        name for run in map(flat_figures, trials) for name in run
    )
    spreads = {
        name: _spreads(name, runs_by_variant, baseline_by_variant)
        for name in figure_names
    }
    return {
        name: by_variant
        for name, by_variant in spreads.items()
        if _has_nonzero_figure(by_variant)
    }


def flat_figures(trial: trial_figures.TrialFigures) -> dict[str, float]:
    """Return the scalar figures of a trial by name.

    Figures of a stream come first, prefixed with the name of the stream.
    """
    figures: dict[str, float] = {}
    for stream, stream_result in trial.streams.items():
        figure_by_name = dataclasses.asdict(stream_result)
        for name, figure in figure_by_name.items():
            if isinstance(figure, int | float):
                figures[f'{stream} {name}'] = figure
        for kind, count in stream_result.refusals_by_kind.items():
            figures[f'{stream} refused {kind}'] = count
    for name, figure in dataclasses.asdict(trial).items():
        if isinstance(figure, int | float):
            figures[name] = figure
    return figures


def _spreads(
    name: str,
    runs_by_variant: dict[str, list[_FigureByName]],
    baseline_by_variant: dict[str, str],
) -> _SpreadByVariant:
    figures_by_variant = {
        variant: [run.get(name, 0) for run in runs]
        for variant, runs in runs_by_variant.items()
    }
    return {
        variant: spread.Spread.of(
            figures, figures_by_variant[baseline_by_variant[variant]]
        )
        for variant, figures in figures_by_variant.items()
    }


def _has_nonzero_figure(by_variant: _SpreadByVariant) -> bool:
    return any(
        figure_spread.low or figure_spread.high
        for figure_spread in by_variant.values()
    )
