"""Returns memory that was freed to the system."""

import contextlib
import importlib


def trim() -> None:
    """Return freed pages of the heap, where the C library can do so.

    ``ctypes`` is imported here as it takes memory that most processes never
    need to spend.
    """
    ctypes = importlib.import_module('ctypes')
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).malloc_trim(0)
