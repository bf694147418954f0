"""A client request in the form that searchers receive."""

from collections.abc import Callable
from typing import Self

from chivepond.decisions import crash_evidence
from chivepond.gateway import client_request, outcome, request_fingerprint
from chivepond.platform import headers

_MS_PER_S = 1000
_MISDIRECTED = 421
_REPLACED_FIELDS = (
    b'content-length',
    headers.TIME_LEFT_MS,
    headers.EXPECTED_SEARCHER,
)


class ForwardedRequest:
    """The original method, path and body, with header fields of this hop."""

    __slots__ = (
        '_fingerprint',
        '_unresolved',
        'body',
        'evidence',
        'head',
        'is_head',
        'is_long_poll',
        'is_repeatable',
        'may_get_two_replies',
        'has_crash_check',
        'on_disconnect',
        'on_reply',
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
        """Store the request.

        ``head`` is the request line and the header fields that are the same
        for each searcher. ``is_repeatable`` tells whether the request may run
        again after a broken connection.
        """
        self.is_repeatable = is_repeatable
        self.request_id = request_id
        self.head = head
        self.body = body
        self.is_head = is_head
        self.is_long_poll = False
        self.may_get_two_replies = True
        self.progress = None
        #: Replies and disconnects of the searchers that received the request.
        self.evidence = crash_evidence.Evidence()
        #: Called when a searcher ends its connection, unless the crash check
        #: of an earlier disconnect still runs (``has_crash_check``).
        self.on_disconnect: Callable[[Self], None] | None = None
        self.has_crash_check = False
        #: Called at the first reply of a searcher that ran the request.
        self.on_reply: Callable[[Self], None] | None = None
        self._fingerprint = ''
        #: Receivers that were sent the request and have not reported that it
        #: did not run.
        self._unresolved: set[str] = set()

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher has run the request, or may still run it."""
        return bool(self._unresolved)

    def is_unresolved(self, receiver: str) -> bool:
        """Tell whether a receiver may have run the request."""
        return receiver in self._unresolved

    def mark_sent(self, receiver: str) -> None:
        """Record that bytes of the request go to a receiver."""
        self._unresolved.add(receiver)

    def mark_not_run(self, receiver: str) -> None:
        """Record the report of a receiver that it did not run the request."""
        self._unresolved.discard(receiver)

    @property
    def fingerprint(self) -> str:
        """A digest that is the same for requests that differ by ID only."""
        if not self._fingerprint:
            self._fingerprint = request_fingerprint.of(self.head, self.body)
        return self._fingerprint

    @classmethod
    def of(
        cls,
        request: client_request.ClientRequest,
        *,
        is_repeatable: bool,
    ) -> Self:
        """Return the forwarded form of a client request."""
        lines = [b'%s %s HTTP/1.1\r\n' % (request.method, request.target)]
        lines.extend(
            b'%s: %s\r\n' % pair
            for pair in request.headers.end_to_end(_REPLACED_FIELDS)
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

    def observe(self, receiver: str, exchange_outcome: outcome.Outcome) -> None:
        """Record the outcome of an exchange with a searcher."""
        match exchange_outcome:
            case outcome.Broken(is_disconnect=True):
                self.evidence.disconnected(receiver)
                self._report_disconnect()
            case outcome.Reply() if _was_not_run(exchange_outcome):
                self.mark_not_run(receiver)
            case outcome.Reply():
                self._record_reply()

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes for one searcher, which has ``left_s`` seconds."""
        self.mark_sent(receiver)
        return b''.join(
            (
                self.head,
                b'%s: %s\r\n' % (headers.EXPECTED_SEARCHER, receiver.encode()),
                b'%s: %d\r\n\r\n' % (headers.TIME_LEFT_MS, left_s * _MS_PER_S),
                self.body,
            ),
        )

    def _record_reply(self) -> None:
        if self.on_reply is not None and not self.evidence.has_reply:
            self.on_reply(self)
        self.evidence.has_reply = True

    def _report_disconnect(self) -> None:
        if self.on_disconnect is not None and not self.has_crash_check:
            self.has_crash_check = True
            self.on_disconnect(self)


def _was_not_run(reply: outcome.Reply) -> bool:
    is_not_run = reply.headers.get(headers.NOT_RUN) is not None
    return is_not_run or reply.status == _MISDIRECTED
