"""The error for work that may have run."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(problem.Problem):
    """The request may have run; its key tells how it stands later."""

    kind: ClassVar[str] = 'outcome_unknown'
    status: ClassVar[int] = 504
