"""Encodes and decodes typed messages as JSON with msgspec."""

import functools
from typing import Any, TypeVar

import msgspec
import result

from chivepond.errors import invalid

Kind = TypeVar('Kind')

_encoder = msgspec.json.Encoder()

#: Returns a message as JSON bytes.
encode = _encoder.encode


@functools.cache
def _decoder(message_type: type[Kind]) -> msgspec.json.Decoder[Kind]:
    return msgspec.json.Decoder(message_type)


def decode(
    message_type: type[Kind],
    raw: bytes | msgspec.Raw,
) -> result.Result[Kind, invalid.Invalid]:
    """Return the message in ``raw``, or ``Invalid`` with the faulty field."""
    try:
        return result.Ok(_decoder(message_type).decode(raw))
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(
            invalid.Invalid(
                message=f'the {message_type.__name__} could not be read:'
                f' {error}',
                remedy='send the fields that docs/INTERFACE.md lists',
            ),
        )


def to_raw(message: Any) -> msgspec.Raw:
    """Return an encoded message, to be embedded in another one."""
    return msgspec.Raw(encode(message))
