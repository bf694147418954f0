"""The error for work that certainly was not run."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun(problem.Problem):
    """The request was not run and will not be run later."""

    kind: ClassVar[str] = 'not_run'
    status: ClassVar[int] = 503
