"""Messages with which a gateway delegates gathering to another one.

New fields are appended and have defaults, because gateways of two releases
run side by side during a rolling update.
"""

import msgspec


class GatherRequest(msgspec.Struct, array_like=True):
    """A caller's request, and the shards to gather from."""

    request_id: bytes
    #: Request line and header fields, as sent to searchers.
    head: bytes
    body: bytes
    route: str
    shards: list[str]
    #: Smallest share of ``shards`` for a successful response, 0 to 1.
    least_share: float
    #: Number of highest-ranked records to return.
    top_count: int
    max_attempts: int
    #: Seconds after which the reply is no longer useful.
    answer_in_s: float
    #: Seconds until the caller stops waiting.
    left_s: float
    target_latency_s: float
    #: Identifies this gather among those of all gateways. The caller chooses
    #: ``request_id``, and a search may send several gathers to one gateway.
    gather_id: bytes = b''


class GatherReply(msgspec.Struct, array_like=True):
    """The highest-ranked records of the parts received so far."""

    records: bytes
    signature_by_shard: dict[str, bytes]
    reason_by_shard: dict[str, str]
    #: Shards for which no searcher was queried.
    unasked: list[str]
    #: Whether parts are still missing that a ``MoreRequest`` may return.
    has_more: bool
    #: Number of shards with long queues at all their searchers.
    queued: int
    #: Seconds from the request to this reply.
    took_s: float
    #: Whether a searcher ran the request, or may still run it.
    may_have_run: bool = True
    #: Shards that are queried only if the requester has too few parts.
    shed: list[str] = msgspec.field(default_factory=list)
    #: The ``gather_id`` of the request.
    gather_id: bytes = b''


class MoreRequest(msgspec.Struct, array_like=True):
    """Requests another reply of a running or finished gather."""

    request_id: bytes
    #: Whether the first reply arrived; if not, all parts are sent again.
    has_reply: bool
    #: The ``gather_id`` of the request.
    gather_id: bytes = b''
