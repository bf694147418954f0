"""A versioned object as nodes hand it on."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """One entry of the board that nodes keep in step."""

    key: str
    version: int
    body: msgspec.Raw
