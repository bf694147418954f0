"""Parses the requests of one client connection, within the limits."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import httptools

from chivepond.gateway import client_request, header_list, routing_table

#: Bytes that frame a header field: a colon, a space and CR LF.
_FIELD_OVERHEAD_BYTES = 4
#: What a request and one of its fields use beside their bytes, in bytes.
_REQUEST_OBJECT_BYTES = 1024
_FIELD_OBJECT_BYTES = 300
_BAD_REQUEST = 400
_CONTENT_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_TOO_LONG_BODY = 'request body exceeds the size limit'
_TOO_LONG_HEAD = 'request header exceeds the size limit'


class RequestSink(Protocol):
    """Takes the requests of a connection."""

    def on_begin(self) -> None:
        """Start to wait for a request."""

    def on_expect(self) -> None:
        """Let the client send the body of the request."""

    def on_request(self, request: client_request.ClientRequest) -> None:
        """Take a request that was received in full."""

    def refuse(self, status: int, text: str) -> None:
        """Refuse the request that is being received."""


class RequestReader:
    """Feeds a parser, and builds a request from what it reports."""

    __slots__ = (
        '_body',
        '_headers',
        '_is_stopped',
        '_limits',
        '_loop',
        '_parsed_head_bytes',
        '_parser',
        '_received_at',
        '_sink',
        '_target',
        '_unparsed_bytes',
        'is_receiving',
        'read_at',
    )

    def __init__(
        self,
        sink: RequestSink,
        limits: Callable[[], routing_table.ClientLimits],
    ) -> None:
        """Report to ``sink``; wait for the first request."""
        self._sink = sink
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._unparsed_bytes = 0
        self._is_stopped = False
        #: Whether a request has begun and not ended.
        self.is_receiving = False
        #: When the bytes were read that are fed, on the monotonic clock.
        self.read_at: float = 0
        self._received_at: float = 0
        self._reset()

    @property
    def held_bytes(self) -> int:
        """The memory of the request that is being received, in bytes."""
        if self._is_stopped or not self.is_receiving:
            return 0
        field_bytes = _FIELD_OBJECT_BYTES * len(self._headers.pairs)
        head_bytes = self._parsed_head_bytes + field_bytes
        return _REQUEST_OBJECT_BYTES + head_bytes + len(self._body)

    def feed(self, piece: bytes) -> None:
        """Parse received bytes, unless ``stop`` was called."""
        if self._is_stopped:
            return
        self._unparsed_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported. The request is answered as
            # if it had not offered one, and the connection is then closed.
            self._sink.refuse(_BAD_REQUEST, 'protocol upgrades not supported')
        except httptools.HttpParserError:
            self._sink.refuse(_BAD_REQUEST, 'malformed HTTP request')
        else:
            self._check_unparsed_bytes()

    def stop(self) -> None:
        """Parse no more, and free the request that is being received."""
        self._is_stopped = True
        self._reset()

    # The parser calls the methods from here to `on_message_complete`.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.is_receiving = True
        self._received_at = self.read_at
        self._sink.on_begin()

    def on_url(self, chunk: bytes) -> None:
        """Append bytes to the request target (path and query)."""
        if self._is_stopped:
            return
        self._target += chunk
        self._count_head_bytes(len(chunk))

    def on_header(self, name: bytes, field_value: bytes) -> None:
        """Add a header field."""
        if self._is_stopped:
            return
        self._headers.add(name, field_value)
        self._count_head_bytes(
            len(name) + len(field_value) + _FIELD_OVERHEAD_BYTES
        )

    def on_headers_complete(self) -> None:
        """Check the stated body length; reply to ``Expect: 100-continue``."""
        self._unparsed_bytes = 0
        if self._is_stopped:
            return
        stated_length = self._headers.get(b'content-length') or b'0'
        if int(stated_length) > self._limits().body_bytes:
            self._sink.refuse(_CONTENT_TOO_LARGE, _TOO_LONG_BODY)
        elif self._headers.get(b'expect') is not None:
            self._sink.on_expect()

    def on_body(self, chunk: bytes) -> None:
        """Append bytes to the body; refuse a body above the size limit."""
        self._unparsed_bytes = 0
        if self._is_stopped:
            return
        self._body += chunk
        if len(self._body) > self._limits().body_bytes:
            self._sink.refuse(_CONTENT_TOO_LARGE, _TOO_LONG_BODY)

    def on_message_complete(self) -> None:
        """Hand over the complete request."""
        held_bytes = self.held_bytes
        self.is_receiving = False
        self._unparsed_bytes = 0
        if self._is_stopped:
            return
        request = client_request.ClientRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._received_at,
            is_kept_alive=self._parser.should_keep_alive(),
            held_bytes=held_bytes,
        )
        self._reset()
        self._sink.on_request(request)

    def _reset(self) -> None:
        self._headers = header_list.HeaderList()
        self._target = b''
        self._body = bytearray()
        self._parsed_head_bytes = 0

    def _count_head_bytes(self, size: int) -> None:
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._limits().header_bytes:
            self._sink.refuse(_HEADERS_TOO_LARGE, _TOO_LONG_HEAD)

    def _check_unparsed_bytes(self) -> None:
        is_long = self._unparsed_bytes > self._limits().header_bytes
        if is_long and self.is_receiving:
            self._sink.refuse(_HEADERS_TOO_LARGE, _TOO_LONG_HEAD)
