"""Why a section of a draft is not in force."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SectionRefusal:
    """A refused edit, with its place in the message.

    ``revision`` is the draft's; ``edits`` counts the section's edits.
    ``section`` is empty where no section of the draft could be read.
    """

    section: str
    edits: int
    revision: int
    message: str
    remedy: str
