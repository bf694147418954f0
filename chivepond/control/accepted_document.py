"""The document in force."""

import dataclasses

from chivepond.settings import deployment
from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class AcceptedDocument:
    """A checked document; ``revision`` is the version of its draft.

    A section named in ``refusals`` is wrong in that draft; the document has
    the last body of it that was right.
    """

    revision: int
    document: deployment.Deployment
    refusals: list[section_refusal.SectionRefusal] = dataclasses.field(
        default_factory=list,
    )
