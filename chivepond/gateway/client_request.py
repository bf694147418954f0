"""A complete request of a client."""

import dataclasses
import re

from chivepond.gateway import header_list
from chivepond.platform import headers

_MS_PER_S = 1000
_MILLISECONDS = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,6})?')


@dataclasses.dataclass(slots=True)
class ClientRequest:
    """A parsed HTTP request and when its first byte was received."""

    method: bytes
    #: Path and query as the client sent them.
    target: bytes
    headers: header_list.HeaderList
    body: bytes
    #: When the first byte was received, in seconds on the monotonic clock.
    received_at: float
    is_kept_alive: bool
    #: Network delay of the request and its response, in seconds.
    network_delay_s: float = 0
    #: An estimate of the memory of the request, in bytes.
    held_bytes: int = 0

    @property
    def path(self) -> bytes:
        """The path without the query."""
        return self.target.partition(b'?')[0]

    @property
    def host(self) -> bytes:
        """The Host header field in lower case, without the port."""
        host_field = self.headers.get(b'host') or b''
        return host_field.partition(b':')[0].lower()

    @property
    def request_id(self) -> bytes:
        """The request identifier; empty if the client sent none."""
        return self.headers.get(headers.REQUEST_ID) or b''

    def deadline(self, timeout_s: float) -> float:
        """Return when the client stops waiting, on the monotonic clock.

        The result is at most ``timeout_s`` seconds after the first byte. If
        the header field with the client's remaining time is missing or can't
        be parsed, ``timeout_s`` applies alone.
        """
        time_left = self.headers.get(headers.TIME_LEFT_MS) or b''
        if not _MILLISECONDS.fullmatch(time_left):
            return self.received_at + timeout_s
        left_s = float(time_left) / _MS_PER_S
        return self.received_at + min(timeout_s, left_s)
