"""Background work of gateways that fails."""

import asyncio
import gc
import io
import json

import pytest

from chivepond.gateway import background_task, peers, store_sync, telemetry
from chivepond.observe import events, journal
from chivepond.platform import searcher_codec
from chivepond.standins import scripted_searcher
from chivepond.tests import gateway_bench, support


async def _echo(request: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(request, request.line)


def _faults_of(scenario) -> list[str]:
    """Run a scenario; return the unhandled exceptions that it logged."""
    stream = io.StringIO()
    with journal.Journal('INFO', 'json', stream):
        support.run(scenario())
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    return [
        line['what']
        for line in lines
        if line['event'] == events.GATEWAY_FAULT.number
    ]


def test_work_that_fails_is_logged_and_started_again(monkeypatch):
    """Guards against work that ends by an exception and stays away."""
    monkeypatch.setattr(background_task, '_RESTART_PAUSE_S', 0)
    runs = []

    async def work() -> None:
        runs.append(len(runs))
        if len(runs) < 3:
            raise LookupError('odd')

    async def scenario() -> None:
        await background_task.run(work, 'reader', telemetry.Telemetry('n'))

    assert _faults_of(scenario) == [
        "reader: LookupError('odd')",
        "reader: LookupError('odd')",
    ]
    assert runs == [0, 1, 2]


def test_an_exception_of_any_task_is_logged():
    """Guards against a task that ends by an exception and leaves no line."""

    async def fail() -> None:
        raise LookupError('odd')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            gateway = await bench.unready_gateway()
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(gateway.report_fault)
            loop.create_task(fail())
            await asyncio.sleep(0.05)
            gc.collect()
            await asyncio.sleep(0.05)

    assert any('odd' in fault for fault in _faults_of(scenario))


def _raise_once(monkeypatch, owner, name: str) -> list[str]:
    """Make the next call raise; the list is not empty once it has."""
    original = getattr(owner, name)
    raised = []

    def replaced(*args, **named):
        monkeypatch.setattr(owner, name, original)
        raised.append(name)
        raise LookupError(name)

    monkeypatch.setattr(owner, name, replaced)
    return raised


@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (searcher_codec, 'decode'),
        (store_sync.StoreSync, 'followed_gateway'),
        (peers.Peers, 'aggregator_data_centres'),
    ],
)
def test_a_gateway_follows_changes_after_an_unexpected_exception(
    monkeypatch, owner, name
):
    """Guards against a gateway that serves on and follows no change."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(
                1,
                gateway_bench.route('r', '/r/', service='desk'),
                gateway_bench.route('new', '/new/', service='new'),
            )
            gateway = await bench.ready_gateway()
            raised = _raise_once(monkeypatch, owner, name)
            await bench.searcher('s-2', 'new', _echo)
            await gateway_bench.until(lambda: raised)
            await bench.searcher('s-3', 'new', _echo)
            await gateway_bench.until(
                lambda: gateway.counts.searchers_known == 3
            )

    assert any(name in fault for fault in _faults_of(scenario))
