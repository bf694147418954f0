"""A conditional write to the platform."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectWrite:
    """The new body, and the version that it replaces.

    ``expect`` is the version to replace, zero to create.
    """

    expect: int
    token: str
    body: msgspec.Raw
