"""Messages with which a gateway forwards a request through another one."""

import msgspec


class ForwardRequest(msgspec.Struct, array_like=True):
    """A client's request for one service, with the settings of its route."""

    request_id: bytes
    #: Request line and header fields, as sent to searchers.
    head: bytes
    body: bytes
    is_head: bool
    route: str
    service: str
    is_idempotent: bool
    max_attempts: int
    #: Seconds until the client stops waiting.
    left_s: float
    target_latency_s: float


class ForwardedResponse(msgspec.Struct, array_like=True):
    """The complete response of a searcher."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ForwardReply(msgspec.Struct, array_like=True):
    """The searcher's response, or why there is none."""

    response: ForwardedResponse | None
    reason: str = ''
    #: Whether a searcher may have run the request without a response.
    may_have_run: bool = False
