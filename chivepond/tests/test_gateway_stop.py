"""Planned stops and reloads of a gateway: nothing in flight is cut."""

import asyncio
import pathlib
import socket
import time

from chivepond.gateway import outcome, settings_watch
from chivepond.settings import gateway_settings, loader
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support

Got = scripted_searcher.Got
Told = scripted_searcher.Told


async def _slow(got: Got) -> Told:
    await asyncio.sleep(0.4)
    return scripted_searcher.good(got, b'done')


def _route():
    return gateway_bench.route('r', '/r/', service='desk', timeout_ms=4000)


def test_a_planned_stop_cuts_nothing():
    """A deployment cut searches at the desk.

    The gateway says at once that it is not ready, answers what it has read
    and what still comes, and tells callers that their connection ends.
    """

    async def play() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gate = await bench.ready_gateway(stop_grace_s=4.5)
            first = await bench.caller(gate.callers)
            second = await bench.caller(gate.callers)
            idle = await bench.caller(gate.callers)
            waiting = first.connection.begin(
                gateway_bench.request('GET', '/r/'),
                b'',
            )
            await gateway_bench.until(lambda: gate.working)
            stopping = asyncio.create_task(gate.stop())
            await asyncio.sleep(0)
            assert not gate.is_ready
            reply = gateway_bench.reply_of(await waiting)
            assert (reply.status, reply.body) == (200, b'done')
            assert reply.headers.get(b'connection') == b'close'
            late = gateway_bench.reply_of(await second.get('/r/'))
            assert late.status == 200
            await stopping
            assert not idle.connection.is_open

    support.run(play())


def test_a_stop_after_a_pause_serves_what_waited():
    """Two searches were cut by a planned stop (seed 5011 of the soak).

    The host stood still while the gateway was stopping. Callers connected and
    sent meanwhile; when it went on, the time to take connections was over,
    and those that waited were closed before they were taken.
    """

    async def play() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gate = await bench.ready_gateway(stop_grace_s=5)
            stopping = asyncio.create_task(gate.stop())
            await asyncio.sleep(2.7)
            with socket.create_connection(tuple_of(gate.callers)) as waited:
                waited.sendall(gateway_bench.request('GET', '/r/'))
                # Nothing runs on this loop until the time is over.
                time.sleep(0.5)
                waited.setblocking(False)
                await asyncio.sleep(0.2)
                assert not stopping.done()
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(2):
                    reply = await loop.sock_recv(waited, 100)
            assert reply.startswith(b'HTTP/1.1 200 ')
            await stopping

    def tuple_of(place) -> tuple[str, int]:
        return (place.ip, place.port)

    support.run(play())


def test_a_reload_cuts_nothing_and_wrong_settings_change_nothing(tmp_path):
    """A settings file that was wrong for a moment ended a gateway."""

    async def play() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _slow)
            bench.configure(1, _route())
            gate = await bench.ready_gateway()
            path = pathlib.Path(tmp_path) / 'gateway.yaml'
            path.write_text('node_id: [')
            changed = asyncio.Event()
            watch = settings_watch.SettingsWatch(
                path,
                gateway_bench.settings(store=str(bench.store.address)),
                gate,
                changed,
            )
            watching = asyncio.create_task(watch.run())
            caller = await bench.caller(gate.callers)
            waiting = caller.connection.begin(
                gateway_bench.request('GET', '/r/'),
                b'',
            )
            changed.set()
            ended = await waiting
            assert isinstance(ended, outcome.Reply)
            watching.cancel()

    support.run(play())


def test_settings_say_what_is_wrong_and_where():
    """Each wrong setting is named, with its remedy."""
    good = (
        'node_id: n\ndata_centre: base\nregion_by_data_centre: {base: c}\n'
        'callers: 127.0.0.1:1\nreadiness: 127.0.0.1:2\nstore: 127.0.0.1:3\n'
        'peers: 127.0.0.1:4\n'
    )
    for line, place in (
        ('callers: nowhere', 'callers'),
        ('data_centre: elsewhere', 'data_centre'),
        ('second_send_share: 2', 'second_send_share'),
        ('memory_mb: some', 'memory_mb'),
    ):
        name = line.partition(':')[0]
        kept = [one for one in good.splitlines() if not one.startswith(name)]
        text = '\n'.join([*kept, line]).encode()
        loaded = loader.parse(gateway_settings.GatewaySettings, text, 'f')
        wrong = loaded.unwrap_err()
        assert place in wrong.message
        assert wrong.remedy
    assert loader.parse(
        gateway_settings.GatewaySettings,
        good.encode(),
        'f',
    ).is_ok()
