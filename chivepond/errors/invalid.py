"""The error for a request that can never succeed as it stands."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid(problem.Problem):
    """The request, a setting or a document is wrong as it stands."""

    kind: ClassVar[str] = 'invalid'
    status: ClassVar[int] = 400
