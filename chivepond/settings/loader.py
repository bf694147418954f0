"""Loads settings from YAML and reports the place of each error."""

import contextlib
import pathlib
import re
from typing import TypeVar

import msgspec
import result

from chivepond.errors import invalid
from chivepond.settings import gateway_settings, node_settings

Kind = TypeVar('Kind')

#: Size limit of a document in bytes; the platform stores no larger object.
MAX_BYTES = 1000000

_DECODE_ERROR = re.compile(r'(?P<what>.*) - at `\$\.?(?P<place>[^`]*)`')


def load(
    settings_type: type[Kind],
    path: pathlib.Path,
) -> result.Result[Kind, invalid.Invalid]:
    """Return the settings in a file, or ``Invalid`` if it is unusable."""
    if path == pathlib.Path():
        return result.Err(
            invalid.Invalid(
                message='no file is named',
                remedy='pass the path of a YAML file; see --help for the flag',
            ),
        )
    try:
        text = path.read_bytes()
    except OSError as error:
        return result.Err(
            invalid.Invalid(
                message=f'{path} could not be read: {error.strerror}',
                remedy='pass the path of a file that exists and is readable',
            ),
        )
    return parse(settings_type, text, str(path))


def parse(
    settings_type: type[Kind],
    text: bytes,
    source: str,
) -> result.Result[Kind, invalid.Invalid]:
    """Return the settings in YAML ``text``; errors name ``source``."""
    if len(text) > MAX_BYTES:
        return result.Err(_too_large(source))
    try:
        settings = _decode(settings_type, text)
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(_explain(source, str(error)))
    return _check_across(settings, source)


def _decode(settings_type: type[Kind], text: bytes) -> Kind:
    """Decode YAML, with the faster JSON decoder where that is possible.

    Parsing with the YAML library takes 12 of the 180 ms of CPU time that a
    gateway needs from its start to its first request.
    """
    if text.lstrip().startswith(b'{'):
        # Text in braces that is not JSON is YAML with comments or bare words.
        with contextlib.suppress(msgspec.DecodeError):
            return msgspec.json.decode(text, type=settings_type)
    return msgspec.yaml.decode(text, type=settings_type)


def _check_across(
    settings: Kind,
    source: str,
) -> result.Result[Kind, invalid.Invalid]:
    match settings:
        case node_settings.NodeSettings() | gateway_settings.GatewaySettings():
            error = settings.find_error()
        case _:
            error = None
    if error is None:
        return result.Ok(settings)
    return result.Err(
        invalid.Invalid(
            message=f'{source}, at {error.setting}: {error.reason}',
            remedy=error.remedy,
        ),
    )


def _too_large(source: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'{source} has more than {MAX_BYTES} bytes',
        remedy='split it; the platform stores objects of up to one megabyte',
    )


def _explain(source: str, text: str) -> invalid.Invalid:
    parsed = _DECODE_ERROR.search(text)
    reason = parsed['what'] if parsed else text
    place = parsed['place'] if parsed else ''
    where = f'{source}, at {place}' if place else source
    return invalid.Invalid(
        message=f'{where}: {reason}',
        remedy='see `chivepond config defaults` for names, units and ranges',
    )
