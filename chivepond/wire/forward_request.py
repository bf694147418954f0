"""What a gateway asks another one to forward to a searcher."""

import msgspec


class ForwardRequest(msgspec.Struct, array_like=True):
    """A client's request for one service, with the rules of its route."""

    request_id: bytes
    #: The request line and the fields, as searchers get them.
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
    """A searcher's whole response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ForwardReply(msgspec.Struct, array_like=True):
    """The searcher's response, or why there is none."""

    response: ForwardedResponse | None
    reason: str = ''
    #: Whether a searcher may have run the request, where there is none.
    may_have_run: bool = False
