"""Parses keys of non-idempotent requests."""

import re

import result

from chivepond.errors import invalid, quoting

_KEY_PATTERN = re.compile(r'(?P<issued>[0-9]{13})-[A-Za-z0-9_-]{8,64}')


def issued_ms(key: str) -> result.Result[int, invalid.Invalid]:
    """Return when a key was issued, in milliseconds since the epoch.

    Returns ``Invalid`` if the key does not have the form of a request key.
    """
    matched = _KEY_PATTERN.fullmatch(key)
    if matched is None:
        return result.Err(
            invalid.Invalid(
                message=f'{quoting.quoted(key)} is not a valid request key',
                remedy='send <13 digits of milliseconds since the epoch>-'
                '<8 to 64 letters, digits, - or _>',
            ),
        )
    return result.Ok(int(matched['issued']))
