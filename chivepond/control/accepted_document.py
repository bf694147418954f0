"""The document in force."""

import dataclasses

from chivepond.settings import deployment


@dataclasses.dataclass(slots=True, frozen=True)
class AcceptedDocument:
    """A checked document; ``revision`` is the version of its draft."""

    revision: int
    document: deployment.Deployment
