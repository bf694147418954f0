"""Names the cause of a request that missed an objective."""

from collections import Counter

from chivepond.errors import problem, shed
from chivepond.wire import coverage, missing_shard, shard_outcome

LATE_SHARD = 'late_shard'
SLOW_ANSWER = 'slow_answer'
PLATFORM = 'platform'
OTHER = 'other'
_MAX_CLASS_CHARS = 32

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


def reason(shard: missing_shard.MissingShard) -> str:
    """Return the reason of a missing shard, or OTHER if it is unknown.

    Reasons come from searchers; arbitrary ones would create an unbounded
    number of time series.
    """
    return shard.reason if shard.reason in _REASONS else OTHER


def outcome(error: problem.Problem) -> str:
    """Return the outcome label of an error in metrics.

    Callers see one kind for a request that was shed under load and for one
    that could not be run; metrics tell them apart for operators.
    """
    return 'shed' if isinstance(error, shed.Shed) else error.kind


def of_coverage(covered: coverage.Coverage) -> str:
    """Return the most frequent reason of missing shards.

    Returns SLOW_ANSWER when no shard is missing.
    """
    count_by_reason = Counter(reason(shard) for shard in covered.missing)
    if not count_by_reason:
        return SLOW_ANSWER
    main_reason = count_by_reason.most_common(1)[0][0]
    return LATE_SHARD if main_reason == shard_outcome.LATE else main_reason


def of_refusal(
    error: problem.Problem,
    request_class: str,
    *,
    is_platform_unreachable: bool,
) -> str:
    """Return the cause of a refusal.

    ``request_class`` must be one of a bounded set of labels.
    """
    if isinstance(error, shed.Shed):
        return f'shed_{request_class[:_MAX_CLASS_CHARS]}'
    if is_platform_unreachable:
        return PLATFORM
    return error.kind
