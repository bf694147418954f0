"""Tests that logs and metrics explain the outcome of a request."""

import asyncio
import io
import json
import os

from chivepond.observe import bounded_output, events, journal
from chivepond.platform import documents
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.tools import operator_cli

ReceivedRequest = scripted_searcher.Got
ScriptedReply = scripted_searcher.Told


async def _echo(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.good(request, bytes(16))


async def _hang(request: ReceivedRequest) -> ScriptedReply:
    await asyncio.sleep(3)
    return ScriptedReply(b'')


async def _reset(request: ReceivedRequest) -> ScriptedReply:
    return ScriptedReply(b'', then='reset')


async def _refuse(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.not_run(503)


def _log_lines(scenario) -> list[dict]:
    """Run a scenario; return its log lines, decoded."""
    stream = io.StringIO()
    with journal.Journal('INFO', 'json', stream):
        support.run(scenario())
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def _line_of(lines, request_id: str) -> dict:
    return next(entry for entry in lines if entry.get('request') == request_id)


def test_a_partial_response_logs_each_missing_shard_and_its_reason():
    """A shard misses the deadline of a search; its log line names the shard."""

    async def scenario() -> None:
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
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            await caller.get('/s/', request_id='late')

    line = _line_of(_log_lines(scenario), 'late')
    assert line['event'] == events.REQUEST_ANSWERED_IN_PART.number
    assert line['missing'] == {'c': 'late'}
    assert line['version'] == 7
    assert line['status'] == 200


def test_a_refused_request_logs_the_searcher_and_the_reason():
    """The only searcher answers 503; the log line names it."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _refuse)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            await caller.get('/r/', request_id='refused')

    line = _line_of(_log_lines(scenario), 'refused')
    assert line['event'] == events.REQUEST_REFUSED.number
    assert line['status'] == 503
    assert 'turned it away' in line['reason']
    assert any('s-1' in note for note in line['notes'])


def test_a_request_that_may_have_run_logs_its_searcher():
    """A searcher resets a non-idempotent request; the 502's line names it."""

    async def scenario() -> None:
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
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request('POST', '/r/', request_id='lost')
            await caller.send(raw)

    line = _line_of(_log_lines(scenario), 'lost')
    assert line['event'] == events.REQUEST_UNANSWERED.number
    assert line['status'] == 502
    assert line['sends'] == 1
    assert any('s-1' in note for note in line['notes'])


def test_metrics_count_requests_by_outcome():
    """The metrics page counts a refused request under its route."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _refuse)
            bench.configure(
                3,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            await caller.get('/r/')
            reader = await bench.caller(gateway.metrics)
            page = gateway_bench.reply_of(await reader.get('/metrics')).body
            assert b'_requests_total{of="r request refused"} 1' in page
            assert b'_routes_version 3' in page
            assert b'_request_duration_seconds_count{route="r"} 1' in page
            assert b'_searchers_known 1' in page

    _log_lines(scenario)


def test_sends_by_service_and_reason_are_logged_and_counted():
    """Guards against extra load on a service that no figure explains."""
    pages = []

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _refuse)
            await bench.searcher('s-2', 'desk', _refuse)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gateway = await bench.hedging_gateway()
            caller = await bench.caller(gateway.client_address)
            await caller.get('/r/', request_id='refused')
            metrics = await bench.caller(gateway.metrics)
            reply = await metrics.send(gateway_bench.request('GET', '/metrics'))
            pages.append(reply.body.decode())
            await asyncio.sleep(1.1)

    lines = [
        line
        for line in _log_lines(scenario)
        if line['event'] == events.SENDS_BY_SERVICE.number
    ]
    assert [line['by_service'] for line in lines] == [
        {'desk': {'first_sends': 1, 'hedged_sends': 1}},
    ]
    assert 'chivepond_gateway_first_sends_total{of="desk"} 1' in pages[0]
    assert 'chivepond_gateway_hedged_sends_total{of="desk"} 1' in pages[0]


def test_a_blocked_log_reader_does_not_block_requests():
    """Guards against a gateway that stops answering when its log pipe is full.

    Writing a line to the full pipe blocked the process. Lines that do not fit
    are dropped and counted instead.
    """
    read_end, write_end = os.pipe()
    output = bounded_output.BoundedOutput(write_end)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for _ in range(5000):
                output.write('x' * 99 + '\n')
            await asyncio.sleep(0.3)
            began = asyncio.get_running_loop().time()
            reply = gateway_bench.reply_of(await caller.get('/r/'))
            assert reply.status == 200
            assert asyncio.get_running_loop().time() - began < 0.5

    with journal.Journal('INFO', 'json', output):
        support.run(scenario())
    assert output.dropped > 1000
    pipe_bytes = os.read(read_end, 1000000)
    assert pipe_bytes.endswith(b'\n') or len(pipe_bytes) % 4096 == 0
    os.close(read_end)
    os.close(write_end)


def test_a_request_id_cannot_break_out_of_its_log_line():
    """A request ID with quotes, a tab and non-ASCII bytes keeps to its line."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _refuse)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
            )
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request('GET', '/r/', request_id='"}\t{"\u00e9')
            await caller.send(raw)

    assert any(entry.get('status') == 503 for entry in _log_lines(scenario))


def test_the_explain_command_finds_the_cause_of_a_request(tmp_path, capsys):
    """``chivepond explain`` prints the cause of a request from a log file."""

    async def scenario() -> None:
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
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            raw = gateway_bench.request('POST', '/r/', request_id='lost')
            await caller.send(raw)

    lines = [json.dumps(line) for line in _log_lines(scenario)]
    log = tmp_path / 'gate-1.log'
    log.write_text(
        '\n'.join(['no line', *(f'1.5 x {entry}' for entry in lines)])
    )
    program = ['chivepond', 'explain', '--file', str(log), '--request']
    assert operator_cli.main([*program, 'lost']) == 0
    printed = capsys.readouterr().out
    assert 'request failed at the searchers' in printed
    assert 'searcher learned: ' in printed
    assert 's-1' in printed
    assert 's-2' not in printed
    assert operator_cli.main([*program, 'unknown']) == 1
    assert 'no line tells' in capsys.readouterr().err


def test_a_distrusted_searcher_and_its_recovery_are_logged():
    """Guards against a log that hides which searcher gets no more requests."""
    reply_by_name = {'reply': _reset}

    async def switchable(request: ReceivedRequest) -> ScriptedReply:
        return await reply_by_name['reply'](request)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', switchable)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk', max_attempts=1),
            )
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for _ in range(3):
                await caller.get('/r/')
            page = await bench.caller(gateway.metrics)
            metrics = gateway_bench.reply_of(await page.get('/metrics')).body
            assert b'gateway_searchers{of="distrusted"} 1' in metrics
            assert b'gateway_second_sends_left{of="desk"}' in metrics
            reply_by_name['reply'] = _echo
            await caller.get('/r/')

    lines = _log_lines(scenario)
    distrusted = [
        line
        for line in lines
        if line['event'] == events.SEARCHER_DISTRUSTED.number
    ]
    assert [line['name'] for line in distrusted] == ['s-1']
    assert distrusted[0]['why'] == 'connection ended before the reply'
    trusted = [
        line
        for line in lines
        if line['event'] == events.SEARCHER_TRUSTED.number
    ]
    assert [line['name'] for line in trusted] == ['s-1']


def test_the_explain_summary_adds_up_losses_by_cause(tmp_path, capsys):
    """Guards against an outage whose most costly cause can't be determined.

    One search lacks one of two shards, one request is refused, and one is
    late: the summary lists the loss of each cause and the total.
    """

    async def slow(request: ReceivedRequest) -> ScriptedReply:
        await asyncio.sleep(0.3)
        return await _echo(request)

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', slow)
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
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for path in ('/r/', '/none/', '/all/'):
                await caller.get(path)

    log = tmp_path / 'gate-1.log'
    log.write_text('\n'.join(json.dumps(line) for line in _log_lines(scenario)))
    command = ['chivepond', 'explain', '--summary', '--file', str(log)]
    assert operator_cli.main(command) == 0
    printed = capsys.readouterr().out
    assert 'answers lost: 2.8, by cause' in printed
    assert '1.0  of 1 requests  late: one searcher' in printed
    assert '1.0  of 1 requests  refused: no searcher is registered' in printed
    assert '0.8  of 1 requests  parts missing: no searcher' in printed
