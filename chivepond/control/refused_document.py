"""A draft that was refused."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RefusedDocument:
    """The version of a draft, and what is wrong with it."""

    revision: int
    message: str
    remedy: str
