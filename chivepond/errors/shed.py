"""The error for a request rejected to limit load."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Shed(problem.Problem):
    """The caller or the service exceeds its share; nothing was run."""

    kind: ClassVar[str] = 'not_run'
    status: ClassVar[int] = 429
