"""A gateway is stopped while requests wait in it for a busy service."""

import asyncio
import signal

import client
import deployment
import searcher

_HOST = 'pass.example'
_SERVICE = 'group-sales'
_WORK_S = 0.54
_REQUESTS_A_SECOND = 30
_LOAD_S = 10
_DEADLINE_MS = 8000
#: Connections that a searcher of this service accepts.
_MAX_CONNS = 100


async def _run(deployed):
    searchers = [
        searcher.Searcher(
            f'i-{number}', _SERVICE, zone, deployed.note, 3, 12, _WORK_S
        )
        for number, zone in enumerate(deployment.REGION_BY_ZONE)
    ]
    for number, each in enumerate(searchers, start=100):
        await each.start(f'{deployed.net}.{number}', deployed.store)
    route = {
        'name': 'refund-trace',
        'host': _HOST,
        'path_prefix': '/refund/',
        'kind': 'idempotent',
        'timeout_ms': _DEADLINE_MS,
        'target_latency_ms': 555,
        'priority': 2,
        'service': _SERVICE,
        'max_attempts': 2,
    }
    deployed.store.put(
        'config', 'main', deployment.configuration(7, [route], _MAX_CONNS)
    )
    await deployed.start_gateways(list(deployment.REGION_BY_ZONE))
    await asyncio.sleep(9)
    return await _stop_under_load(deployed, searchers)


async def _stop_under_load(deployed, searchers):
    loop = asyncio.get_running_loop()
    gateway = deployed.gateways[0]
    sends = []
    for number in range(_REQUESTS_A_SECOND * _LOAD_S):
        request_id = f'{number:016x}'
        sends.append(
            asyncio.create_task(
                client.send(
                    gateway,
                    _HOST,
                    f'/refund/{number}',
                    request_id,
                    _DEADLINE_MS,
                    deployed.note,
                )
            )
        )
        await asyncio.sleep(1 / _REQUESTS_A_SECOND)
    stopped_at = loop.time()
    if deployment.TROUBLE:
        deployed.note(f'SIGTERM to {gateway.name}')
        gateway.signal(signal.SIGTERM)
    # What was at work in the last sixth of the grace is excused.
    last_sixth_at = stopped_at + deployment.GRACE_S * 5 / 6
    at_work = set()
    while loop.time() < stopped_at + deployment.GRACE_S:
        if loop.time() >= last_sixth_at:
            for each in searchers:
                at_work.update(each.at_work)
        await asyncio.sleep(0.005)
    if deployment.TROUBLE:
        gateway.signal(signal.SIGKILL)
    attempts = await asyncio.gather(*sends)
    received = {
        request_id for each in searchers for _, request_id in each.arrivals
    }
    return _judge(deployed, attempts, at_work, received)


def _judge(deployed, attempts, at_work, received):
    counts = {}
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    deployed.note(f'answers by status, 0 for none: {counts}')
    lost = []
    for attempt in attempts:
        took_s = attempt.ended_at - attempt.sent_at
        is_over = took_s * 1000 >= attempt.deadline_ms
        if (
            attempt.status == 0
            and not attempt.is_refused_connection
            and took_s > deployment.LOSS_SLACK_S
            and not is_over
            and attempt.request_id not in at_work
        ):
            lost.append(attempt)
            deployed.note(
                f'LOST {attempt.request_id}: read whole, closed without an'
                f' answer after {took_s:.3f} s of {attempt.deadline_ms} ms'
            )
    kept = sum(attempt.request_id not in received for attempt in lost)
    summary = (
        f'{len(lost)} of {len(attempts)} requests are lost,'
        f' {kept} of them never passed on to a searcher'
    )
    deployed.note(summary)
    print(f'{summary}; {counts}')
    return not lost


if __name__ == '__main__':
    deployment.main('.', _run)
