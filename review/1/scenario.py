"""Some searchers leave; searches then need two groups of one gateway."""

import asyncio
import json
import pathlib
import random
import sys

import client
import deployment
import parts

_HOST = 'pass.example'
_SHARDS = [f's{number:02d}' for number in range(20)]
#: Searchers of each shard stand in the first two zones.
_ZONES = list(deployment.REGION_BY_ZONE)
_LEAVING_ZONE = _ZONES[1]
#: 4 of 40 searchers, one of each of these shards.
_LEAVING_SHARDS = _SHARDS[:4]
_WORK_S = 0.0075
_TARGET_MS = 108
_DEADLINE_MS = 1500
_TOP = 5
_LEAST_SHARE = 0.75
#: Connections that a searcher accepts, of all gateways together.
_MAX_CONNS = 7
_SEARCHES_A_SECOND = 120
_LOAD_S = 60
_PROCESSES = 4
_BORN_MS = 1700000000000


def _plan(net):
    plans = []
    for shard in _SHARDS:
        for zone in _ZONES[:2]:
            plans.append(
                {
                    'name': f'i-{shard}-{zone[0]}',
                    'service': shard,
                    'zone': zone,
                    'ip': f'{net}.{100 + len(plans)}',
                    'work_s': _WORK_S,
                    'slots': 2,
                    'queue': 12,
                    'phase': random.uniform(0, 4.5),
                }
            )
    return plans


def _entry(plan, state='ready', sequence=1):
    return {
        'service': plan['service'],
        'address': plan['address'],
        'zone': plan['zone'],
        'version': 'v1',
        'slots': plan['slots'],
        'state': state,
        'warmup_left_ms': 0,
        'sequence': sequence,
        'born': _BORN_MS,
    }


async def _start_searchers(plans):
    program = str(pathlib.Path(parts.__file__).resolve())
    processes = []
    for number in range(_PROCESSES):
        own_plans = plans[number::_PROCESSES]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            program,
            json.dumps(own_plans),
            stdout=asyncio.subprocess.PIPE,
        )
        processes.append(process)
        addresses = json.loads(await process.stdout.readline())
        for plan in own_plans:
            plan['address'] = addresses[plan['name']]
    return processes


async def _run(deployed):
    plans = _plan(deployed.net)
    processes = await _start_searchers(plans)
    try:
        return await _search(deployed, plans)
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def _search(deployed, plans):
    for plan in plans:
        deployed.store.put('servers', plan['name'], _entry(plan))
    configuration = deployment.configuration(
        7, [{'service': shard} for shard in _SHARDS], _MAX_CONNS
    )
    configuration['routes'] = [
        {
            'name': 'gate-match',
            'host': _HOST,
            'path_prefix': '/match/',
            'kind': 'idempotent',
            'timeout_ms': _DEADLINE_MS,
            'target_latency_ms': _TARGET_MS,
            'priority': 2,
            'gather': _SHARDS,
            'max_attempts': 2,
            'top_k': _TOP,
            'min_shard_ratio': _LEAST_SHARE,
        }
    ]
    deployed.store.put('config', 'main', configuration)
    await deployed.start_gateways(_ZONES)
    await asyncio.sleep(9)
    if deployment.TROUBLE:
        await _scale_in(deployed, plans)
    else:
        await asyncio.sleep(5)
    # The gateway that may open no connection to these searchers.
    gateway = deployed.gateways[1]
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    searches = []
    while loop.time() < began_at + _LOAD_S:
        number = len(searches)
        searches.append(
            asyncio.create_task(
                client.send(
                    gateway,
                    _HOST,
                    f'/match/{number}',
                    f'{number:016x}',
                    _DEADLINE_MS,
                    deployed.note,
                )
            )
        )
        next_at = began_at + len(searches) / _SEARCHES_A_SECOND
        await asyncio.sleep(max(0, next_at - loop.time()))
    return _judge(deployed, await asyncio.gather(*searches))


async def _scale_in(deployed, plans):
    leaving = [
        plan
        for plan in plans
        if plan['zone'] == _LEAVING_ZONE and plan['service'] in _LEAVING_SHARDS
    ]
    for plan in leaving:
        deployed.store.put(
            'servers', plan['name'], _entry(plan, 'draining', 2)
        )
        deployed.note(f'{plan["name"]} is draining')
    await asyncio.sleep(deployment.DRAIN_MS / 1000 + 1)
    for plan in leaving:
        deployed.store.remove('servers', plan['name'])
        deployed.note(f'{plan["name"]} has left')
    await asyncio.sleep(1)


def _fault(attempt):
    """Return what is wrong with a success, or an empty text."""
    signatures = [
        text.strip()
        for text in attempt.headers.get('x-part-stamps', '').split(',')
        if text.strip()
    ]
    services = set()
    records = []
    for signature in signatures:
        service, _, request_id, _ = signature.split('.')
        if request_id != attempt.request_id or service in services:
            return f'the signature {signature} is foreign or stands twice'
        services.add(service)
        body = parts.body_of(signature)
        records.extend(
            body[start : start + parts.RECORD_BYTES]
            for start in range(0, len(body), parts.RECORD_BYTES)
        )
    missing = int(attempt.headers.get('x-missing-parts', 0))
    if len(services) + missing != len(_SHARDS):
        return f'{len(services)} parts and {missing} missing ones'
    right = b''.join(sorted(records, reverse=True)[:_TOP])
    if attempt.body != right:
        return (
            f'the body is not the greatest {_TOP} records of the'
            f' {len(services)} parts: {attempt.body.hex(" ", 16)}'
            f' in place of {right.hex(" ", 16)}'
        )
    return ''


def _judge(deployed, attempts):
    counts = {}
    wrong = 0
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
        fault = _fault(attempt) if 200 <= attempt.status < 300 else ''
        if fault:
            wrong += 1
            deployed.note(f'MIXED {attempt.request_id}: {fault}')
    summary = f'{wrong} of {counts.get(200, 0)} successes are wrong; {counts}'
    deployed.note(summary)
    print(summary)
    return not wrong


if __name__ == '__main__':
    deployment.main('.', _run)
