"""A draft of which nothing could be put in force."""

import dataclasses

from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class RefusedDocument:
    """The version of a draft, and what is wrong with it, by section.

    ``message`` and ``remedy`` are those of the first refusal, for software
    that does not know ``refusals``.
    """

    revision: int
    message: str
    remedy: str
    refusals: list[section_refusal.SectionRefusal] = dataclasses.field(
        default_factory=list,
    )
