"""An edit of one section."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class SectionEdit:
    """The new body, and the count of edits that it was made from."""

    section: str
    base_edits: int
    body: msgspec.Raw
