"""Replaces the parts of a JSON text that the decoder cannot read."""

import re
from collections.abc import Iterator

#: The deepest nesting that is kept. The decoder's own limit varies with the
#: stack of its caller, and is a little below 1,000.
_MAX_DEPTH = 100
#: A string, or an opening or closing bracket.
_TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|([\[{])|([\]}])',
    re.DOTALL,
)
#: A pair of surrogates, a surrogate without its other half, or another escape.
_ESCAPE = re.compile(
    rb'\\(?:u[dD][89abAB]\w\w\\u[dD][c-fC-F]\w\w|(u[dD][89a-fA-F]\w\w)|.)',
    re.DOTALL,
)
_REPLACEMENT_CHARACTER = '\N{REPLACEMENT CHARACTER}'.encode()
_NULL = b'null'


def simplified(text: bytes) -> bytes:
    """Return the text without what the decoder refuses although it is JSON.

    Values that are nested too deeply become null, and each surrogate without
    its other half becomes the replacement character. Both may be written by a
    program that this one does not know, in a part that is not used here.
    """
    return b''.join(_shallow_parts(_ESCAPE.sub(_paired_escape, text)))


def _paired_escape(escape: re.Match[bytes]) -> bytes:
    return _REPLACEMENT_CHARACTER if escape[1] else escape[0]


def _shallow_parts(text: bytes) -> Iterator[bytes]:
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(text):
        is_opening, is_closing = map(bool, token.groups())
        depth += is_opening
        is_too_deep = depth == _MAX_DEPTH + 1
        if is_too_deep and is_opening:
            yield text[kept_until : token.start()]
            yield _NULL
        if is_too_deep and is_closing:
            kept_until = token.end()
        depth -= is_closing
    yield text[kept_until:]
