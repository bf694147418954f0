"""The error for a request, setting or document that is invalid."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid(problem.Problem):
    """The input is invalid; it fails again unless it is changed."""

    kind: ClassVar[str] = 'invalid'
    status: ClassVar[int] = 400
