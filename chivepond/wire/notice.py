"""A versioned object that nodes replicate to each other."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """One replicated object with its version."""

    key: str
    version: int
    body: msgspec.Raw
