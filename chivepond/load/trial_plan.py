"""A variant that is ready to run."""

import dataclasses

from chivepond.load import scenario


@dataclasses.dataclass(slots=True, frozen=True)
class TrialPlan:
    """The name of a variant and its checked scenario."""

    name: str
    scenario: scenario.Scenario
