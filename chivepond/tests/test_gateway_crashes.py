"""Requests that crash the searchers that run them."""

import asyncio
import io
import json

from chivepond.gateway import request_fingerprint
from chivepond.observe import events, journal
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support

Got = scripted_searcher.Got
Told = scripted_searcher.Told


async def _crash_searcher(got: Got) -> Told:
    return Told(b'', then='crash')


async def _reset_connection(got: Got) -> Told:
    return Told(b'', then='reset')


def _route(**told):
    return gateway_bench.route('desk', '/desk/', service='desk', **told)


def test_a_searcher_that_crashed_is_told_from_one_that_reset():
    """Guards against resets on a sound network that count as crashes."""

    async def play() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _reset_connection)
            await bench.searcher('s-2', 'fit', _crash_searcher)
            bench.configure(
                1,
                _route(),
                gateway_bench.route('fit', '/fit/', service='fit'),
            )
            gate = await bench.ready_gateway()
            caller = await bench.caller(gate.callers)
            await caller.get('/desk/a')
            await caller.get('/fit/a')
            await asyncio.sleep(1)

    stream = io.StringIO()
    with journal.Journal('INFO', 'json', stream):
        support.run(play())
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    number = events.SEARCHERS_CRASHED.number
    crashed = [one['crashed'] for one in lines if one['event'] == number]
    assert crashed == [['s-2']]


def test_requests_alike_have_one_fingerprint():
    """Guards against a request that is new to each gateway and each time."""
    first = b'GET /a?b=1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n'
    again = b'GET /a?b=1 HTTP/1.1\r\nX-Request-Id: 2\r\nhost: x\r\n'
    assert request_fingerprint.of(first, b'') == request_fingerprint.of(
        again, b''
    )


def test_requests_of_others_have_fingerprints_of_their_own():
    """Guards against a caller who is rejected for what another one sent."""
    plain = b'GET /a HTTP/1.1\r\nHost: x\r\n'
    heads = [
        plain,
        plain.replace(b'/a', b'/b'),
        plain.replace(b'/a', b'/a?b'),
        plain.replace(b'GET', b'PUT'),
        plain.replace(b': x', b': y'),
        plain + b'Authorization: me\r\n',
        plain + b'Cookie: me\r\n',
    ]
    prints = {request_fingerprint.of(head, b'') for head in heads}
    assert (
        len(prints | {request_fingerprint.of(plain, b'body')}) == len(heads) + 1
    )
