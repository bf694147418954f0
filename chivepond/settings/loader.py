"""Reads YAML into settings, and says what is wrong with it and where."""

import pathlib
import re
from typing import TypeVar

import msgspec
import result

from chivepond.errors import invalid

Kind = TypeVar('Kind')

_PLACE = re.compile(r'(?P<what>.*) - at `\$\.?(?P<place>[^`]*)`')


def load(
    kind: type[Kind],
    path: pathlib.Path,
) -> result.Result[Kind, invalid.Invalid]:
    """Return the settings in a file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return result.Err(
            invalid.Invalid(
                message=f'{path} could not be read: {error.strerror}',
                remedy='name a file that exists and may be read',
            ),
        )
    return parse(kind, text, str(path))


def parse(
    kind: type[Kind],
    text: bytes,
    source: str,
) -> result.Result[Kind, invalid.Invalid]:
    """Return the settings in some YAML; ``source`` names it in errors."""
    try:
        return result.Ok(msgspec.yaml.decode(text, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(_explain(source, str(error)))


def _explain(source: str, text: str) -> invalid.Invalid:
    found = _PLACE.search(text)
    what = found['what'] if found else text
    place = found['place'] if found else ''
    where = f'{source}, at {place}' if place else source
    return invalid.Invalid(
        message=f'{where}: {what}',
        remedy='see `chivepond config defaults` for names, units and ranges',
    )
