"""Decodes what the platform's store returns, which any program may write."""

from typing import TypeVar

import msgspec
import result

from chivepond.errors import invalid
from chivepond.wire import plain_json

_REMEDY = 'check which program wrote this entry; other entries are unaffected'

Decoded = TypeVar('Decoded')


def decode(
    text: bytes | msgspec.Raw,
    decoded_type: type[Decoded],
) -> result.Result[Decoded, invalid.Invalid]:
    """Return the decoded text, or ``Invalid`` when that is not possible.

    Guards against one entry that makes a whole list unreadable, as the decoder
    refuses what is nested too deeply also where it only skips it.
    """
    decoded = _decode(bytes(text), decoded_type)
    if decoded.is_ok():
        return decoded
    return _decode(plain_json.simplified(bytes(text)), decoded_type)


def _decode(
    text: bytes,
    decoded_type: type[Decoded],
) -> result.Result[Decoded, invalid.Invalid]:
    try:
        return result.Ok(msgspec.json.decode(text, type=decoded_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(invalid.Invalid(str(error), _REMEDY))
