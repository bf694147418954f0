"""Decodes messages between gateways."""

from typing import TypeVar

import msgspec
import result

from chivepond.errors import invalid

_REMEDY = 'check the release and the log of the gateway that sent it'

Decoded = TypeVar('Decoded')


def decode(
    message: bytes,
    decoded_type: type[Decoded],
) -> result.Result[Decoded, invalid.Invalid]:
    """Return the decoded message, or ``Invalid`` when that is not possible."""
    try:
        return result.Ok(msgspec.msgpack.decode(message, type=decoded_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(invalid.Invalid(str(error), _REMEDY))
