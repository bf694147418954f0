"""What callers were told of each request key, against what ran."""

from collections.abc import Iterator

import result

from chivepond.errors import problem
from chivepond.wire import command_answer

AT_MOST_ONCE = 'non-idempotent at most once'
NOT_RUN = '"not run" means not run'
SAME_OUTCOME = 'a repeat gets the same outcome'

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class CommandLedger:
    """Keeps all answers by key; checked once all work has ended."""

    __slots__ = ('_answers_by_key',)

    def __init__(self) -> None:
        """Start with no keys."""
        self._answers_by_key: dict[str, list[_Answer]] = {}

    def told(self, key: str, answer: _Answer) -> None:
        """Keep what a caller was told of a key."""
        self._answers_by_key.setdefault(key, []).append(answer)

    def keys(self) -> list[str]:
        """Return all keys that were sent."""
        return list(self._answers_by_key)

    def broken(
        self,
        runs_by_key: dict[str, int],
    ) -> Iterator[tuple[str, str]]:
        """Yield each broken promise, and what was seen."""
        for key, answers in self._answers_by_key.items():
            runs = runs_by_key.get(key, 0)
            outcomes = {_outcome(one) for one in answers}
            for promise in _broken_promises(outcomes, runs):
                yield promise, f'{key} ran {runs} times, {outcomes}'


def _broken_promises(outcomes: set[str], runs: int) -> Iterator[str]:
    if runs > 1:
        yield AT_MOST_ONCE
    if 'not_run' in outcomes and runs:
        yield NOT_RUN
    done = [one for one in outcomes if one.startswith('done')]
    if len(done) > 1 or (done and not runs):
        yield SAME_OUTCOME


def _outcome(answer: _Answer) -> str:
    match answer:
        case result.Ok(given):
            return f'{given.outcome} {given.result}'.strip()
    return answer.unwrap_err().kind
