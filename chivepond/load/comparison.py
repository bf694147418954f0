"""Compares the variants of an experiment."""

import dataclasses

from chivepond.load import experiment, spread, trial_figures

_SpreadByVariant = dict[str, spread.Spread]
_Run = dict[str, float]


def compare(
    told: experiment.Experiment,
    trials: list[trial_figures.TrialFigures],
) -> dict[str, _SpreadByVariant]:
    """Return each figure's spread by its name, then by the variant."""
    runs_by_variant: dict[str, list[_Run]] = {}
    for trial in trials:
        runs_by_variant.setdefault(trial.variant, []).append(flat(trial))
    first = told.variants[0].name
    against = {one.name: one.against or first for one in told.variants}
    names = dict.fromkeys(name for run in map(flat, trials) for name in run)
    spreads = {name: _spreads(name, runs_by_variant, against) for name in names}
    return {name: by for name, by in spreads.items() if _is_telling(by)}


def flat(trial: trial_figures.TrialFigures) -> dict[str, float]:
    """Return the single figures of a trial by name, streams first."""
    figures: dict[str, float] = {}
    for stream, seen in trial.streams.items():
        told = dataclasses.asdict(seen)
        for name, figure in told.items():
            if isinstance(figure, int | float):
                figures[f'{stream} {name}'] = figure
        for kind, count in seen.refusals_by_kind.items():
            figures[f'{stream} refused {kind}'] = count
    for name, figure in dataclasses.asdict(trial).items():
        if isinstance(figure, int | float):
            figures[name] = figure
    return figures


def _spreads(
    name: str,
    runs_by_variant: dict[str, list[_Run]],
    against: dict[str, str],
) -> _SpreadByVariant:
    seen = {
        variant: [run.get(name, 0) for run in runs]
        for variant, runs in runs_by_variant.items()
    }
    return {
        variant: spread.Spread.of(figures, seen[against[variant]])
        for variant, figures in seen.items()
    }


def _is_telling(by_variant: _SpreadByVariant) -> bool:
    return any(seen.low or seen.high for seen in by_variant.values())
