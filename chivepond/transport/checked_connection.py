"""A connection that goes back to its pool only after a whole reply."""

import contextvars
from urllib import parse as url_parse

from aiosonic import connection

#: Set where an exchange must not go on a kept connection.
needs_fresh = contextvars.ContextVar('needs_fresh', default=False)


class CheckedConnection(connection.Connection):
    """Closes itself unless the reply in progress was read to its end.

    Guards against a library fault: a request that times out, or is
    cancelled, on a reused connection leaves it in the pool with ``keep``
    still set, and the next request reads the previous request's answer.
    Clearing ``keep`` when the connection is taken makes the release close
    it; the library sets it again once it has read the reply's head.
    """

    def reuse(self, urlparsed: url_parse.ParseResult, verify: bool) -> bool:
        """Tell whether the open connection serves, and distrust it."""
        self.keep = False
        if needs_fresh.get():
            return False
        return super().reuse(urlparsed, verify)
