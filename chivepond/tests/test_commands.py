"""Non-idempotent requests: at most once, and "not run" means not run."""

from collections.abc import Iterator

import hypothesis
import pytest
import result
from hypothesis import stateful, strategies

from chivepond.errors import problem
from chivepond.tests import command_bench

_KEYS = tuple(
    f'{command_bench.STARTED_S * 1000 + offset:013d}-abcdefgh'
    for offset in (0, 1)
)
_MAX_REQUESTS = 7
_MAX_SWEEPS = 3
_KEEP_S = 30
_NODES = strategies.sampled_from(tuple(command_bench.LIVE_BY_NODE))
_MAY_FAIL = frozenset(('outcome_unknown', 'key_expired'))


class CommandMachine(stateful.RuleBasedStateMachine):
    """A caller's stamp is repeated while everything between may fail.

    A desk sends a stamp and, hearing nothing, sends its key again through
    other nodes. Each message may arrive late, after its sender gave up,
    or not; replies get lost; nodes pause; old claims are swept. The user
    must never see two stamps, nor "not run" for one that was recorded.
    """

    def __init__(self) -> None:
        """Start the bench."""
        super().__init__()
        self.bench = command_bench.Bench()
        self.asked: list[tuple[str, object]] = []
        self.sweeps = 0
        self.has_jumped = False

    @stateful.precondition(lambda one: len(one.asked) < _MAX_REQUESTS)
    @stateful.rule(node_id=_NODES, key=strategies.sampled_from(_KEYS))
    def send(self, node_id: str, key: str) -> None:
        """Send a key, maybe again, through any node."""
        self.asked.append((key, self.bench.send(node_id, key)))
        self.bench.spin()

    @stateful.precondition(lambda one: one.bench.parked)
    @stateful.rule(
        place=strategies.integers(0, 9),
        times=strategies.sampled_from((1, 2, 4, 8, 12)),
    )
    def deliver(self, place: int, times: int) -> None:
        """Let messages arrive and be answered."""
        for _ in range(times):
            if self.bench.parked:
                self.bench.deliver(place % len(self.bench.parked))

    @stateful.precondition(lambda one: one.bench.parked)
    @stateful.rule(place=strategies.integers(0, 9))
    def lose_reply(self, place: int) -> None:
        """Let a message arrive and its reply be lost."""
        one = self._take(place)
        one.act()
        self.bench.spin()

    @stateful.precondition(lambda one: one.bench.parked)
    @stateful.rule(place=strategies.integers(0, 9))
    def reset(self, place: int) -> None:
        """Break a connection before its message arrives."""
        self.bench.reset(place % len(self.bench.parked))

    @stateful.precondition(lambda one: one._at_searcher())
    @stateful.rule()
    def refuse(self) -> None:
        """Let the searcher refuse a command without running it."""
        one = self._at_searcher()[0]
        self.bench.parked.remove(one)
        one.answer(command_bench.refused(_KEYS[0]))
        self.bench.spin()

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.1, 0.5, 1.1)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.bench.now += seconds
        self.bench.spin()

    @stateful.precondition(lambda one: one.bench.runs_by_key)
    @stateful.rule(seconds=strategies.sampled_from((50, 100)))
    def wait_long(self, seconds: int) -> None:
        """Let as much time pass as makes keys expire."""
        self.has_jumped = True
        self.bench.now += seconds
        self.bench.spin()

    @stateful.rule(node_id=_NODES)
    def pause_or_resume(self, node_id: str) -> None:
        """Stop a node between any two steps, or let it go on."""
        node = self.bench.node_by_id[node_id]
        if node.is_paused:
            node.resume()
        else:
            node.pause()
        self.bench.spin()

    @stateful.precondition(lambda one: one.has_jumped)
    @stateful.precondition(lambda one: one.sweeps < _MAX_SWEEPS)
    @stateful.rule(node_id=_NODES)
    def sweep(self, node_id: str) -> None:
        """Let a node sweep; two may think that it is their turn."""
        self.sweeps += 1
        node = self.bench.node_by_id[node_id]
        node.start(node.sweeper.sweep())
        self.bench.spin()

    @stateful.rule(retention_s=strategies.sampled_from((60, 600)))
    def change_retention(self, retention_s: int) -> None:
        """Let the auditors edit how long claims are kept."""
        self.bench.keep_for(retention_s)

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No key is ever run twice."""
        assert all(runs == 1 for runs in self.bench.runs_by_key.values())

    @stateful.invariant()
    def not_run_is_not_run(self) -> None:
        """A key that was said not to have run hasn't, and never will."""
        for key, told in self._answers():
            match told:
                case result.Err(problem.Problem(kind='not_run')):
                    assert key not in self.bench.runs_by_key

    @stateful.invariant()
    def outcomes_agree(self) -> None:
        """All answers with an outcome tell of the one run."""
        for key, told in self._answers():
            match told:
                case result.Ok(given) if given.outcome == 'done':
                    assert self.bench.runs_by_key[key] == 1
                    assert given.result == f'run 1 of {key}'

    def teardown(self) -> None:
        """Heal everything; finished keys must tell their outcome again."""
        try:
            self._heal_and_repeat()
        finally:
            self.bench.close()

    def _heal_and_repeat(self) -> None:
        for node in self.bench.node_by_id.values():
            node.resume()
        is_kept = not self.has_jumped and self.bench.now < _KEEP_S - 5
        finished = {key for key, told in self._answers() if _is_done(told)}
        self.bench.run_dry()
        for key in finished:
            again = self.bench.send('n2', key)
            self.asked.append((key, again))
            self.bench.run_dry()
            told = again.result()
            assert _is_done(told) or (
                not is_kept and told.unwrap_err().kind in _MAY_FAIL
            )
        self.runs_at_most_once()
        self.not_run_is_not_run()
        self.outcomes_agree()

    def _take(self, place: int) -> command_bench.Parked:
        parked = self.bench.parked
        return parked.pop(place % len(parked))

    def _at_searcher(self) -> list[command_bench.Parked]:
        return [one for one in self.bench.parked if one.what == 'searcher']

    def _answers(self) -> list[tuple[str, object]]:
        return [(key, task.result()) for key, task in self.asked if task.done()]


def _is_done(told: object) -> bool:
    match told:
        case result.Ok(given):
            return given.outcome == 'done'
    return False


CommandMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
)


class TestAtMostOnceAndNotRun(CommandMachine.TestCase):
    """Runs the machine."""


@pytest.fixture(name='bench')
def _bench() -> Iterator[command_bench.Bench]:
    made = command_bench.Bench()
    yield made
    made.close()


def _kind(told: object) -> str:
    match told:
        case result.Ok(given):
            return given.outcome
        case result.Err(trouble):
            return trouble.kind
    return ''


def test_not_run_is_false_once_dispatched(bench: command_bench.Bench) -> None:
    """The owner sends a stamp while its link to the entry breaks.

    A desk would see "not run", and stamp again. The entry loses the link
    after the owner marked the claim; it must follow the claim instead.
    """
    asked = bench.send('n0', _KEYS[0])
    bench.spin()
    bench.deliver_until('peer')
    bench.deliver()
    while bench.parked[-1].what != 'searcher':
        bench.deliver(1)
    bench.reset()
    bench.run_dry()
    assert _kind(asked.result()) == 'done'


def test_at_most_once_with_slow_owner(bench: command_bench.Bench) -> None:
    """The owner wakes after the entry has said "not run".

    The desk issues a new key, and would have two stamps. The owner reads
    the claim late, finds it at another version and must not send.
    """
    asked = bench.send('n0', _KEYS[0])
    bench.spin()
    bench.deliver_until('peer')
    bench.deliver()
    owner_read = bench.parked.pop()
    bench.reset()
    while not asked.done():
        bench.deliver()
    assert _kind(asked.result()) == 'not_run'
    bench.parked.append(owner_read)
    bench.run_dry()
    assert not bench.runs_by_key


def test_at_most_once_when_swept(bench: command_bench.Bench) -> None:
    """A key comes back after its claim was swept.

    The auditors raise the retention just after the sweep, so the key looks
    young enough again: without the floor it would run twice, or be told
    "not run".
    """
    bench.send('n2', _KEYS[0])
    bench.run_dry()
    bench.now += 100
    sweeper = bench.node_by_id['n2']
    sweeper.start(sweeper.sweeper.sweep())
    bench.run_dry()
    assert not bench.table.listed('claim', 0)
    bench.keep_for(600)
    asked = bench.send('n1', _KEYS[0])
    bench.run_dry()
    assert bench.runs_by_key[_KEYS[0]] == 1
    assert _kind(asked.result()) == 'key_expired'


def test_at_most_once_outcome_survives(bench: command_bench.Bench) -> None:
    """The platform fails just as an outcome is written.

    The desk repeats its key and would be told "unknown" for ever. The
    writer tries again, past the deadline if it must.
    """
    bench.send('n1', _KEYS[0])
    bench.spin()
    bench.deliver_until('searcher')
    bench.deliver()
    for _ in range(3):
        bench.reset()
    bench.run_dry()
    again = bench.send('n2', _KEYS[0])
    bench.run_dry()
    assert _kind(again.result()) == 'done'


def test_not_run_is_unproved_in_outage(bench: command_bench.Bench) -> None:
    """A key that ran is repeated while the platform is away.

    An entry that can't see the claim knows nothing of the first send; "not
    run" would make the desk stamp again.
    """
    bench.send('n2', _KEYS[0])
    bench.run_dry()
    asked = bench.send('n1', _KEYS[0])
    bench.spin()
    while bench.parked:
        bench.reset()
    assert _kind(asked.result()) == 'outcome_unknown'


def test_at_most_once_by_own_write(bench: command_bench.Bench) -> None:
    """Two nodes claim one key while the first one's writes are lost.

    Reading back finds a claim, but the other node's: the token tells. One
    that took it for its own would send a second time.
    """
    first = bench.send('n1', _KEYS[0])
    bench.spin()
    bench.reset()
    bench.send('n2', _KEYS[0])
    bench.spin()
    bench.deliver(1)
    bench.deliver(0)
    assert _kind(first.result()) == 'outcome_unknown'
    bench.run_dry()
    assert bench.runs_by_key[_KEYS[0]] == 1


def test_whole_answer_of_its_own_key(bench: command_bench.Bench) -> None:
    """A searcher's reply to another key arrives in place of this one's.

    The desk would read another member's stamp as its own.
    """
    asked = bench.send('n1', _KEYS[0])
    bench.spin()
    bench.deliver_until('searcher')
    bench.parked.pop().answer(command_bench.refused(_KEYS[1]))
    bench.run_dry()
    assert _kind(asked.result()) == 'outcome_unknown'
