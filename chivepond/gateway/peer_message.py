"""A request for a gather in the form in which another gateway gets it."""

import msgspec

from chivepond.platform import headers
from chivepond.wire import gather_request

PATH = b'/v1/gather'


class PeerMessage:
    """One gather; its identifier pairs it with its reply."""

    __slots__ = ('_asked', 'is_head', 'request_id')

    def __init__(self, asked: gather_request.GatherRequest) -> None:
        """Carry ``asked``."""
        self._asked = asked
        self.request_id = asked.request_id
        self.is_head = False

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes; the receiver's name goes along as the host."""
        body = msgspec.msgpack.encode(self._asked)
        head = b'POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n' % (
            PATH,
            receiver.encode(),
            headers.REQUEST_ID,
            self.request_id,
        )
        return b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)
