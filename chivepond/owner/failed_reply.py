"""The reply that stands for an attempt without one."""

from chivepond.owner import attempt
from chivepond.wire import sub_reply


def of(one: attempt.Attempt, outcome: str) -> sub_reply.SubReply:
    """Return a reply without hits; ``outcome`` names what went wrong."""
    return sub_reply.SubReply(
        request_id=one.sub_query.request_id,
        attempt=one.sub_query.attempt,
        shard=one.sub_query.shard,
        index_version=one.sub_query.index_version,
        outcome=outcome,
    )
