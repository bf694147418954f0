"""A validated variant of an experiment."""

import dataclasses

from chivepond.load import scenario


@dataclasses.dataclass(slots=True, frozen=True)
class TrialPlan:
    """The name of a variant and its validated scenario."""

    name: str
    scenario: scenario.Scenario
