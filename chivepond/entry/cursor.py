"""Opaque cursors for the pages of a search result."""

import base64
import binascii
import dataclasses

import result

from chivepond.errors import invalid
from chivepond.wire import codec


@dataclasses.dataclass(slots=True, frozen=True)
class Cursor:
    """An index version and the number of hits on the pages before."""

    version: int
    offset: int


def to_text(cursor: Cursor) -> str:
    """Return a cursor as URL-safe base64 text for callers."""
    return base64.urlsafe_b64encode(codec.encode(cursor)).decode()


def from_text(text: str) -> result.Result[Cursor, invalid.Invalid]:
    """Decode a cursor from a caller; ``invalid`` if it is malformed."""
    try:
        raw = base64.urlsafe_b64decode(text)
    except (binascii.Error, ValueError):
        return result.Err(_invalid_cursor())
    return codec.decode(Cursor, raw).map_err(lambda _: _invalid_cursor())


def _invalid_cursor() -> invalid.Invalid:
    return invalid.Invalid(
        message='the cursor is malformed',
        remedy='send the cursor of the last answer unchanged, or omit it',
    )
