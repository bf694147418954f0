"""What became of an edit."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EditResult:
    """The revision that holds the edit, and the section's count of edits."""

    revision: int
    edits: int
