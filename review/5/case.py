"""Searchers drain while ten of a hundred gateways are suspended."""

import asyncio
import pathlib
import signal
import time

import fleet

GATEWAYS = 100
#: A tenth of the machines, the default share of node_freeze; neighbours in a rack.
FROZEN = 10
FREEZE_S = 5.0
#: After a freeze, until the next searcher is replaced; over stable_window_ms.
CALM_S = 8.0
ROUNDS = 3
DRAIN_S = fleet.BOUNDS['drain_ms'] / 1000
SERVICE = 'refund-office'


async def ask_on(case, gateway, ends, answers):
    reader, writer = await asyncio.open_connection(gateway.ip, fleet.FRONT)
    number = 0
    while time.monotonic() < ends:
        number += 1
        request_id = f'{gateway.name}.{number}'
        case.note(f'sent {request_id}')
        status, _ = await fleet.ask(
            reader, writer, '/refund/x', request_id, 8000
        )
        answers.append((request_id, status))
        if not isinstance(status, int):
            return
        await asyncio.sleep(0.2)
    writer.close()


async def scenario(case):
    store = fleet.Store()
    await store.start()
    releases = [
        fleet.Searcher(f'i-{number}', SERVICE, 'kelowna-hub')
        for number in range(ROUNDS + 1)
    ]
    others = [
        fleet.Searcher('i-whistler', SERVICE, 'whistler-base'),
        fleet.Searcher('i-nelson', SERVICE, 'nelson-yard'),
    ]
    for searcher in (*releases, *others):
        await searcher.start()
    for searcher in (releases[0], *others):
        store.put('servers', searcher.id, searcher.entry())
    store.put(
        'config',
        'main',
        fleet.configuration(7, [fleet.route('refund', SERVICE)], max_conns=490),
    )
    subnet = fleet.free_subnet(GATEWAYS)
    zones = sorted(fleet.ZONES)
    seeds = [f'{subnet}.{host}:{fleet.CONTROL}' for host in (1, 35, 68)]
    for number in range(GATEWAYS):
        zone = zones[number * len(zones) // GATEWAYS]
        case.gateways.append(
            fleet.Gateway(
                f'edge-{zone}-{number:02d}',
                f'{subnet}.{number + 1}',
                zone,
                store.address,
                seeds,
                case.folder,
            )
        )
    for gateway in case.gateways:
        gateway.start()
    for gateway in case.gateways:
        await gateway.wait_ready(60)
    case.say(f'{GATEWAYS} gateways are ready')
    await asyncio.sleep(20)
    answers = []
    ends = time.monotonic() + 3 + ROUNDS * (FREEZE_S + CALM_S)
    clients = [
        asyncio.create_task(ask_on(case, gateway, ends, answers))
        for gateway in case.gateways[FROZEN:]
    ]
    await asyncio.sleep(3)
    drains = []
    for old, new in zip(releases, releases[1:]):
        drains.append((old, await release(case, store, old, new)))
        await asyncio.sleep(CALM_S)
        store.remove('servers', old.id)
        old.leave()
        case.say(f'{old.id} has left')
    await asyncio.gather(*clients)
    case.note_runs((*releases, *others))
    return judge(case, drains, answers)


async def release(case, store, old, new):
    """Replace a searcher: the new one starts first, then the old one drains.

    The machines of a rack are suspended between the two.
    """
    store.put('servers', new.id, new.entry())
    case.say(f'{new.id} is registered, which takes the place of {old.id}')
    await asyncio.sleep(0.1)
    if case.has_trouble:
        for gateway in case.gateways[:FROZEN]:
            gateway.signal(signal.SIGSTOP)
        names = f'{case.gateways[0].name} to {case.gateways[FROZEN - 1].name}'
        case.say(f'{names} are suspended for {FREEZE_S:.0f} s')
    await asyncio.sleep(0.05)
    store.put('servers', old.id, old.entry('draining'))
    drained_at = time.monotonic()
    case.say(f'the store has accepted that {old.id} is draining')
    await asyncio.sleep(FREEZE_S)
    for gateway in case.gateways[:FROZEN]:
        gateway.signal(signal.SIGCONT)
    return drained_at


def judge(case, drains, answers):
    for request_id, status in answers:
        case.note(f'answered {request_id}: {status}')
    late = {}
    for old, drained_at in drains:
        for arrived_at, request_id in old.arrivals:
            after_s = arrived_at - drained_at
            if after_s > DRAIN_S:
                name = request_id.split('.')[0]
                late.setdefault((old.id, name), []).append(after_s)
    case.say(f'{len(answers)} requests')
    if not all(old.arrivals for old, _ in drains):
        case.say('could not run: a searcher got no request before its drain')
        return 2
    for (old_id, name), times in sorted(late.items()):
        case.say(
            f'BROKEN: {name} sent {len(times)} requests to {old_id}, '
            f'the last one {max(times):.2f} s after the acknowledgement'
        )
    return 1 if late else 0


if __name__ == '__main__':
    fleet.main(pathlib.Path(__file__).parent, scenario)
