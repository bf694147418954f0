"""An object as the platform holds it."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """A versioned object.

    Versions rise over the whole store and are never used twice. ``token``
    is what the last writer sent to know its own write again.
    """

    kind: str
    name: str
    version: int
    token: str
    body: msgspec.Raw
