"""The deployment document as operators last edited it."""

import dataclasses

from chivepond.wire import draft_section

_EMPTY_SECTION = draft_section.DraftSection()


@dataclasses.dataclass(slots=True, frozen=True)
class DraftDocument:
    """One section for each team, not validated yet."""

    search: draft_section.DraftSection = _EMPTY_SECTION
    capacity: draft_section.DraftSection = _EMPTY_SECTION
    audit: draft_section.DraftSection = _EMPTY_SECTION
