"""A caller's request in the form in which searchers get it."""

from chivepond.gateway import caller_request
from chivepond.platform import headers

_MS_PER_S = 1000
_OWN_FIELDS = (
    b'content-length',
    headers.TIME_LEFT_MS,
    headers.EXPECTED_SEARCHER,
)


class ForwardedRequest:
    """Method, path and body unchanged; fields of this one hop are new."""

    __slots__ = ('_body', '_head', 'is_head', 'request_id')

    def __init__(self, request: caller_request.CallerRequest) -> None:
        """Encode what is the same for each searcher."""
        self.request_id = request.request_id
        self.is_head = request.method == b'HEAD'
        lines = [b'%s %s HTTP/1.1\r\n' % (request.method, request.target)]
        lines.extend(
            b'%s: %s\r\n' % pair
            for pair in request.headers.end_to_end(_OWN_FIELDS)
        )
        if request.body or request.headers.get(b'content-length') is not None:
            lines.append(b'Content-Length: %d\r\n' % len(request.body))
        self._head = b''.join(lines)
        self._body = request.body

    def encode(self, searcher_id: str, left_s: float) -> bytes:
        """Return the bytes for one searcher, which has ``left_s`` seconds."""
        return b''.join(
            (
                self._head,
                b'%s: %s\r\n'
                % (headers.EXPECTED_SEARCHER, searcher_id.encode()),
                b'%s: %d\r\n\r\n' % (headers.TIME_LEFT_MS, left_s * _MS_PER_S),
                self._body,
            ),
        )
