"""Tests of the gateway soak: short runs, and its checks on their own."""

import asyncio
import random
import signal
import socket

import pytest

from chivepond.gateway import header_list, outcome
from chivepond.platform import headers
from chivepond.soak import (
    gateway_checks,
    gateway_process,
    gateway_soak,
    loopback_proxy,
    loopback_subnet,
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
        # Callers once reached gateways that another soak had left running.
        (2002, 5, _SECONDS),
        # A planned stop once reset connections that were opened while the
        # gateway's host was paused.
        (5011, 4, 8),
        # Shards of a search once reached a third searcher after a pause.
        (301, 4, 12),
    ],
)
def test_gateways_keep_guarantees_under_external_faults(
    seed,
    gateways,
    seconds,
    tmp_path,
):
    """Killed, paused, stopped and cut off gateways cause no violation."""

    async def run_soak() -> gateway_checks.GatewayChecks:
        soak = gateway_soak.GatewaySoak(seed, tmp_path, gateways)
        async with soak as running_soak:
            await running_soak.run(seconds)
        return running_soak.checks

    checks = asyncio.run(run_soak())
    assert not checks.violations
    assert checks.statuses[200] > 100


def _new_checks():
    ledger = searcher_ledger.SearcherLedger(random.Random(1))
    return gateway_checks.GatewayChecks(ledger), ledger


def _reply(status, body, **header_values):
    reply_headers = header_list.HeaderList()
    for name, text in header_values.items():
        reply_headers.add(getattr(headers, name), text)
    return outcome.Reply(status, reply_headers, body)


def _gathered_reply(parts, missing, drop_last=False):
    merged = [
        record
        for part in parts
        for record in searcher_ledger.records(part, b'r')
    ]
    merged = sorted(merged, reverse=True)[: gateway_checks.TOP_COUNT]
    if drop_last:
        merged.pop()
    signed = [searcher_ledger.signature(part, b'r') for part in parts]
    return _reply(
        200,
        b''.join(merged),
        PART_SIGNATURES=', '.join(signed).encode(),
        MISSING_SHARDS=b'%d' % missing,
    )


@pytest.mark.parametrize(
    ('reply', 'promise'),
    [
        (_gathered_reply('abc', 0), None),
        (_gathered_reply('ab', 1), None),
        (_gathered_reply('ab', 0), 'the reported coverage is correct'),
        (_gathered_reply('a', 2), 'coverage reaches the minimum'),
        (_gathered_reply('aab', 0), 'a caller gets exactly its own answer'),
        (_gathered_reply('abd', 0), 'a caller gets exactly its own answer'),
        (
            _gathered_reply('abc', 0, drop_last=True),
            'a gathered answer holds the top records',
        ),
    ],
)
def test_checks_report_each_kind_of_wrong_gathered_answer(reply, promise):
    """Each fault of a gathered answer is reported under its guarantee."""
    checks, _ = _new_checks()
    checks.check_gathered(b'r', _SHARDS, reply)
    guarantees = [violation.guarantee for violation in checks.violations]
    assert guarantees == [expected for expected in (promise,) if expected]


def test_checks_report_double_run_and_false_refusal():
    """A stamp that ran twice and one that ran after a refusal are reported."""
    checks, ledger = _new_checks()
    ledger.runs[('stamps', b'twice')] = 2
    ledger.runs[('stamps', b'refused')] = 1
    ledger.runs[('reads', b'again')] = 5
    checks.check_single(
        b'refused', 'stamps', _reply(503, b''), is_idempotent=False
    )
    checks.check_totals('stamps')
    guarantees = {violation.guarantee for violation in checks.violations}
    assert guarantees == {
        'a non-idempotent request runs at most once',
        'a request reported as not run has not run',
    }


def test_checks_report_excess_attempts_and_second_sends():
    """Five requests run three times each; one service exceeds the budget.

    Service ``c`` gets as many repeats as ``b``, but over 100 s instead of two.
    """
    checks, ledger = _new_checks()
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
    checks.check_totals('stamps')
    guarantees = [violation.guarantee for violation in checks.violations]
    assert guarantees == [
        'attempts stay within the limit',
        'second sends stay within the budget',
    ]
    assert checks.violations[1].observed.startswith('b: 100')


def test_proxy_applies_and_clears_each_fault():
    """Each fault but ``delay`` stops replies; clearing it restores them."""

    async def echo(request: scripted_searcher.Got) -> scripted_searcher.Told:
        return scripted_searcher.good(request, request.line)

    async def send_request(endpoint) -> bytes:
        reader, writer = await asyncio.open_connection(
            endpoint.ip, endpoint.port
        )
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        async with asyncio.timeout(0.4):
            status_line = await reader.read(9)
        writer.close()
        return status_line

    async def gets_reply(endpoint) -> bool:
        try:
            return await send_request(endpoint) == b'HTTP/1.1 '
        except (TimeoutError, ConnectionError):
            return False

    async def try_each_fault() -> None:
        async with scripted_searcher.ScriptedSearcher(echo) as searcher:
            proxy = loopback_proxy.LoopbackProxy(searcher.address)
            async with proxy:
                gets_reply_by_fault = {}
                for fault in loopback_proxy.ProxyFault:
                    proxy.apply_fault(fault)
                    gets_reply_by_fault[fault] = await gets_reply(proxy.address)
                proxy.apply_fault(loopback_proxy.ProxyFault.NONE)
                assert await gets_reply(proxy.address)
                assert [
                    fault.value
                    for fault in gets_reply_by_fault
                    if gets_reply_by_fault[fault]
                ] == [
                    'none',
                    'delay',
                ]

    support.run(try_each_fault())


@pytest.mark.parametrize(
    'ip_and_port', [('127.201.77.1', 8101), ('127.201.77.4', 8103)]
)
def test_subnet_with_an_address_in_use_is_skipped(ip_and_port):
    """Guards against callers that reach the gateways of another soak.

    A killed soak had left gateways on the addresses that the seed drew. The
    new gateways exited at once, unnoticed, and callers got only refusals.
    """
    with socket.socket() as other_socket:
        other_socket.bind(ip_and_port)
        other_socket.listen()
        with _subnet() as subnet:
            assert subnet.ip(1) != '127.201.77.1'


def test_two_soaks_reserve_different_subnets():
    """Guards against two soaks whose gateways are not listening yet."""
    with _subnet() as subnet, _subnet() as other:
        assert subnet.ip(1) != other.ip(1)


def _subnet():
    return loopback_subnet.LoopbackSubnet(200, 4, gateway_process.PORTS)


class _RecordedProcess(gateway_process.GatewayProcess):
    """Records the processes that it starts."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.started: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        await super().start()
        self.started.append(self.process)


def test_overlapping_restarts_leave_one_process(tmp_path):
    """Guards against a gateway that goes on serving after the soak.

    Two kills at the same time each started a process; the first one was
    stopped by nobody, and its requests counted as those of the fleet.
    """

    async def restart_at_once() -> int:
        with _subnet() as subnet:
            process = _RecordedProcess(
                'gate-1', subnet.ip(1), '127.0.0.1:1', tmp_path, 'base'
            )
            async with process:
                await asyncio.gather(
                    process.restart(signal.SIGKILL),
                    process.restart(signal.SIGTERM),
                    process.restart(signal.SIGKILL),
                )
            assert all(one.returncode is not None for one in process.started)
            return len(process.started)

    assert asyncio.run(restart_at_once()) == 2


def test_stop_of_a_process_that_was_killed_is_no_planned_stop(tmp_path):
    """Guards against a kill that counts as a stop which cuts requests.

    The stop follows the kill before the process has ended.
    """

    async def kill_and_stop() -> bool:
        soak = gateway_soak.GatewaySoak(1, tmp_path, 1)
        async with soak:
            killed = soak.processes[0].process
            kill = asyncio.create_task(soak._kill_gateway())
            await asyncio.sleep(0)
            assert killed.returncode is None
            stop = asyncio.create_task(soak._stop_gateway())
            await asyncio.sleep(0)
            is_planned_stop = killed in soak._stopping
            await asyncio.gather(kill, stop)
        return is_planned_stop

    assert not asyncio.run(kill_and_stop())


def test_process_that_exits_with_an_error_is_reported(tmp_path):
    """Guards against a gateway that fails to start without being noticed."""

    async def start_and_wait() -> bool:
        process = gateway_process.GatewayProcess(
            'gate-1', '203.0.113.1', '127.0.0.1:1', tmp_path, 'base'
        )
        async with process:
            await process.wait()
            return process.exited_with_error

    assert asyncio.run(start_and_wait())


def test_stand_in_stops_after_its_caller_reset_the_connection():
    """Guards against an OSError in the stand-in, which ended a soak.

    A gateway resets a connection, which closes its socket; the stand-in is
    stopped before its reader is notified.
    """

    async def reset_then_stop() -> None:
        async def never_reply(request):
            await asyncio.sleep(5)

        searcher = scripted_searcher.ScriptedSearcher(never_reply)
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

    asyncio.run(reset_then_stop())
