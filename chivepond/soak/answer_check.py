"""What is wrong with an answer, worked out from the stand-ins' records."""

from collections.abc import Iterator

from chivepond.owner import owner_call
from chivepond.standins import records
from chivepond.wire import (
    hit,
    search_answer,
    search_request,
    shard_map,
)

ONE_SNAPSHOT = 'one snapshot per answer'
TRUE_COVERAGE = 'true coverage'
WHOLE_ANSWER = 'each caller its own whole answer'


def broken(
    request: search_request.SearchRequest,
    answer: search_answer.SearchAnswer,
    published: dict[int, shard_map.ShardMap],
    records_a_shard: int,
) -> Iterator[tuple[str, str]]:
    """Yield each promise that an answer breaks, and what was seen.

    The hits must be just the best ones of the shards that the answer says
    it covered, at the version that it names: a foreign, doubled, lost or
    mixed-in hit shows as a difference.
    """
    version = answer.snapshot.version
    told = published.get(version)
    if told is None:
        yield ONE_SNAPSHOT, f'version {version} was never published'
        return
    shards = {entry.shard for entry in told.shards}
    missing = {lost.shard for lost in answer.coverage.missing}
    covered = shards - missing
    if answer.coverage.total != len(shards) or not missing <= shards:
        yield TRUE_COVERAGE, f'total {answer.coverage.total}, map {len(shards)}'
    if answer.coverage.covered != len(covered):
        yield TRUE_COVERAGE, f'{answer.coverage.covered}, not {len(covered)}'
    wanted = _best(request, version, covered, records_a_shard)
    if answer.hits != wanted:
        yield WHOLE_ANSWER, f'{_ids(answer.hits)} is not {_ids(wanted)}'


def _best(
    request: search_request.SearchRequest,
    version: int,
    covered: set[str],
    records_a_shard: int,
) -> list[hit.Hit]:
    found = [
        one
        for shard in covered
        for one in records.search(
            shard,
            version,
            request.query,
            request.limit,
            records_a_shard,
        )
    ]
    return owner_call.best(found, request.limit)


def _ids(hits: list[hit.Hit]) -> list[str]:
    return [f'{one.record_id} {one.body}' for one in hits]
