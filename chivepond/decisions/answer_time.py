"""When to answer a search although shards are missing.

Load pattern: one slow shard among hundreds. Without a rule every search lasts
as long as its slowest shard. Interactive callers need the deadline kept;
callers that wait for coverage need a minimum share of the shards, and no more
delay than that takes.
"""

import dataclasses

from chivepond.settings import answer_policy


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """Shard counts of a search; ``elapsed_ms`` counts from its arrival."""

    total: int
    covered: int
    pending: int
    elapsed_ms: float


def is_due(policy: answer_policy.AnswerPolicy, progress: Progress) -> bool:
    """Tell whether to answer now instead of waiting for more shards."""
    if not progress.pending:
        return True
    if policy.when != 'coverage':
        return False
    is_within_patience = progress.elapsed_ms < policy.patience_ms
    required = policy.floor * progress.total
    return not is_within_patience and progress.covered >= required
