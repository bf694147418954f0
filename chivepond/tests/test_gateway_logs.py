"""From a request's identifier to its cause, by the log and the metrics."""

import asyncio
import io
import json
import os

from chivepond.observe import bounded_output, events, journal
from chivepond.platform import documents
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.tools import operator_cli

Got = scripted_searcher.Got
Told = scripted_searcher.Told


async def _echo(got: Got) -> Told:
    return scripted_searcher.good(got, bytes(16))


async def _hang(got: Got) -> Told:
    await asyncio.sleep(3)
    return Told(b'')


async def _reset(got: Got) -> Told:
    return Told(b'', then='reset')


async def _full(got: Got) -> Told:
    return scripted_searcher.not_run(503)


def _played(scene) -> list[dict]:
    """Return the lines that a scene wrote."""
    stream = io.StringIO()
    with journal.Journal('INFO', 'json', stream):
        support.run(scene())
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def _of(lines, request_id: str) -> dict:
    return next(one for one in lines if one.get('request') == request_id)


def test_a_late_answer_names_its_missing_shard_and_why():
    """A search came late and lacked a shard: its line says which and why."""

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            for shard in ('a', 'b', 'c'):
                reply = _hang if shard == 'c' else _echo
                await bench.searcher(f's-{shard}', shard, reply)
            bench.configure(
                7,
                gateway_bench.route(
                    'search',
                    '/s/',
                    gather=['a', 'b', 'c'],
                    top_k=2,
                    min_shard_ratio=0.5,
                    target_latency_ms=200,
                ),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            await caller.get('/s/', request_id='late')

    line = _of(_played(scene), 'late')
    assert line['event'] == events.REQUEST_ANSWERED_IN_PART.number
    assert line['missing'] == {'c': 'late'}
    assert line['version'] == 7
    assert line['status'] == 200


def test_a_refusal_says_that_it_did_not_run_and_why():
    """A refusal's line names the searcher that turned the request away."""

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _full)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            await caller.get('/r/', request_id='refused')

    line = _of(_played(scene), 'refused')
    assert line['event'] == events.REQUEST_REFUSED.number
    assert line['status'] == 503
    assert 'turned it away' in line['reason']
    assert any('s-1' in note for note in line['notes'])


def test_a_request_that_may_have_run_names_its_searcher():
    """A 502 of a stamp: its line names the searcher that may have run it."""

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _reset)
            bench.configure(
                1,
                gateway_bench.route(
                    'r',
                    '/r/',
                    service='desk',
                    kind='non_idempotent',
                ),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            raw = gateway_bench.request('POST', '/r/', request_id='lost')
            await caller.send(raw)

    line = _of(_played(scene), 'lost')
    assert line['event'] == events.REQUEST_UNANSWERED.number
    assert line['status'] == 502
    assert line['sends'] == 1
    assert any('s-1' in note for note in line['notes'])


def test_metrics_count_requests_by_what_became_of_them():
    """The page counts the failure that the log explains."""

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _full)
            bench.configure(
                3,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            await caller.get('/r/')
            reader = await bench.caller(gate.metrics)
            page = gateway_bench.reply_of(await reader.get('/metrics')).body
            assert b'_requests_total{of="r request refused"} 1' in page
            assert b'_routes_version 3' in page
            assert b'_request_duration_seconds_count{route="r"} 1' in page
            assert b'_searchers_known 1' in page

    _played(scene)


def test_a_reader_that_stops_reading_holds_up_nobody():
    """Nobody read the log, and the gateway answered nobody.

    The pipe was full and the write of a line waited. Lines that find no room
    are dropped and counted; requests go on.
    """
    read_end, write_end = os.pipe()
    output = bounded_output.BoundedOutput(write_end)

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            for _ in range(5000):
                output.write('x' * 99 + '\n')
            await asyncio.sleep(0.3)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/r/'))
            assert reply.status == 200
            assert asyncio.get_running_loop().time() - began < 0.5

    with journal.Journal('INFO', 'json', output):
        support.run(scene())
    assert output.dropped > 1000
    got = os.read(read_end, 1000000)
    assert got.endswith(b'\n') or len(got) % 4096 == 0
    os.close(read_end)
    os.close(write_end)


def test_lines_hold_no_text_from_outside_as_lines():
    """An identifier with odd bytes stays within its own line."""

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _full)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            raw = gateway_bench.request('GET', '/r/', request_id='"}\t{"\u00e9')
            await caller.send(raw)

    assert any(one.get('status') == 503 for one in _played(scene))


def test_the_command_explains_a_request_from_several_logs(tmp_path, capsys):
    """On call, a request's identifier leads to its cause in one command."""

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _reset)
            await bench.searcher('s-2', 'other', _echo)
            bench.configure(
                1,
                gateway_bench.route(
                    'r',
                    '/r/',
                    service='desk',
                    kind='non_idempotent',
                ),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            raw = gateway_bench.request('POST', '/r/', request_id='lost')
            await caller.send(raw)

    lines = [json.dumps(line) for line in _played(scene)]
    log = tmp_path / 'gate-1.log'
    log.write_text('\n'.join(['no line', *(f'1.5 x {one}' for one in lines)]))
    program = ['chivepond', 'explain', '--file', str(log), '--request']
    assert operator_cli.main([*program, 'lost']) == 0
    told = capsys.readouterr().out
    assert 'request failed at the searchers' in told
    assert 'searcher learned: ' in told
    assert 's-1' in told
    assert 's-2' not in told
    assert operator_cli.main([*program, 'unknown']) == 1
    assert 'no line tells' in capsys.readouterr().err


def test_a_searcher_that_fails_is_named_and_so_is_its_return():
    """Answers got slower; the log has to say which searcher is passed over."""
    moods = {'reply': _reset}

    async def moody(got: Got) -> Told:
        return await moods['reply'](got)

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', moody)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk', max_attempts=1),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            for _ in range(3):
                await caller.get('/r/')
            page = await bench.caller(gate.metrics)
            metrics = gateway_bench.reply_of(await page.get('/metrics')).body
            assert b'gateway_searchers{of="distrusted"} 1' in metrics
            assert b'gateway_second_sends_left{of="desk"}' in metrics
            moods['reply'] = _echo
            await caller.get('/r/')

    lines = _played(scene)
    lost = [
        line
        for line in lines
        if line['event'] == events.SEARCHER_DISTRUSTED.number
    ]
    assert [line['name'] for line in lost] == ['s-1']
    assert lost[0]['why'] == 'connection ended before the reply'
    found = [
        line
        for line in lines
        if line['event'] == events.SEARCHER_TRUSTED.number
    ]
    assert [line['name'] for line in found] == ['s-1']


def test_the_command_sums_up_where_a_run_lost_answers(tmp_path, capsys):
    """After a bad hour nobody could say which cause cost most.

    One search lacks a part of two, one request is refused, one is late: their
    losses stand by cause and add up.
    """

    async def late(got: Got) -> Told:
        await asyncio.sleep(0.3)
        return await _echo(got)

    async def scene() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', late)
            await bench.searcher('s-2', 'one', _echo)
            gathered = documents.gathered(['one', 'two'], 5, 0.5, 200)
            bench.configure(
                1,
                gateway_bench.route(
                    'r',
                    '/r/',
                    service='desk',
                    target_latency_ms=200,
                ),
                gateway_bench.route('none', '/none/', service='nobody'),
                gateway_bench.route('all', '/all/', **gathered),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            for path in ('/r/', '/none/', '/all/'):
                await caller.get(path)

    log = tmp_path / 'gate-1.log'
    log.write_text('\n'.join(json.dumps(line) for line in _played(scene)))
    words = ['chivepond', 'explain', '--summary', '--file', str(log)]
    assert operator_cli.main(words) == 0
    told = capsys.readouterr().out
    assert 'answers lost: 2.8, by cause' in told
    assert '1.0  of 1 requests  late: one searcher' in told
    assert '1.0  of 1 requests  refused: no searcher is registered' in told
    assert '0.8  of 1 requests  parts missing: no searcher' in told
