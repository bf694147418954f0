"""Quotes untrusted text for use in error messages."""

_MAX_QUOTED_CHARS = 80


def quoted(text: str) -> str:
    """Return the start of ``text``, quoted and escaped."""
    return repr(text[:_MAX_QUOTED_CHARS])
