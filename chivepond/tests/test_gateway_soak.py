"""The soak of gateway processes: a short run, and its checks by themselves."""

import asyncio
import random
import socket

import pytest

from chivepond.gateway import header_list, outcome
from chivepond.platform import headers
from chivepond.soak import (
    gateway_checks,
    gateway_process,
    gateway_soak,
    loopback_proxy,
    searcher_ledger,
)
from chivepond.standins import connection_reset, scripted_searcher
from chivepond.tests import support

_SHARDS = ('a', 'b', 'c')
_SECONDS = 5


@pytest.mark.parametrize(
    ('seed', 'gateways', 'seconds'),
    [
        (1, 3, _SECONDS),
        # Its callers once met gateways that another soak had left behind.
        (2002, 5, _SECONDS),
        # A stop once cut what had connected while its host stood still.
        (5011, 4, 8),
    ],
)
def test_promises_hold_under_faults_from_outside(
    seed,
    gateways,
    seconds,
    tmp_path,
):
    """Killed, paused, stopped and cut off gateways keep their promises."""

    async def play() -> gateway_checks.GatewayChecks:
        soak = gateway_soak.GatewaySoak(seed, tmp_path, gateways)
        async with soak as played:
            await played.run(seconds)
        return played.checks

    checks = asyncio.run(play())
    assert not checks.violations
    assert checks.statuses[200] > 100


def _checks():
    ledger = searcher_ledger.SearcherLedger(random.Random(1))
    return gateway_checks.GatewayChecks(ledger), ledger


def _reply(status, body, **told):
    found = header_list.HeaderList()
    for name, said in told.items():
        found.add(getattr(headers, name), said)
    return outcome.Reply(status, found, body)


def _whole(parts, missing, spoil=False):
    found = [
        record
        for part in parts
        for record in searcher_ledger.records(part, b'r')
    ]
    found = sorted(found, reverse=True)[: gateway_checks.TOP_COUNT]
    if spoil:
        found.pop()
    signed = [searcher_ledger.signature(part, b'r') for part in parts]
    return _reply(
        200,
        b''.join(found),
        PART_SIGNATURES=', '.join(signed).encode(),
        MISSING_SHARDS=b'%d' % missing,
    )


@pytest.mark.parametrize(
    ('reply', 'promise'),
    [
        (_whole('abc', 0), None),
        (_whole('ab', 1), None),
        (_whole('ab', 0), 'true coverage'),
        (_whole('a', 2), 'least coverage'),
        (_whole('aab', 0), 'whole own answers'),
        (_whole('abd', 0), 'whole own answers'),
        (_whole('abc', 0, spoil=True), 'the greatest records'),
    ],
)
def test_a_wrong_gathered_answer_is_seen(reply, promise):
    """Each way in which a gathered answer can lie is told by its promise."""
    checks, _ = _checks()
    checks.search(b'r', _SHARDS, reply)
    seen = [one.promise for one in checks.violations]
    assert seen == [one for one in (promise,) if one]


def test_a_second_run_and_a_false_refusal_are_seen():
    """A stamp that ran twice, and one that ran though it was refused."""
    checks, ledger = _checks()
    ledger.runs[('stamps', b'twice')] = 2
    ledger.runs[('stamps', b'refused')] = 1
    ledger.runs[('reads', b'again')] = 5
    checks.single(b'refused', 'stamps', _reply(503, b''), is_idempotent=False)
    checks.at_the_end('stamps')
    seen = {one.promise for one in checks.violations}
    assert seen == {'at most once', 'not run means not run'}


def test_too_many_attempts_and_second_sends_are_seen():
    """A shard ran requests three times each; a service got too many repeats."""
    checks, ledger = _checks()
    for number in range(5):
        ledger.runs[('a', b'%d' % number)] = 3
    ledger.arrivals_by_service['b'] = [
        searcher_ledger.Arrival(b'%d' % (at // 2), 100 + at / 100)
        for at in range(200)
    ]
    ledger.arrivals_by_service['c'] = [
        searcher_ledger.Arrival(b'%d' % (at // 2), 100 + at / 2)
        for at in range(200)
    ]
    checks.at_the_end('stamps')
    seen = [one.promise for one in checks.violations]
    assert seen == ['attempts within bounds', 'second sends within the budget']
    assert checks.violations[1].seen.startswith('b: 100')


def test_a_proxy_holds_resets_and_passes():
    """Each harm shows at both ends, and ends with its removal."""

    async def echo(got: scripted_searcher.Got) -> scripted_searcher.Told:
        return scripted_searcher.good(got, got.line)

    async def ask(place) -> bytes:
        reader, writer = await asyncio.open_connection(place.ip, place.port)
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        async with asyncio.timeout(0.4):
            got = await reader.read(9)
        writer.close()
        return got

    async def answers(place) -> bool:
        try:
            return await ask(place) == b'HTTP/1.1 '
        except (TimeoutError, ConnectionError):
            return False

    async def play() -> None:
        async with scripted_searcher.ScriptedSearcher(echo) as searcher:
            way = loopback_proxy.LoopbackProxy(searcher.address)
            async with way:
                seen = {}
                for harm in loopback_proxy.Harm:
                    way.do_harm(harm)
                    seen[harm] = await answers(way.address)
                way.do_harm(loopback_proxy.Harm.NONE)
                assert await answers(way.address)
                assert [harm.value for harm in seen if seen[harm]] == [
                    'none',
                    'delay',
                ]

    support.run(play())


def test_a_soak_takes_addresses_that_nobody_uses():
    """A soak saw only refusals: its callers talked to another one's gateways.

    Those had been left behind by a soak that was killed, on the addresses
    that this one's seed drew; its own gateways ended at once, unseen.
    """
    with socket.socket() as left_behind:
        left_behind.bind(('127.201.77.1', 8101))
        left_behind.listen()
        assert gateway_process.free_net(200) != 201


def test_a_gateway_that_ends_with_an_error_is_seen(tmp_path):
    """A program that can't start must not pass for one that runs."""

    async def play() -> bool:
        process = gateway_process.GatewayProcess(
            'gate-1', '203.0.113.1', '127.0.0.1:1', tmp_path, 'base'
        )
        async with process:
            await process.wait()
            return process.ended_by_itself

    assert asyncio.run(play())


def test_a_searcher_crashes_just_after_its_caller_has_reset():
    """A soak ended with an OSError of its own stand-in.

    A gateway had reset a connection; its socket was closed, and the stand-in
    had not heard of it yet when it was told to crash.
    """

    async def play() -> None:
        async def never(got):
            await asyncio.sleep(5)

        searcher = scripted_searcher.ScriptedSearcher(never)
        async with searcher:
            reader, writer = await asyncio.open_connection(
                searcher.address.ip,
                searcher.address.port,
            )
            writer.write(b'GET / HTTP/1.1\r\n\r\n')
            while not searcher.got:
                await asyncio.sleep(0.01)
            connection_reset.reset(writer)
            await asyncio.sleep(0.05)
            assert searcher.connections == 1
            searcher.stop()

    asyncio.run(play())
