"""What a gateway asks another one to gather near the searchers."""

import msgspec


class GatherRequest(msgspec.Struct, array_like=True):
    """A caller's request, and the shards to gather it from."""

    request_id: bytes
    #: The request line and the fields, as searchers get them.
    head: bytes
    body: bytes
    route: str
    shards: list[str]
    #: The share of them without which the answer is no success.
    least_share: float
    #: How many of the greatest records are wanted.
    top_count: int
    max_attempts: int
    #: Seconds within which the reply is useful.
    answer_in_s: float
    #: Seconds until the caller stops waiting.
    left_s: float
    target_latency_s: float


class GatherReply(msgspec.Struct, array_like=True):
    """The greatest records of the parts that are in."""

    records: bytes
    signature_by_shard: dict[str, bytes]
    reason_by_shard: dict[str, str]
    #: Shards of which no searcher was asked.
    unasked: list[str]
    #: Whether too few are in, and the rest can be asked for once more.
    has_more: bool
    #: How many of the shards have long queues at all their searchers.
    queued: int
    #: Seconds from the request to this reply.
    took_s: float
    #: Whether a searcher ran the request, or may still run it.
    may_have_run: bool = True
    #: Shards that are asked only if the asker has too few parts.
    shed: list[str] = msgspec.field(default_factory=list)


class MoreRequest(msgspec.Struct, array_like=True):
    """Asks once more for what a gather has, or will have."""

    request_id: bytes
    #: Whether the reply to the gather came; else all parts are wanted.
    has_reply: bool
