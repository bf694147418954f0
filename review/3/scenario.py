"""A searcher leaves while requests wait for a connection to it."""

import asyncio

import client
import deployment
import searcher

_HOST = 'hut.example'
_SERVICE = 'permit-desk'
_WORK_S = 0.54
_REQUESTS_A_SECOND = 30
_DEADLINE_MS = 6000
#: Connections that a searcher of this service accepts.
_MAX_CONNS = 41
_DRAIN_AFTER_S = 6
_LOAD_S = 10
#: How long the searcher serves beyond the bound before it exits, in seconds.
_LONGER_S = 2.0


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
        'name': 'permit-stamp',
        'host': _HOST,
        'path_prefix': '/stamp/',
        'kind': 'non_idempotent',
        'timeout_ms': _DEADLINE_MS,
        'target_latency_ms': 458,
        'priority': 2,
        'service': _SERVICE,
        'max_attempts': 2,
    }
    deployed.store.put(
        'config', 'main', deployment.configuration(7, [route], _MAX_CONNS)
    )
    await deployed.start_gateways(list(deployment.REGION_BY_ZONE))
    await asyncio.sleep(9)
    return await _drain_under_load(deployed, searchers)


async def _drain_under_load(deployed, searchers):
    load = asyncio.create_task(_send_all(deployed))
    await asyncio.sleep(_DRAIN_AFTER_S)
    leaving = searchers[0]
    acked_at = asyncio.get_running_loop().time()
    if deployment.TROUBLE:
        acked_at = leaving.drain()
        deployed.note(f'{leaving.name} is draining: acknowledged by the store')
        await asyncio.sleep(deployment.DRAIN_MS / 1000 + _LONGER_S)
        leaving.leave()
    attempts = await load
    return _judge(deployed, attempts, leaving, acked_at)


async def _send_all(deployed):
    sends = []
    for number in range(_REQUESTS_A_SECOND * _LOAD_S):
        sends.append(
            asyncio.create_task(
                client.send(
                    deployed.gateways[0],
                    _HOST,
                    f'/stamp/{number}',
                    f'{number:016x}',
                    _DEADLINE_MS,
                    deployed.note,
                    method='POST',
                    body=b'a stamp of a permit',
                )
            )
        )
        await asyncio.sleep(1 / _REQUESTS_A_SECOND)
    return await asyncio.gather(*sends)


def _judge(deployed, attempts, leaving, acked_at):
    counts = {}
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    deployed.note(f'answers by status, 0 for none: {counts}')
    if not deployment.TROUBLE:
        print(f'no searcher left; {counts}')
        return True
    late = [
        (at, request_id)
        for at, request_id in leaving.arrivals
        if (at - acked_at) * 1000 > deployment.DRAIN_MS
    ]
    for at, request_id in late:
        deployed.note(
            f'DRAIN {request_id} reached {leaving.name}'
            f' {(at - acked_at) * 1000:.0f} ms after the acknowledgement'
        )
    late_ids = {request_id for _, request_id in late}
    cut = sum(
        attempt.status == 502 and attempt.request_id in late_ids
        for attempt in attempts
    )
    summary = (
        f'{len(late)} requests reached the leaving searcher late,'
        f' {cut} of them were cut off by its exit'
    )
    deployed.note(summary)
    print(f'{summary}; {counts}')
    return not late


if __name__ == '__main__':
    deployment.main('.', _run)
