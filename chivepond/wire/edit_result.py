"""The result of an edit that was stored."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EditResult:
    """The draft revision with the edit, and the number of section edits."""

    revision: int
    edits: int
