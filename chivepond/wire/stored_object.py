"""An object as the platform stores it."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """A versioned object.

    Versions increase across the whole store and are never reused. ``token``
    comes from the last writer and lets it recognise its own write.
    """

    kind: str
    name: str
    version: int
    token: str
    body: msgspec.Raw
