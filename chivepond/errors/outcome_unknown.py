"""The error for a request or write that may have taken effect."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(problem.Problem):
    """The request may have run; look up its key for the final outcome."""

    kind: ClassVar[str] = 'outcome_unknown'
    status: ClassVar[int] = 504
