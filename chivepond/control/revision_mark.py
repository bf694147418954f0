"""The revision that an accepted or refused document is of."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionMark:
    """What any software can read of these documents, whatever their form."""

    revision: int
