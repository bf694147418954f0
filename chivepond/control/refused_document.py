"""A draft of which no section could be accepted, as stored."""

import dataclasses

from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class RefusedDocument:
    """The refusals of a draft by section; ``revision`` is its object version.

    ``message`` and ``remedy`` are those of the first refusal, for software
    that does not know ``refusals``.
    """

    revision: int
    message: str
    remedy: str
    refusals: list[section_refusal.SectionRefusal] = dataclasses.field(
        default_factory=list,
    )
