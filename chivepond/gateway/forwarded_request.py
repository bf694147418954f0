"""A caller's request in the form in which searchers get it."""

from typing import Self

from chivepond.gateway import client_request
from chivepond.platform import headers

_MS_PER_S = 1000
_OWN_FIELDS = (
    b'content-length',
    headers.TIME_LEFT_MS,
    headers.EXPECTED_SEARCHER,
)


class ForwardedRequest:
    """Method, path and body unchanged; fields of this one hop are new."""

    __slots__ = (
        'body',
        'head',
        'is_head',
        'is_held',
        'is_repeatable',
        'progress',
        'request_id',
    )

    def __init__(
        self,
        request_id: bytes,
        head: bytes,
        body: bytes,
        *,
        is_head: bool,
        is_repeatable: bool = True,
    ) -> None:
        """Take the lines that are the same for each searcher."""
        self.is_repeatable = is_repeatable
        self.request_id = request_id
        self.head = head
        self.body = body
        self.is_head = is_head
        self.is_held = False
        self.progress = None

    @classmethod
    def of(
        cls,
        request: client_request.ClientRequest,
        *,
        is_repeatable: bool,
    ) -> Self:
        """Return the form of a caller's request."""
        lines = [b'%s %s HTTP/1.1\r\n' % (request.method, request.target)]
        lines.extend(
            b'%s: %s\r\n' % pair
            for pair in request.headers.end_to_end(_OWN_FIELDS)
        )
        if request.body or request.headers.get(b'content-length') is not None:
            lines.append(b'Content-Length: %d\r\n' % len(request.body))
        return cls(
            request.request_id,
            b''.join(lines),
            request.body,
            is_head=request.method == b'HEAD',
            is_repeatable=is_repeatable,
        )

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes for one searcher, which has ``left_s`` seconds."""
        return b''.join(
            (
                self.head,
                b'%s: %s\r\n' % (headers.EXPECTED_SEARCHER, receiver.encode()),
                b'%s: %d\r\n\r\n' % (headers.TIME_LEFT_MS, left_s * _MS_PER_S),
                self.body,
            ),
        )
