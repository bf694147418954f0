"""What an experiment showed."""

import dataclasses

from chivepond.load import spread, trial_figures


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Every run, and each figure's spread by its name and the variant."""

    experiment: str
    question: str
    goal: str
    command: str
    started: str
    runs: int
    trials: list[trial_figures.TrialFigures]
    spreads: dict[str, dict[str, spread.Spread]]
