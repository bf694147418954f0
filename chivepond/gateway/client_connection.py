"""The server side of a client connection, with limits on requests."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from chivepond.gateway import (
    client_request,
    client_response,
    network_delay,
    request_reader,
    routing_table,
)
from chivepond.transport import bounded_connection, request_memory

#: Queued pipelined requests, and their bytes, above which no more are parsed.
_MAX_PIPELINED_REQUESTS = 8
_MAX_PIPELINED_BYTES = 65536
_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503
#: When clients may return that were refused for want of memory, in seconds.
_MEMORY_RETRY_AFTER_S = 0.5
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
    #: The memory of requests and responses, which all listeners share.
    memory: request_memory.RequestMemory
    #: Connections above this number are reset before any byte is read.
    max_connections: int = 1000
    #: Bytes of a connection that may lie unread in the kernel, which uses up
    #: to twice as much.
    receive_buffer_bytes: int = 65536
    #: Overrides the idle time-out of the limits, in seconds.
    idle_timeout_s: float | None = None

    @property
    def longest_idle_s(self) -> float:
        """The idle time-out of a connection, in seconds."""
        return self.idle_timeout_s or self.limits().idle_timeout_s


class ClientConnection(asyncio.Protocol):
    """Queues requests, and writes the responses in the same order."""

    __slots__ = (
        '_connection',
        '_connections',
        '_is_blocked',
        '_is_refused',
        '_loop',
        '_network_delay',
        '_queued_bytes',
        '_queued_requests',
        '_reader',
        '_served_bytes',
        '_service',
        '_timer',
        '_transport',
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
        self._connection: bounded_connection.BoundedConnection
        self._loop = asyncio.get_running_loop()
        self._reader = request_reader.RequestReader(self, service.limits)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queued_requests: list[client_request.ClientRequest] = []
        self._queued_bytes = 0
        #: The memory of the request that is being served.
        self._served_bytes = 0
        #: The task that serves the current request; ``None`` while idle.
        self.current_task: asyncio.Task[None] | None = None
        self._is_refused = False
        self._network_delay = network_delay.NetworkDelay()
        self._is_blocked = False

    def attach(self, connection: bounded_connection.BoundedConnection) -> None:
        """Take the connection that requests are read from."""
        self._connection = connection

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
        self._drop_unserved()
        if self.current_task is not None:
            self.current_task.cancel()

    def pause_writing(self) -> None:
        """Start no further request while a response is not sent.

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
        is_serving = self.current_task is not None or self._has_unserved
        if not is_serving and not self._reader.is_receiving:
            self._connection.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def holding(self) -> request_memory.Holding:
        """Return the memory of all requests, and of those not served yet."""
        freeable = self._reader.held_bytes + self._queued_bytes
        return request_memory.Holding(freeable + self._served_bytes, freeable)

    def refuse_for_memory(self) -> None:
        """Refuse all requests that are not being served."""
        self.refuse(_UNAVAILABLE, 'the memory for requests is used up')

    def data_received(self, piece: bytes) -> None:
        """Parse received bytes."""
        self._reader.read_at = self._connection.read_at
        self._reader.feed(piece)

    # The reader calls the methods from here to `refuse`.

    def on_begin(self) -> None:
        """Limit the time in which a request arrives."""
        self._start_timer(self._service.limits().header_timeout_s)

    def on_expect(self) -> None:
        """Let the client send the body of the request."""
        self._transport.write(_CONTINUE)

    def on_request(self, request: client_request.ClientRequest) -> None:
        """Queue a complete request, and serve it if none is in progress."""
        self._stop_timer()
        request.network_delay_s = self._network_delay.next_s(self._transport)
        self._queued_requests.append(request)
        self._queued_bytes += request.held_bytes
        self._serve_next()
        self._update_reading()

    def refuse(self, status: int, text: str) -> None:
        """Answer the next request with ``status``, and close."""
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_timer()
        if self._queued_requests:
            # The client takes the response for that of the first of these.
            status = _UNAVAILABLE
        self._drop_unserved()
        if self.current_task is not None:
            # The response to the current request is written first; then
            # the connection is closed.
            return
        response = client_response.refusal(
            status,
            text,
            _MEMORY_RETRY_AFTER_S if status == _UNAVAILABLE else None,
        )
        response.is_last = True
        self._transport.write(response.encode(keep_alive=False, has_body=True))
        self._connection.finish()

    @property
    def _has_unserved(self) -> bool:
        return bool(self._queued_requests or self._connection.has_backlog)

    def _update_reading(self) -> None:
        """Parse no more while many requests wait."""
        is_many = len(self._queued_requests) > _MAX_PIPELINED_REQUESTS
        if is_many or self._queued_bytes > _MAX_PIPELINED_BYTES:
            self._connection.pause_reading()
        else:
            self._connection.resume_reading()

    def _serve_next(self) -> None:
        is_busy = self.current_task is not None or self._is_blocked
        if is_busy or not self._queued_requests:
            return
        request = self._queued_requests.pop(0)
        self._queued_bytes -= request.held_bytes
        # The body is also in the request to the searcher.
        self._served_bytes = request.held_bytes + len(request.body)
        self.current_task = self._loop.create_task(self._serve_request(request))
        self._update_reading()

    async def _serve_request(
        self, request: client_request.ClientRequest
    ) -> None:
        response = await self._service.serve(request)
        self.current_task = None
        self._served_bytes = 0
        is_closing = self._is_refused or (
            self._service.is_stopping() and not self._has_unserved
        )
        keep_alive = request.is_kept_alive and not is_closing
        self._transport.write(
            response.encode(
                keep_alive=keep_alive,
                has_body=request.method != b'HEAD',
            ),
        )
        if self._is_refused:
            self._connection.finish()
        elif keep_alive and not response.is_last:
            self._continue()
        else:
            self._connection.close()
        self._connection.update_holding()

    def _continue(self) -> None:
        """Serve the next request, or wait for it."""
        if not (self._reader.is_receiving or self._queued_requests):
            self._start_timer(self._service.longest_idle_s)
        self._serve_next()

    def _drop_unserved(self) -> None:
        self._queued_requests.clear()
        self._queued_bytes = 0
        self._reader.stop()

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        is_receiving = self._reader.is_receiving
        if is_receiving and self._connection.is_held_back:
            # The client is not late: the connection parses no more for now.
            self._start_timer(self._service.limits().header_timeout_s)
        elif is_receiving:
            self.refuse(
                _REQUEST_TIMEOUT, 'request was not received in full in time'
            )
        else:
            self._connection.close()
