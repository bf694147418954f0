"""A conditional write to the platform."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectWrite:
    """A new body for an object at version ``expect``; 0 creates the object.

    ``token`` lets the writer recognise its own write.
    """

    expect: int
    token: str
    body: msgspec.Raw
