"""Responses to clients."""

import dataclasses
import http


@dataclasses.dataclass(slots=True)
class ClientResponse:
    """An HTTP response, and the reasons that its log event carries."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    #: Whether the connection is closed after this response.
    is_last: bool = False
    #: The Content-Length to send without a body, as for HEAD.
    stated_length: bytes | None = None
    #: The reason for the log event; empty for an ordinary success.
    reason: str = ''
    #: Why each missing shard is not part of a search response.
    reason_by_shard: dict[str, str] = dataclasses.field(default_factory=dict)

    def encode(self, *, keep_alive: bool, has_body: bool) -> bytes:
        """Return the bytes of the response; ``has_body`` is false for HEAD."""
        lines = [b'HTTP/1.1 %d %s\r\n' % (self.status, _phrase(self.status))]
        lines.extend(b'%s: %s\r\n' % pair for pair in self.headers)
        if self.status not in _STATUSES_WITHOUT_LENGTH:
            length = self.stated_length or b'%d' % len(self.body)
            lines.append(b'Content-Length: %s\r\n' % length)
        if not keep_alive or self.is_last:
            lines.append(b'Connection: close\r\n')
        lines.append(b'\r\n')
        if has_body:
            lines.append(self.body)
        return b''.join(lines)


#: Statuses whose responses have neither a body nor a Content-Length.
_STATUSES_WITHOUT_LENGTH = frozenset((http.HTTPStatus.NO_CONTENT,))


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'


def refusal(
    status: int,
    text: str,
    retry_after_s: float | None = None,
) -> ClientResponse:
    """Return an error response of the gateway itself, with ``text`` as body.

    ``retry_after_s``, in seconds, becomes the Retry-After header field.
    """
    fields = [(b'Content-Type', b'text/plain')]
    if retry_after_s is not None:
        fields.append((b'Retry-After', b'%.2f' % retry_after_s))
    return ClientResponse(status, fields, f'{text}\n'.encode(), reason=text)
