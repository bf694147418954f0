"""The way of a request that every shard answers a part of."""

import asyncio
import dataclasses

from chivepond.decisions import gather_time, second_ask_time
from chivepond.gateway import (
    answer,
    forwarded_request,
    merge,
    outcome,
    routing_table,
    service_ask,
    single_request,
)
from chivepond.platform import headers

_OK = 200
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504

Asking = asyncio.Task[outcome.Reply | service_ask.GaveUp]


@dataclasses.dataclass(slots=True)
class Gathering:
    """One gathered request, and what is in of its parts."""

    request: forwarded_request.ForwardedRequest
    route: routing_table.Route
    target: routing_table.AllShards
    #: When the request came and when it must be answered, steady clock.
    came_at: float
    deadline: float
    reply_by_shard: dict[str, outcome.Reply] = dataclasses.field(
        default_factory=dict,
    )
    reason_by_shard: dict[str, str] = dataclasses.field(default_factory=dict)
    has_run: bool = False


async def serve(
    gathering: Gathering,
    tools: service_ask.AskTools,
    late: second_ask_time.SecondAskTime,
) -> answer.Answer:
    """Return the merged answer, or why there are too few parts."""
    coverage = gather_time.Coverage(
        len(gathering.target.shards),
        gathering.target.least_share,
    )
    held = _held_shards(gathering, tools)
    if len(held) < coverage.needed:
        return answer.refusal(
            _UNAVAILABLE,
            f'{len(held)} of {coverage.shards} shards have a searcher',
            single_request.RETRY_AFTER_S,
        )
    asks = {
        shard: service_ask.ServiceAsk(
            shard,
            gathering.request,
            gathering.route,
            tools,
        )
        for shard in held
    }
    tasks = {
        asyncio.create_task(ask.run(gathering.deadline, late)): shard
        for shard, ask in asks.items()
    }
    try:
        await _collect(gathering, tasks, coverage)
    except asyncio.CancelledError:
        _cancel(tasks)
        raise
    for ask in asks.values():
        ask.leave_running()
    _cancel(tasks)
    return _answer(gathering, coverage)


def _held_shards(
    gathering: Gathering,
    tools: service_ask.AskTools,
) -> list[str]:
    held = []
    for shard in gathering.target.shards:
        if any(tools.searchers.candidates(shard)):
            held.append(shard)
        else:
            gathering.reason_by_shard[shard] = 'no searcher is registered'
    return held


async def _collect(
    gathering: Gathering,
    tasks: dict[Asking, str],
    coverage: gather_time.Coverage,
) -> None:
    """Wait for all parts until the target latency, then for enough."""
    loop = asyncio.get_running_loop()
    answer_at = gather_time.answer_at(
        gathering.came_at,
        gathering.route.target_latency_s,
    )
    wait_s = min(answer_at, gathering.deadline) - loop.time()
    done, pending = await asyncio.wait(tasks, timeout=max(0, wait_s))
    _take(gathering, tasks, done)
    while pending and len(gathering.reply_by_shard) < coverage.needed:
        possible = len(gathering.reply_by_shard) + len(pending)
        if possible < coverage.needed:
            return
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        _take(gathering, tasks, done)


def _take(
    gathering: Gathering,
    tasks: dict[Asking, str],
    done: set[Asking],
) -> None:
    for task in done:
        shard = tasks[task]
        match task.result():
            case outcome.Reply() as reply if _is_part(reply):
                gathering.reply_by_shard[shard] = reply
            case outcome.Reply(status=status):
                gathering.has_run = True
                gathering.reason_by_shard[shard] = f'a reply with {status}'
            case service_ask.GaveUp(reason=reason, may_have_run=has_run):
                gathering.has_run |= has_run
                gathering.reason_by_shard[shard] = reason


def _is_part(reply: outcome.Reply) -> bool:
    return reply.is_success and bool(reply.headers.get(headers.SIGNATURE))


def _cancel(tasks: dict[Asking, str]) -> None:
    for task in tasks:
        task.cancel()


def _answer(
    gathering: Gathering,
    coverage: gather_time.Coverage,
) -> answer.Answer:
    replies = gathering.reply_by_shard.values()
    missing = coverage.shards - len(replies)
    if len(replies) >= coverage.needed:
        signatures = b', '.join(
            reply.headers.get(headers.SIGNATURE) or b'' for reply in replies
        )
        return answer.Answer(
            status=_OK,
            headers=[
                (headers.REQUEST_ID, gathering.request.request_id),
                (headers.PART_SIGNATURES, signatures),
                (headers.MISSING_SHARDS, b'%d' % missing),
            ],
            body=merge.greatest(
                (reply.body for reply in replies),
                gathering.target.top_count,
            ),
        )
    text = f'{len(replies)} of {coverage.shards} shards replied'
    if asyncio.get_running_loop().time() >= gathering.deadline:
        return answer.refusal(_TIMED_OUT, text)
    if gathering.has_run or replies:
        return answer.refusal(_BAD_GATEWAY, text)
    return answer.refusal(_UNAVAILABLE, text, single_request.RETRY_AFTER_S)
