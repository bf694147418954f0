"""The reason why a section of a draft is not in force."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SectionRefusal:
    """A refused edit; ``message`` includes the place of the error.

    ``revision`` is that of the draft, and ``edits`` counts the edits of the
    section. ``section`` is empty if no section of the draft could be read.
    """

    section: str
    edits: int
    revision: int
    message: str
    remedy: str
