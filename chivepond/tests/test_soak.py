"""Random faults against a whole deployment; the check of the answers."""

import dataclasses

import pytest

from chivepond.owner import owner_call
from chivepond.soak import answer_check, command_ledger, soak
from chivepond.standins import embedded, records
from chivepond.tests import support
from chivepond.wire import (
    coverage,
    hit,
    missing_shard,
    search_answer,
    search_request,
    shard_entry,
    shard_map,
    snapshot,
)

_RECORDS = 20
_SECONDS = 3
_REQUEST = search_request.SearchRequest(
    service='pass-lookup',
    query='Rai',
    caller='test',
    limit=5,
)
_MAP = shard_map.ShardMap(
    version=3,
    shards=[shard_entry.ShardEntry(name, ['s']) for name in ('p-0', 'p-1')],
)


@pytest.mark.parametrize('seed', [1, 2])
def test_whole_answer_snapshot_and_coverage_under_random_faults(
    seed: int,
) -> None:
    """Every answer is just what its coverage says, whatever breaks.

    Callers search and send commands while searchers freeze, drain, lie and
    reply twice, the platform is down or loses replies, and index versions
    are repartitioned and withdrawn. Each answer is worked out anew from the
    records; each request key is followed to its end.
    """
    support.run(_play(seed))


async def _play(seed: int) -> None:
    async with embedded.EmbeddedDeployment(soak.plan()) as deployed:
        played = soak.Soak(deployed, seed)
        await played.run(_SECONDS)
    assert played.answers
    assert played.violations == []


def test_check_of_answers_sees_each_kind_of_wrong_answer() -> None:
    """The soak proves nothing unless its check tells wrong from right."""
    right = _answer(('p-0',))
    assert not _broken(right)
    foreign = hit.Hit('p-0/99', 1, 'p-0', 'Asha Rai v3')
    assert _broken(dataclasses.replace(right, hits=[foreign]))
    assert _broken(dataclasses.replace(right, hits=right.hits[:-1]))
    mixed = [dataclasses.replace(right.hits[0], body='Asha Rai v2')]
    assert _broken(dataclasses.replace(right, hits=mixed + right.hits[1:]))
    forgotten = coverage.Coverage(total=1, covered=1, missing=[])
    assert _broken(dataclasses.replace(right, coverage=forgotten))


def test_ledger_sees_double_runs_and_false_not_run() -> None:
    """A key that ran twice, or ran after "not run", is told."""
    ledger = command_ledger.CommandLedger()
    ledger.told('k', command_ledger.result.Ok(_done()))
    assert not list(ledger.broken({'k': 1}))
    assert list(ledger.broken({'k': 2}))
    assert list(ledger.broken({}))


def _done() -> command_ledger.command_answer.CommandAnswer:
    return command_ledger.command_answer.CommandAnswer('k', 'done', 'run 1')


def _answer(covered: tuple[str, ...]) -> search_answer.SearchAnswer:
    found = [
        one
        for shard in covered
        for one in records.search(shard, 3, 'Rai', 5, _RECORDS)
    ]
    missing = [
        missing_shard.MissingShard(entry.shard, 'late')
        for entry in _MAP.shards
        if entry.shard not in covered
    ]
    return search_answer.SearchAnswer(
        request_id='r',
        snapshot=snapshot.Snapshot('passes', 3),
        coverage=coverage.Coverage(2, len(covered), missing),
        hits=owner_call.best(found, 5),
    )


def _broken(answer: search_answer.SearchAnswer) -> list[tuple[str, str]]:
    return list(answer_check.broken(_REQUEST, answer, {3: _MAP}, _RECORDS))
