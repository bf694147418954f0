"""The results of an experiment."""

import dataclasses

from chivepond.load import spread, trial_figures


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """All trials, and spreads by figure name, then by variant.

    ``started`` is an ISO 8601 time in UTC; ``runs`` counts the runs of each
    variant.
    """

    experiment: str
    question: str
    goal: str
    command: str
    started: str
    runs: int
    trials: list[trial_figures.TrialFigures]
    spreads: dict[str, dict[str, spread.Spread]]
