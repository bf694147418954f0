"""Compares a search answer with the records of the stand-in shards."""

from collections.abc import Iterator

from chivepond.owner import owner_call
from chivepond.standins import records
from chivepond.wire import (
    hit,
    search_answer,
    search_request,
    shard_map,
)

ONE_SNAPSHOT = 'an answer comes from one published version'
TRUE_COVERAGE = 'the reported coverage is correct'
WHOLE_ANSWER = 'an answer holds exactly the best hits of its shards'


def find_violations(
    request: search_request.SearchRequest,
    answer: search_answer.SearchAnswer,
    published: dict[int, shard_map.ShardMap],
    records_per_shard: int,
) -> Iterator[tuple[str, str]]:
    """Yield each guarantee that an answer violates, and what was observed.

    The hits must be exactly the best ones of the shards that the answer
    reports as covered, at the version that it names. A foreign, duplicate or
    missing hit, or one of another version, shows as a difference.
    ``published`` maps each version to its shard map.
    """
    version = answer.snapshot.version
    published_map = published.get(version)
    if published_map is None:
        yield ONE_SNAPSHOT, f'version {version} was never published'
        return
    shards = {entry.shard for entry in published_map.shards}
    missing = {entry.shard for entry in answer.coverage.missing}
    covered = shards - missing
    if answer.coverage.total != len(shards) or not missing <= shards:
        yield (
            TRUE_COVERAGE,
            f'total is {answer.coverage.total}, the map has {len(shards)}',
        )
    if answer.coverage.covered != len(covered):
        yield (
            TRUE_COVERAGE,
            f'{answer.coverage.covered} reported, not {len(covered)}',
        )
    expected_hits = _expected_hits(request, version, covered, records_per_shard)
    if answer.hits != expected_hits:
        yield (
            WHOLE_ANSWER,
            f'{_describe(answer.hits)} is not {_describe(expected_hits)}',
        )


def _expected_hits(
    request: search_request.SearchRequest,
    version: int,
    covered: set[str],
    records_per_shard: int,
) -> list[hit.Hit]:
    candidates = [
        candidate
        for shard in covered
        for candidate in records.search(
            shard,
            version,
            request.query,
            request.limit,
            records_per_shard,
        )
    ]
    return owner_call.best(candidates, request.limit)


def _describe(hits: list[hit.Hit]) -> list[str]:
    return [f'{found.record_id} {found.body}' for found in hits]
