"""The server side of a client connection, with limits on requests."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import httptools

from chivepond.gateway import (
    client_request,
    client_response,
    header_list,
    routing_table,
    tcp_round_trip,
)

#: Queued pipelined requests above which reading from the socket pauses.
_MAX_PIPELINED_REQUESTS = 8
#: Round trip assumed where the kernel reports none, in seconds.
_DEFAULT_ROUND_TRIP_S = 0.002
#: Bytes that frame a header field: a colon, a space and CR LF.
_FIELD_OVERHEAD_BYTES = 4
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_CONTENT_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


Serve = Callable[
    [client_request.ClientRequest], Awaitable[client_response.ClientResponse]
]


@dataclasses.dataclass(slots=True)
class Service:
    """The request callback and the limits of client connections."""

    serve: Serve
    limits: Callable[[], routing_table.ClientLimits]
    is_stopping: Callable[[], bool]
    #: Connections above this number are reset before any byte is read.
    max_connections: int = 1000
    #: Overrides the idle time-out of the limits, in seconds.
    idle_timeout_s: float | None = None

    @property
    def longest_idle_s(self) -> float:
        """The idle time-out of a connection, in seconds."""
        return self.idle_timeout_s or self.limits().idle_timeout_s


class ClientConnection(asyncio.Protocol):
    """Parses HTTP/1.1 requests and writes the responses in the same order."""

    __slots__ = (
        '_body',
        '_received_at',
        '_connections',
        '_unparsed_bytes',
        '_headers',
        '_is_receiving',
        '_is_blocked',
        '_is_first_request',
        '_loop',
        '_parser',
        '_parsed_head_bytes',
        '_is_refused',
        '_service',
        '_target',
        '_timer',
        '_transport',
        '_queued_requests',
        'current_task',
    )

    def __init__(
        self,
        service: Service,
        connections: set['ClientConnection'],
    ) -> None:
        """Add the connection to ``connections`` while it is open."""
        self._service = service
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queued_requests: list[client_request.ClientRequest] = []
        #: The task that serves the current request; ``None`` while idle.
        self.current_task: asyncio.Task[None] | None = None
        self._is_refused = False
        #: Whether no request has been read on this connection yet.
        self._is_first_request = True
        self._is_blocked = False
        self._unparsed_bytes = 0
        self._is_receiving = False
        self.on_message_begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer, or reset a connection above the maximum."""
        self._transport = transport
        if len(self._connections) >= self._service.max_connections:
            transport.abort()
            return
        self._connections.add(self)
        self._start_timer(self._service.longest_idle_s)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the current request and drop queued ones."""
        self._connections.discard(self)
        self._stop_timer()
        self._queued_requests.clear()
        if self.current_task is not None:
            self.current_task.cancel()

    def pause_writing(self) -> None:
        """Start no further request while the write buffer is full.

        Guards against a client that sends requests and never reads: its
        responses would use memory without bound.
        """
        self._is_blocked = True

    def resume_writing(self) -> None:
        """Serve the next queued request."""
        self._is_blocked = False
        self._serve_next()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self.current_task is None and not self._is_receiving:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def data_received(self, chunk: bytes) -> None:
        """Feed received bytes to the parser; reject malformed requests."""
        if self._is_refused:
            return
        if not self._is_receiving and self.current_task is None:
            self._start_receiving()
        self._unparsed_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported. The request is answered as
            # if it had not offered one, and the connection is then closed.
            self._is_refused = True
        except httptools.HttpParserError:
            self._refuse(_BAD_REQUEST, 'malformed HTTP request')
        else:
            self._check_received_bytes()

    # The parser calls the methods from here to `on_message_complete`.

    def on_message_begin(self) -> None:
        """Reset the state of the request that is being parsed."""
        self._headers = header_list.HeaderList()
        self._target = b''
        self._body = bytearray()
        self._parsed_head_bytes = 0
        self._received_at = self._loop.time()

    def on_url(self, chunk: bytes) -> None:
        """Append bytes to the request target (path and query)."""
        self._target += chunk
        self._count_head_bytes(len(chunk))

    def on_header(self, name: bytes, field_value: bytes) -> None:
        """Add a header field."""
        self._headers.add(name, field_value)
        self._count_head_bytes(
            len(name) + len(field_value) + _FIELD_OVERHEAD_BYTES
        )

    def on_headers_complete(self) -> None:
        """Check the stated body length; reply to ``Expect: 100-continue``."""
        self._unparsed_bytes = 0
        if self._is_refused:
            return
        stated_length = self._headers.get(b'content-length') or b'0'
        if int(stated_length) > self._service.limits().body_bytes:
            self._refuse(
                _CONTENT_TOO_LARGE, 'request body exceeds the size limit'
            )
        elif self._headers.get(b'expect') is not None:
            self._transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Append bytes to the body; refuse a body above the size limit."""
        self._unparsed_bytes = 0
        self._body += chunk
        if len(self._body) > self._service.limits().body_bytes:
            self._refuse(
                _CONTENT_TOO_LARGE, 'request body exceeds the size limit'
            )

    def on_message_complete(self) -> None:
        """Queue the complete request, and serve it if none is in progress."""
        self._is_receiving = False
        self._unparsed_bytes = 0
        if self._is_refused:
            return
        self._queued_requests.append(
            client_request.ClientRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                received_at=self._received_at,
                is_kept_alive=self._parser.should_keep_alive(),
                network_delay_s=self._network_delay_s(),
            ),
        )
        if len(self._queued_requests) > _MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        self._serve_next()

    def _network_delay_s(self) -> float:
        """Return the network delay of a request and its response, in seconds.

        The first request of a connection also waits for the TCP handshake,
        which is one more round trip.
        """
        round_trip_s = tcp_round_trip.seconds(
            self._transport, _DEFAULT_ROUND_TRIP_S
        )
        round_trips = 2 if self._is_first_request else 1
        self._is_first_request = False
        return round_trips * round_trip_s

    def _start_receiving(self) -> None:
        self._is_receiving = True
        self._received_at = self._loop.time()
        self._start_timer(self._service.limits().header_timeout_s)

    def _count_head_bytes(self, size: int) -> None:
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._service.limits().header_bytes:
            self._refuse(
                _HEADERS_TOO_LARGE, 'request header exceeds the size limit'
            )

    def _check_received_bytes(self) -> None:
        is_long = self._unparsed_bytes > self._service.limits().header_bytes
        if is_long and self._is_receiving:
            self._refuse(
                _HEADERS_TOO_LARGE, 'request header exceeds the size limit'
            )

    def _serve_next(self) -> None:
        is_busy = self.current_task is not None or self._is_blocked
        if is_busy or not self._queued_requests:
            return
        self._stop_timer()
        request = self._queued_requests.pop(0)
        self._transport.resume_reading()
        self.current_task = self._loop.create_task(self._serve_request(request))

    async def _serve_request(
        self, request: client_request.ClientRequest
    ) -> None:
        response = await self._service.serve(request)
        self.current_task = None
        is_closing = self._service.is_stopping() and not self._queued_requests
        keep_alive = request.is_kept_alive and not is_closing
        self._transport.write(
            response.encode(
                keep_alive=keep_alive,
                has_body=request.method != b'HEAD',
            ),
        )
        if not keep_alive or response.is_last or self._is_refused:
            self._transport.close()
            return
        self._start_timer(self._service.longest_idle_s)
        self._serve_next()

    def _refuse(self, status: int, text: str) -> None:
        if self._is_refused:
            return
        self._is_refused = True
        if self.current_task is not None:
            # The response to the current request is written first; then
            # the connection is closed.
            self._queued_requests.clear()
            return
        response = client_response.refusal(status, text)
        response.is_last = True
        self._transport.write(response.encode(keep_alive=False, has_body=True))
        self._transport.close()

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._is_receiving:
            self._refuse(
                _REQUEST_TIMEOUT, 'request was not received in full in time'
            )
            return
        self._transport.close()
