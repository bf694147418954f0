"""An edit of one section."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class SectionEdit:
    """A new body for a section whose count of edits is ``base_edits``."""

    section: str
    base_edits: int
    body: msgspec.Raw
