"""A section as operators read it."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class SectionView:
    """The body, and the count of edits to base a new edit on."""

    section: str
    edits: int
    revision: int
    body: msgspec.Raw
