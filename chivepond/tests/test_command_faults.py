"""Non-idempotent requests under each pair of faults at each message."""

import contextlib
import itertools
from collections.abc import Iterator

import pytest
import result

from chivepond.errors import not_connected, problem
from chivepond.tests import command_bench

_KEY = f'{command_bench.STARTED_S * 1000:013d}-abcdefgh'
_MAX_MESSAGES = 400
_AGE_S = 100
_LONG_S = 600
_FATES = ('lose_reply', 'reset', 'hold')
_PAUSES = ('pause n0', 'pause n1')

_Faults = dict[int, str]


class _Story:
    """One key, sent through one or two nodes, and what goes wrong."""

    def __init__(self, bench: command_bench.Bench, faults: _Faults) -> None:
        """Let the message with a number meet the fate that it has."""
        self.bench = bench
        self._faults = faults
        self._held: list[command_bench.Parked] = []
        self.asked: list[object] = []
        self._message = 0

    def send(self, node_id: str) -> None:
        """Send the key through a node."""
        self.asked.append(self.bench.send(node_id, _KEY))
        self.bench.spin()

    def play(self) -> None:
        """Carry messages until all callers have their answer."""
        for _ in range(_MAX_MESSAGES):
            self._check()
            if all(one.done() for one in self.asked):
                return
            if self.bench.parked:
                self._meet(self._faults.get(self._message, ''))
                self._message += 1
            else:
                self.bench.jump()
        raise AssertionError('a caller has no answer')

    def heal(self) -> None:
        """Let nodes wake and late messages arrive, with their effects."""
        self._faults = {}
        for node in self.bench.node_by_id.values():
            node.resume()
        self.bench.spin()
        self.bench.parked.extend(self._held)
        self._held = []
        while self.bench.parked:
            self.bench.deliver()
            self._check()

    def age(self) -> None:
        """Sweep the key, then let the auditors keep claims for longer."""
        self.bench.now += _AGE_S
        node = self.bench.node_by_id['n2']
        node.start(node.sweeper.sweep())
        self.bench.spin()
        while self.bench.parked:
            self.bench.deliver()
        self.bench.keep_for(_LONG_S)

    def _meet(self, fate: str) -> None:
        if fate in _PAUSES:
            self.bench.node_by_id[fate.split()[1]].pause()
        match fate:
            case 'lose_reply':
                self.bench.parked.pop(0).act()
                self.bench.spin()
            case 'reset':
                self.bench.reset()
            case 'hold':
                self._held.append(self.bench.parked.pop(0))
            case _:
                self.bench.deliver()

    def _check(self) -> None:
        """Check all that was told so far against what ran."""
        runs = self.bench.runs_by_key.get(_KEY, 0)
        assert runs <= 1
        for one in self.asked:
            if one.done():
                _check_told(one.result(), runs)


def _check_told(told: object, runs: int) -> None:
    match told:
        case result.Ok(given) if given.outcome == 'done':
            assert (given.result, runs) == (f'run 1 of {_KEY}', 1)
        case result.Err(problem.Problem(kind='not_run')):
            assert runs == 0


def _pairs(messages: int, fates: tuple[str, ...]) -> Iterator[_Faults]:
    """Return every one and every two faults among the first messages."""
    for fate in itertools.product(fates, fates):
        for place in itertools.combinations(range(messages), 2):
            yield dict(zip(place, fate, strict=True))


def _play(faults: _Faults, first: tuple[str, ...], *, is_aged: bool) -> None:
    with contextlib.closing(command_bench.Bench()) as bench:
        story = _Story(bench, faults)
        for node_id in first:
            story.send(node_id)
        story.play()
        if is_aged:
            story.age()
        for node_id in ('n2', 'n1'):
            story.send(node_id)
            story.play()
            story.heal()
        _check_repeat(story, is_aged=is_aged)


def _check_repeat(story: _Story, *, is_aged: bool) -> None:
    """Check that a finished key tells its outcome, once all is healed."""
    told = [one.result() for one in story.asked]
    was_done = any(one.is_ok() for one in told[:-1])
    if was_done and not is_aged:
        assert told[-1].is_ok()


def test_at_most_once_and_not_run_with_two_faults() -> None:
    """A stamp meets two faults on its way, and is repeated elsewhere.

    Each of its first messages is lost before it arrives, loses its reply,
    or comes late, after its sender gave up; a node sleeps from then on. The
    desk sends the key again through two other nodes. It never sees two
    stamps, nor "not run" for one that is there, nor another outcome.
    """
    for faults in _pairs(10, (*_FATES, *_PAUSES)):
        _play(faults, ('n0',), is_aged=False)


def test_at_most_once_and_not_run_when_swept_under_faults() -> None:
    """The same, and its claim is swept before the repeat.

    The auditors raise the retention just then, so that the key looks young
    again: a late message, or the repeat, must not run it anew.
    """
    for faults in _pairs(10, _FATES):
        _play(faults, ('n0',), is_aged=True)


def test_at_most_once_through_two_nodes_with_two_faults() -> None:
    """A desk's retry runs at the same time through another node."""
    for faults in _pairs(16, _FATES):
        _play(faults, ('n0', 'n2'), is_aged=False)


@pytest.fixture(name='bench')
def _bench() -> Iterator[command_bench.Bench]:
    made = command_bench.Bench()
    yield made
    made.close()


def test_not_run_when_the_searcher_is_gone(bench: command_bench.Bench) -> None:
    """A searcher's process is gone; its connect is refused.

    Nothing was sent, so the desk is told "not run" and may stamp again,
    in place of asking for ever whether it did. The claim says so first.
    """
    asked = bench.send('n1', _KEY)
    bench.spin()
    bench.deliver_until('searcher')
    gone = not_connected.NotConnected(message='refused', remedy='start it')
    bench.parked.pop().answer(result.Err(gone))
    bench.spin()
    assert not asked.done()
    bench.run_dry()
    assert asked.result().unwrap_err().kind == 'not_run'
    again = bench.send('n2', _KEY)
    bench.run_dry()
    assert again.result().unwrap_err().kind == 'not_run'
    assert not bench.runs_by_key


def test_not_run_is_not_awaited_in_outage(bench: command_bench.Bench) -> None:
    """The platform is known to be away when a stamp is sent.

    Waiting for it keeps the desk for seconds with no better answer. It is
    told at once, with when to come back, while one look goes out.
    """
    bench.node_by_id['n1'].platform_line.is_away = True
    for _ in range(3):
        asked = bench.send('n1', _KEY)
        bench.spin()
        trouble = asked.result().unwrap_err()
        assert trouble.kind == 'outcome_unknown'
        assert trouble.retry_after_ms
    assert len(bench.parked) == 1
