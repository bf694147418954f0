"""An HTTP/1.1 client connection that carries one exchange at a time."""

import asyncio
from collections.abc import Callable

import httptools

from chivepond.gateway import (
    header_list,
    outcome,
    reply_buffers,
    reply_start,
    transfer,
)
from chivepond.transport import reply_head

#: The largest response body that is buffered, in bytes; a small host has the
#: memory for a few dozen of them at a time.
_MAX_REPLY_BYTES = 4194304
#: Limits on everything else that a receiver may send for one request: the
#: bytes of one head or trailer, the bytes that frame a body, and the number of
#: interim replies and of replies to other requests.
_MAX_HEAD_BYTES = 65536
_MAX_FRAMING_BYTES = 131072
_MAX_SKIPPED_REPLIES = 16
#: Chunks that may be smaller than ``_MIN_CHUNK_BYTES`` on average.
_MAX_SMALL_CHUNKS = 4096
_MIN_CHUNK_BYTES = 64
_LONG_HEAD = 'a reply with a longer head than is held'
_LONG_BODY = 'a reply larger than is held'
#: Bytes that frame a header field: a colon, a space and CR LF.
_FIELD_OVERHEAD_BYTES = 4


class _ReplyAbortedError(Exception):
    """Stops the parser within the bytes that it was given; tells why."""


class HttpConnection(asyncio.Protocol):
    """Sends a request and returns its outcome; never mixes up replies.

    Guards against a client that gets the answer to another request: a reply
    that arrives late or twice shows up as bytes on an idle connection, which
    abort the connection, or as a reply with another request's identifier,
    which is skipped.

    Guards also against replies that never end, and against replies outside the
    protocol: what exceeds the limit of a part, or is no valid head, aborts the
    connection, and the outcome is that of a request without a reply.
    """

    __slots__ = (
        '_body',
        '_buffers',
        '_chunks',
        '_ends_with_connection',
        '_expected_id',
        '_field_bytes',
        '_framing_bytes',
        '_head_bytes',
        '_headers',
        '_id_header',
        '_is_reading_head',
        '_is_head',
        '_last_id',
        '_on_closed',
        '_parser',
        '_pending',
        '_size',
        '_skipped_replies',
        '_phrase',
        '_start',
        '_transfer',
        '_transport',
        'closes_after',
        'idle_since',
    )

    def __init__(
        self,
        id_header: bytes,
        on_closed: Callable[['HttpConnection'], None],
        buffers: reply_buffers.ReplyBuffers | None = None,
    ) -> None:
        """Match replies by ``id_header``; call ``on_closed`` once closed.

        Replies in progress are counted in ``buffers``.
        """
        self._buffers = buffers
        self._start = reply_start.ReplyStart()
        self._framing_bytes = 0
        self._skipped_replies = 0
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
        self._framing_bytes = 0
        self._skipped_replies = 0
        self._expect_reply()
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
        self._framing_bytes += len(chunk)
        if self._is_reading_head:
            self._head_bytes += len(chunk)
        try:
            self._feed(chunk)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            _ReplyAbortedError,
        ) as error:
            self.drop_reply(_reason(error))

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

    def drop_reply(self, reason: str) -> None:
        """Drop the reply in progress, which is not valid or not held."""
        self._resolve(outcome.Broken(reason, is_aborted=True))
        self.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the reply."""
        self._start.begin()
        self._headers = header_list.HeaderList()
        self._phrase = b''
        self._body = bytearray()
        self._size = 0
        self._chunks = 0
        self._is_reading_head = True
        self._head_bytes = 0
        self._field_bytes = 0
        self._ends_with_connection = False

    def on_status(self, phrase: bytes) -> None:
        """Add bytes of the reason phrase."""
        self._phrase += phrase

    def on_header(self, name: bytes, field_value: bytes) -> None:
        """Add one header field; skip those of a trailer."""
        self._field_bytes += len(name) + len(field_value)
        self._field_bytes += _FIELD_OVERHEAD_BYTES
        if self._field_bytes > _MAX_HEAD_BYTES:
            raise _ReplyAbortedError(_LONG_HEAD)
        if self._is_reading_head:
            self._headers.add(name, field_value)

    def on_headers_complete(self) -> None:
        """Check the head, and determine how the body is delimited."""
        self._is_reading_head = False
        head = reply_head.ReplyHead(
            self._parser.get_http_version(),
            self._parser.get_status_code(),
            self._headers.pairs,
            self._phrase,
        )
        fault = head.find_fault()
        if fault:
            raise _ReplyAbortedError(fault)
        if self._is_head and not head.is_interim:
            self.closes_after = True
            self._complete()
            return
        stated_length = self._headers.get(b'content-length')
        has_length = stated_length is not None
        is_chunked = self._headers.get(b'transfer-encoding') is not None
        if not head.has_no_body and int(stated_length or 0) > _MAX_REPLY_BYTES:
            raise _ReplyAbortedError(_LONG_BODY)
        self._ends_with_connection = not (
            has_length or is_chunked or head.has_no_body
        )
        if not self._parser.should_keep_alive():
            self.closes_after = True

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body, within the size limit."""
        self._size += len(chunk)
        self._framing_bytes -= len(chunk)
        if self._size > _MAX_REPLY_BYTES:
            raise _ReplyAbortedError(_LONG_BODY)
        if self._pending is None:
            return
        self._body += chunk
        if (
            self._buffers is not None
            and self._size > reply_buffers.UNCOUNTED_BYTES
        ):
            self._buffers.add(self, len(chunk))

    def on_chunk_header(self) -> None:
        """Count a chunk of the body; many small ones occupy the loop."""
        self._chunks += 1
        if self._chunks > _MAX_SMALL_CHUNKS + self._size // _MIN_CHUNK_BYTES:
            raise _ReplyAbortedError('a reply in too many small chunks')

    def on_message_complete(self) -> None:
        """Deliver the reply; skip informational responses."""
        if reply_head.is_interim(self._parser.get_status_code()):
            self._skip_reply()
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
            self._skip_reply()
            return
        self._resolve(
            outcome.Reply(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=bytes(self._body),
            ),
        )

    def _skip_reply(self) -> None:
        self._expect_reply()
        self._skipped_replies += 1
        if self._skipped_replies > _MAX_SKIPPED_REPLIES:
            raise _ReplyAbortedError('too many replies to no request')

    def _expect_reply(self) -> None:
        self._is_reading_head = True
        self._head_bytes = 0
        self._start = reply_start.ReplyStart()

    def _feed(self, chunk: bytes) -> None:
        if not self._start.is_valid_with(chunk):
            raise _ReplyAbortedError(
                'bytes that are no reply: another protocol'
            )
        self._parser.feed_data(chunk)
        if self._pending is None:
            return
        if self._is_reading_head and self._head_bytes > _MAX_HEAD_BYTES:
            raise _ReplyAbortedError(_LONG_HEAD)
        if self._framing_bytes > _MAX_FRAMING_BYTES + self._size:
            raise _ReplyAbortedError(
                'a reply with more framing than is accepted'
            )

    def _resolve(self, exchange_outcome: outcome.Outcome) -> None:
        pending = self._pending
        self._pending = None
        self._transfer = None
        # The parser and the connection refer to each other, so that a dropped
        # body would stay in memory until the garbage collector runs.
        self._body = bytearray()
        if self._buffers is not None:
            self._buffers.release(self)
        self.idle_since = asyncio.get_running_loop().time()
        if pending is not None and not pending.done():
            pending.set_result(exchange_outcome)


def _reason(error: Exception) -> str:
    """Return why parsing stopped; the parser wraps errors of callbacks."""
    for cause in (error, error.__context__):
        match cause:
            case _ReplyAbortedError():
                return str(cause)
    return f'bytes that are no reply: {error}'
