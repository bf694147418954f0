"""The revision of an accepted or refused document."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionMark:
    """The one field that all software versions decode in these documents."""

    revision: int
