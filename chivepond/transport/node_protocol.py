"""The HTTP protocol of the nodes' servers, with limits on what clients send."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http import flow_control, httptools_impl

from chivepond.errors import invalid, not_run, problem, too_large
from chivepond.transport import (
    bodies,
    bounded_connection,
    replies,
    request_memory,
)

#: Maximum size of the request line and the header fields, in bytes.
MAX_HEAD_BYTES = 65536
#: Time within which a request must arrive whole, in seconds. The endpoints
#: answer a late body themselves, before this time has passed.
_ARRIVAL_S = 2 * bodies.ARRIVAL_S
#: Time until a connection without a request is closed, in seconds.
_IDLE_S = 75.0
#: Requests that wait for earlier ones, above which no more are parsed.
_MAX_PIPELINED_REQUESTS = 8
#: What a request and one of its fields use beside their bytes, in bytes.
_REQUEST_OBJECT_BYTES = 4096
_FIELD_OBJECT_BYTES = 200
_MEMORY_RETRY_AFTER_MS = 500
_REQUEST_TIMEOUT = 408
_HEADERS_TOO_LARGE = 431
_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class Limits:
    """What the connections of one server may use."""

    #: The memory of requests and responses, which all servers share.
    memory: request_memory.RequestMemory
    #: Connections above this number are reset.
    max_connections: int


class NodeProtocol(httptools_impl.HttpToolsProtocol):
    """Limits the size, the number and the arrival time of requests."""

    def __init__(self, limits: Limits, **uvicorn_state: Any) -> None:
        """Create the protocol of one connection."""
        super().__init__(**uvicorn_state)
        self._limits = limits
        self._connection: bounded_connection.BoundedConnection
        self._is_receiving = False
        self._is_in_head = False
        self._is_refused = False
        self._is_flow_paused = False
        self._head_bytes = 0
        #: The memory of each request without a complete response.
        self._unanswered_bytes: collections.deque[int] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None

    def attach(self, connection: bounded_connection.BoundedConnection) -> None:
        """Take the connection that requests are read from."""
        self._connection = connection

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start to wait, or reset a connection above the maximum."""
        if len(self.connections) >= self._limits.max_connections:
            self._is_refused = True
            transport.abort()
            return
        super().connection_made(transport)
        self.flow = flow_control.FlowControl(_Flow(self._set_flow))
        self._start_timer(_IDLE_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the application know, and drop queued requests."""
        self._stop_timer()
        self.pipeline.clear()
        if self.transport is not None:
            super().connection_lost(exc)

    def holding(self) -> request_memory.Holding:
        """Return the memory of all requests, and of those not served yet."""
        total = sum(self._unanswered_bytes)
        served = 0
        if self._unanswered_bytes and not self._is_only_receiving:
            served = self._unanswered_bytes[0]
        return request_memory.Holding(total, total - served)

    def refuse_for_memory(self) -> None:
        """Refuse all requests that are not being served."""
        self._refuse(
            not_run.NotRun(
                'the memory of this node for requests is used up',
                'send the request again later',
                _MEMORY_RETRY_AFTER_MS,
            ),
            _UNAVAILABLE,
        )

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes, unless the client was refused."""
        if self._is_refused:
            return
        super().data_received(data)
        if self._is_in_head:
            self._count_head_bytes(len(data))
        self._update_reading()

    def on_message_begin(self) -> None:
        """Start to receive a request."""
        super().on_message_begin()
        self._is_receiving = True
        self._is_in_head = True
        self._head_bytes = 0
        self._unanswered_bytes.append(_REQUEST_OBJECT_BYTES)
        self._start_timer(_ARRIVAL_S)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a header field."""
        super().on_header(name, value)
        self._unanswered_bytes[-1] += (
            len(name) + len(value) + _FIELD_OBJECT_BYTES
        )

    def on_headers_complete(self) -> None:
        """Start to serve the request, or queue it."""
        self._is_in_head = False
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        super().on_body(body)
        if not self.cycle.response_complete:
            # The endpoint joins the parts while it holds them.
            self._unanswered_bytes[-1] += 2 * len(body)

    def on_message_complete(self) -> None:
        """Stop waiting for the request."""
        self._is_receiving = False
        self._stop_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Free the request, and serve the next one."""
        self._unanswered_bytes.popleft()
        if self._is_refused:
            self._connection.finish()
        else:
            super().on_response_complete()
            self._update_reading()
        if self.transport.is_closing():
            self._connection.close()
        self._connection.update_holding()

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection."""
        self._connection.close()

    @property
    def _is_only_receiving(self) -> bool:
        """Whether the one request has not arrived whole."""
        return self._is_receiving and len(self._unanswered_bytes) == 1

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(
                too_large.TooLarge(
                    f'the request head is larger than {MAX_HEAD_BYTES} bytes',
                    'send fewer or shorter header fields',
                ),
                _HEADERS_TOO_LARGE,
            )

    def _set_flow(self, *, is_paused: bool) -> None:
        self._is_flow_paused = is_paused
        self._update_reading()

    def _update_reading(self) -> None:
        """Parse no more while many requests or parts of a body wait."""
        is_many = len(self.pipeline) > _MAX_PIPELINED_REQUESTS
        if self._is_flow_paused or is_many:
            self._connection.pause_reading()
        else:
            self._connection.resume_reading()

    def _refuse(self, error: problem.Problem, status: int) -> None:
        """Answer the request that arrives with ``status``, and close."""
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_timer()
        self.pipeline.clear()
        if self._is_only_receiving:
            self._write_refusal(error, status)
            self._connection.finish()
        elif not self._unanswered_bytes:
            self._connection.finish()

    def _write_refusal(self, error: problem.Problem, status: int) -> None:
        if not self._is_in_head:
            # The endpoint waits for the body.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
            if self.cycle.response_started:
                self.transport.abort()
                return
        response = replies.of_problem(error)
        fields = [
            b'%s: %s\r\n' % pair
            for pair in (*response.raw_headers, (b'connection', b'close'))
        ]
        self.transport.write(
            b''.join(
                (
                    httptools_impl.STATUS_LINE[status],
                    *fields,
                    b'\r\n',
                    response.body,
                )
            )
        )

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._connection.is_held_back:
            # The client is not late: the connection parses no more for now.
            self._start_timer(_ARRIVAL_S)
        elif self._is_receiving and self._unanswered_bytes:
            self._refuse(
                invalid.Invalid(
                    f'the request did not arrive within {_ARRIVAL_S} s',
                    'send the whole request without pauses',
                ),
                _REQUEST_TIMEOUT,
            )
        else:
            self._connection.close()


class _Flow:
    """Passes what uvicorn asks of a transport on to the protocol."""

    __slots__ = ('_set_flow',)

    def __init__(self, set_flow: Callable[..., None]) -> None:
        """Call ``set_flow`` with ``is_paused``."""
        self._set_flow = set_flow

    def pause_reading(self) -> None:
        """Parse no more."""
        self._set_flow(is_paused=True)

    def resume_reading(self) -> None:
        """Parse on."""
        self._set_flow(is_paused=False)


class ProtocolFactory:
    """Creates the protocol of each connection for uvicorn."""

    __slots__ = ('_bounds', '_limits')

    def __init__(self, limits: Limits) -> None:
        """Create protocols that share ``limits``."""
        self._limits = limits
        self._bounds = bounded_connection.Bounds(limits.memory, lambda: _IDLE_S)

    def __call__(
        self, **uvicorn_state: Any
    ) -> bounded_connection.BoundedConnection:
        """Return a protocol; takes what uvicorn passes to its own one."""
        protocol = NodeProtocol(self._limits, **uvicorn_state)
        return bounded_connection.BoundedConnection(protocol, self._bounds)
