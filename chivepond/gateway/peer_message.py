"""Encodes requests between gateways as HTTP."""

import asyncio
import itertools

import msgspec

from chivepond.gateway import forwarded_request, outcome, transfer
from chivepond.platform import headers
from chivepond.wire import forward_request, gather_request
from chivepond.wire import sync_message as sync_messages

GATHER_PATH = b'/v1/gather'
MORE_PATH = b'/v1/gather/more'
SYNC_PATH = b'/v1/news'
FORWARD_PATH = b'/v1/forward'
#: How long a pending search is retained after its reply is due, in seconds. In
#: this time the other gateway can request the reply again, also after its
#: connection ended, or ask for more; it covers the round trip between any two
#: gateways. After it the requests to searchers are cancelled.
RETENTION_S = 0.3

_OK = 200
_sync_numbers = itertools.count(1)


class PeerMessage:
    """A request to another gateway; its reply has the same identifier."""

    __slots__ = (
        '_body',
        '_path',
        'is_head',
        'is_long_poll',
        'is_repeatable',
        'may_get_two_replies',
        'progress',
        'request_id',
    )

    def __init__(self, path: bytes, request_id: bytes, body: bytes) -> None:
        """Post ``body`` to ``path``."""
        self._path = path
        self._body = body
        self.request_id = request_id
        self.is_head = False
        self.is_long_poll = False
        self.is_repeatable = True
        self.may_get_two_replies = False
        self.progress: transfer.Transfer | None = None

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes, with the receiver's name in the Host header."""
        return b'POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n%s' % (
            self._path,
            receiver.encode(),
            headers.REQUEST_ID,
            self.request_id,
            b'Content-Length',
            len(self._body),
            self._body,
        )

    def observe(self, receiver: str, ended: outcome.Outcome) -> None:
        """Ignore the outcome: the sender of the message processes it."""


class GatherMessage(PeerMessage):
    """The request for a gather, with the identifier of the client's request.

    The time left for the reply is computed when the request is sent, as
    opening a connection may have used up some of it.
    """

    __slots__ = ('_due_at', '_origin', '_request', 'sent_at')

    def __init__(
        self,
        request: gather_request.GatherRequest,
        due_at: float,
        origin: forwarded_request.ForwardedRequest | None = None,
    ) -> None:
        """Request a reply by ``due_at``, in seconds on the loop's clock.

        The client's request ``origin`` records when this one is sent.
        """
        super().__init__(GATHER_PATH, request.request_id, b'')
        self._request = request
        self._origin = origin
        self._due_at = due_at
        #: When it was sent, in seconds on the loop's clock; zero before that.
        self.sent_at: float = 0

    def is_retained(self, now: float) -> bool:
        """Tell whether the receiver still retains the search if it got it."""
        due_in_s = max(0, self._request.answer_in_s)
        return not self.sent_at or now < self.sent_at + due_in_s + RETENTION_S

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes, with the time left as of now."""
        if self._origin is not None:
            self._origin.mark_sent(self._request.gather_id.hex())
        self.sent_at = asyncio.get_running_loop().time()
        self._request.answer_in_s = self._due_at - self.sent_at
        self._body = msgspec.msgpack.encode(self._request)
        return super().encode(receiver, left_s)


class ForwardMessage(PeerMessage):
    """A request for another gateway to forward to a searcher."""

    __slots__ = ('_origin',)

    def __init__(
        self,
        request: forward_request.ForwardRequest,
        origin: forwarded_request.ForwardedRequest,
    ) -> None:
        """Forward ``origin``, which learns when the request is sent."""
        super().__init__(
            FORWARD_PATH,
            request.request_id,
            msgspec.msgpack.encode(request),
        )
        self._origin = origin
        self.is_repeatable = origin.is_repeatable

    def encode(self, receiver: str, left_s: float) -> bytes:
        """Return the bytes, and record that they are sent."""
        self._origin.mark_sent(receiver)
        return super().encode(receiver, left_s)

    def observe(self, receiver: str, ended: outcome.Outcome) -> None:
        """Record that a gateway that refused the request did not run it."""
        match ended:
            case outcome.Reply(status=status) if status != _OK:
                self._origin.mark_not_run(receiver)


def remaining_parts_message(
    request_id: bytes, *, has_reply: bool, gather_id: bytes = b''
) -> PeerMessage:
    """Return the request for the remaining results, or for a lost reply.

    ``has_reply`` tells whether a first reply was received.
    """
    request = gather_request.MoreRequest(request_id, has_reply, gather_id)
    message = PeerMessage(
        MORE_PATH, request_id, msgspec.msgpack.encode(request)
    )
    message.is_long_poll = has_reply
    return message


def sync_message(request: sync_messages.SyncRequest) -> PeerMessage:
    """Return the long-poll request for updates of the store's objects."""
    request_id = b'sync-%d' % next(_sync_numbers)
    message = PeerMessage(
        SYNC_PATH, request_id, msgspec.msgpack.encode(request)
    )
    message.is_long_poll = True
    message.progress = transfer.Transfer()
    return message
