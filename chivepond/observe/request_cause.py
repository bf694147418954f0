"""Why a request did not meet an objective."""

from collections import Counter

from chivepond.errors import problem, shed
from chivepond.wire import coverage, missing_shard, shard_outcome

LATE_SHARD = 'late_shard'
SLOW_ANSWER = 'slow_answer'
PLATFORM = 'platform'
OTHER = 'other'
_MAX_CLASS = 32

_REASONS = frozenset(
    (
        shard_outcome.LATE,
        shard_outcome.SHED,
        shard_outcome.NO_REPLICA,
        shard_outcome.WITHDRAWN,
        shard_outcome.UNREACHABLE,
        shard_outcome.DRAINING,
        shard_outcome.COLD,
        shard_outcome.CANCELLED,
    ),
)


def reason(lost: missing_shard.MissingShard) -> str:
    """Return the reason of a missing shard, bounded to the known ones.

    Guards against searchers that send reasons of their own: they would
    show as time series without bound.
    """
    return lost.reason if lost.reason in _REASONS else OTHER


def outcome(trouble: problem.Problem) -> str:
    """Return the name that metrics give an error.

    A request turned away for its load and one that could not be run are of
    one kind for callers, and two matters for operators.
    """
    return 'shed' if isinstance(trouble, shed.Shed) else trouble.kind


def of_coverage(covered: coverage.Coverage) -> str:
    """Return the reason that most of the missing shards have."""
    counted = Counter(reason(lost) for lost in covered.missing)
    if not counted:
        return SLOW_ANSWER
    worst = counted.most_common(1)[0][0]
    return LATE_SHARD if worst == shard_outcome.LATE else worst


def of_refusal(
    trouble: problem.Problem,
    request_class: str,
    *,
    is_platform_away: bool,
) -> str:
    """Return what a refusal is put down to; classes are bounded before."""
    if isinstance(trouble, shed.Shed):
        return f'shed_{request_class[:_MAX_CLASS]}'
    if is_platform_away:
        return PLATFORM
    return trouble.kind
