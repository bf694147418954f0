"""An entry is removed while the gateway that reads the store is cut off."""

import asyncio

import client
import cut_link
import deployment
import searcher

_HOST = 'pass.example'
_SERVICE = 'refund-office'
_WORK_S = 0.137
_DEADLINE_MS = 8000
_MAX_CONNS = 100
_REQUESTS_A_SECOND = 46
_LOAD_S = 24
_CUT_AFTER_S = 16
_ZONES = list(deployment.REGION_BY_ZONE)
#: The first one by name reads the store for all.
_READER_ZONE = min(_ZONES)


def _configuration(version, idle_timeout_ms=15000):
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
    spec = deployment.configuration(version, [route], _MAX_CONNS)
    spec['limits']['idle_timeout_ms'] = idle_timeout_ms
    return spec


async def _run(deployed):
    searchers = [
        searcher.Searcher(
            f'i-{number}', _SERVICE, zone, deployed.note, 3, 12, _WORK_S
        )
        for number, zone in enumerate(_ZONES[:2])
    ]
    for number, each in enumerate(searchers, start=100):
        await each.start(f'{deployed.net}.{number}', deployed.store)
    deployed.store.put('config', 'main', _configuration(7))
    link = cut_link.CutLink(deployed.store.address)
    await link.start(f'{deployed.net}.251')
    await deployed.start_gateways(_ZONES, {_READER_ZONE: link.address})
    await asyncio.sleep(9)
    load = asyncio.create_task(_send_all(deployed))
    await asyncio.sleep(_CUT_AFTER_S)
    leaving = searchers[0]
    added = searcher.Searcher(
        'i-9', 'group-sales', _ZONES[2], deployed.note, 3, 12, _WORK_S
    )
    # A version and an added searcher of another service: the reader has just
    # read both lists when it is cut off.
    deployed.store.put('config', 'main', _configuration(8, 14000))
    await added.start(f'{deployed.net}.110', deployed.store)
    await asyncio.sleep(0.05)
    if deployment.TROUBLE:
        link.cut()
        deployed.note(f'the gateway in {_READER_ZONE} is cut off the store')
    deployed.store.remove('servers', leaving.name)
    acked_at = asyncio.get_running_loop().time()
    deployed.note(f'the entry of {leaving.name} is gone: acknowledged')
    attempts = await load
    return _judge(deployed, attempts, leaving, acked_at)


async def _send_all(deployed):
    # Clients of the gateways that keep their path to the store.
    gateways = [
        gateway
        for gateway in deployed.gateways
        if gateway.zone != _READER_ZONE
    ]
    sends = []
    for number in range(_REQUESTS_A_SECOND * _LOAD_S):
        sends.append(
            asyncio.create_task(
                client.send(
                    gateways[number % len(gateways)],
                    _HOST,
                    f'/refund/{number}',
                    f'{number:016x}',
                    _DEADLINE_MS,
                    deployed.note,
                )
            )
        )
        await asyncio.sleep(1 / _REQUESTS_A_SECOND)
    return await asyncio.gather(*sends)


def _judge(deployed, attempts, leaving, acked_at):
    counts = {}
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    late_ms = [
        (at - acked_at) * 1000
        for at, _ in leaving.arrivals
        if (at - acked_at) * 1000 > deployment.DRAIN_MS
    ]
    last_ms = max(((at - acked_at) * 1000 for at, _ in leaving.arrivals))
    summary = (
        f'{len(late_ms)} requests reached {leaving.name} later than'
        f' {deployment.DRAIN_MS} ms after the acknowledgement, the last one'
        f' after {last_ms:.0f} ms; {counts}'
    )
    deployed.note(summary)
    print(summary)
    return not late_ms


if __name__ == '__main__':
    deployment.main('.', _run)
