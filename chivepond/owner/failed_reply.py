"""Builds replies for failed attempts."""

from chivepond.owner import attempt
from chivepond.wire import sub_reply


def build(shard_attempt: attempt.Attempt, outcome: str) -> sub_reply.SubReply:
    """Return a reply without hits; ``outcome`` names the failure."""
    return sub_reply.SubReply(
        request_id=shard_attempt.sub_query.request_id,
        attempt=shard_attempt.sub_query.attempt,
        shard=shard_attempt.sub_query.shard,
        index_version=shard_attempt.sub_query.index_version,
        outcome=outcome,
    )
