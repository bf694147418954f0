"""An HTTP/1.1 client connection that carries one exchange at a time."""

import asyncio
from collections.abc import Callable

import httptools

from chivepond.gateway import header_list, outcome, transfer

#: The largest response body that is buffered, in bytes; a small host has the
#: memory for a few dozen of them at a time.
_MAX_REPLY_BYTES = 4194304
_NO_BODY = frozenset((204, 304))
_INFORMATIONAL = range(100, 200)  # noqa: WPS432
_SWITCHING_PROTOCOLS = 101


class HttpConnection(asyncio.Protocol):
    """Sends a request and returns its outcome; never mixes up replies.

    Guards against a client that gets the answer to another request: a reply
    that arrives late or twice shows up as bytes on an idle connection, which
    abort the connection, or as a reply with another request's identifier,
    which is skipped.
    """

    __slots__ = (
        '_body',
        '_ends_with_connection',
        '_expected_id',
        '_headers',
        '_id_header',
        '_is_head',
        '_last_id',
        '_on_closed',
        '_parser',
        '_pending',
        '_size',
        '_transfer',
        '_transport',
        'closes_after',
        'idle_since',
    )

    def __init__(
        self,
        id_header: bytes,
        on_closed: Callable[['HttpConnection'], None],
    ) -> None:
        """Match replies by ``id_header``; call ``on_closed`` once closed."""
        self._id_header = id_header
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[outcome.Outcome] | None = None
        self._transfer: transfer.Transfer | None = None
        self._expected_id = b''
        self._last_id = b''
        self._is_head = False
        #: Whether the connection can carry no further exchange.
        self.closes_after = False
        #: When the last exchange ended, in seconds on the loop's clock.
        self.idle_since: float = 0
        self._parser = httptools.HttpResponseParser(self)
        self.on_message_begin()

    @property
    def is_open(self) -> bool:
        """Whether the connection is idle and can carry another exchange."""
        if not self.is_connected or self.closes_after:
            return False
        return self._pending is None

    @property
    def is_connected(self) -> bool:
        """Whether the transport is connected and not closing."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def may_confuse(self, request_id: bytes) -> bool:
        """Tell whether a repeated reply could pass for that to a request.

        The previous request had the same identifier, and its reply may still
        arrive a second time.
        """
        return bool(request_id) and self._last_id == request_id

    def begin(
        self,
        message: bytes,
        expected_id: bytes,
        *,
        is_head: bool = False,
        progress: transfer.Transfer | None = None,
    ) -> asyncio.Future[outcome.Outcome]:
        """Send a request; the future holds its outcome and never raises.

        With an empty ``expected_id`` the first reply is accepted. The received
        bytes are counted by ``progress``.
        """
        pending = asyncio.get_running_loop().create_future()
        self._pending = pending
        self._expected_id = expected_id
        self._last_id = expected_id
        self._is_head = is_head
        self._transfer = progress
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(message)
        return pending

    def abort(self) -> None:
        """Drop the connection at once, without sending buffered bytes."""
        self.closes_after = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after sending buffered bytes."""
        self.closes_after = True
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of a reply; abort on bytes without a request."""
        if self._pending is None:
            self.abort()
            return
        if self._transfer is not None:
            self._transfer.add_received(len(chunk))
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('bytes that are no reply')

    def eof_received(self) -> bool:
        """Complete a reply that is delimited by the end of the connection."""
        if self._pending is not None and self._ends_with_connection:
            self.closes_after = True
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending exchange: a reset does not complete its reply."""
        self.closes_after = True
        self._resolve(
            outcome.Broken(
                'connection ended before the reply', is_disconnect=True
            ),
        )
        self._on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the reply."""
        self._headers = header_list.HeaderList()
        self._body: list[bytes] = []
        self._size = 0
        self._ends_with_connection = False

    def on_header(self, name: bytes, field_value: bytes) -> None:
        """Add one header field."""
        self._headers.add(name, field_value)

    def on_headers_complete(self) -> None:
        """Determine how the body of the reply is delimited."""
        status = self._parser.get_status_code()
        if self._is_head and status not in _INFORMATIONAL:
            self.closes_after = True
            self._complete()
            return
        has_length = self._headers.get(b'content-length') is not None
        is_chunked = self._headers.get(b'transfer-encoding') is not None
        has_no_body = status in _NO_BODY or status in _INFORMATIONAL
        self._ends_with_connection = not (
            has_length or is_chunked or has_no_body
        )
        if not self._parser.should_keep_alive():
            self.closes_after = True

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body, within the size limit."""
        self._size += len(chunk)
        if self._size > _MAX_REPLY_BYTES:
            self._fail('a reply larger than is held')
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Deliver the reply; skip informational responses."""
        status = self._parser.get_status_code()
        if status in _INFORMATIONAL and status != _SWITCHING_PROTOCOLS:
            return
        if not self._ends_with_connection:
            self._complete()

    def _complete(self) -> None:
        if self._pending is None:
            # A second reply arrived in the same bytes as the first.
            self.closes_after = True
            return
        reply_id = self._headers.get(self._id_header)
        if self._expected_id and reply_id not in {None, self._expected_id}:
            return
        self._resolve(
            outcome.Reply(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=b''.join(self._body),
            ),
        )

    def _fail(self, reason: str) -> None:
        self._resolve(outcome.Broken(reason))
        self.abort()

    def _resolve(self, exchange_outcome: outcome.Outcome) -> None:
        pending = self._pending
        self._pending = None
        self._transfer = None
        self.idle_since = asyncio.get_running_loop().time()
        if pending is not None and not pending.done():
            pending.set_result(exchange_outcome)
