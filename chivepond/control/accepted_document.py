"""The accepted deployment document, as stored on the platform."""

import dataclasses

from chivepond.settings import deployment
from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class AcceptedDocument:
    """A valid document; ``revision`` is the object version of its draft.

    Each section in ``refusals`` is invalid in that draft; the document has
    the last valid body of that section instead.
    """

    revision: int
    document: deployment.Deployment
    refusals: list[section_refusal.SectionRefusal] = dataclasses.field(
        default_factory=list,
    )
