"""A section of the draft, as returned to operators."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class SectionView:
    """The body, and the count of edits on which to base a new edit."""

    section: str
    edits: int
    revision: int
    body: msgspec.Raw
