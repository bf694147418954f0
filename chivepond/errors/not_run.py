"""The error for a request that certainly did not run."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun(problem.Problem):
    """The request did not run and will not run later."""

    kind: ClassVar[str] = 'not_run'
    status: ClassVar[int] = 503
