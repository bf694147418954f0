"""Compares the outcomes that callers received for a key with its runs."""

from collections.abc import Iterator

import result

from chivepond.errors import problem
from chivepond.wire import command_answer

AT_MOST_ONCE = 'a non-idempotent command runs at most once'
NOT_RUN = 'a command reported as not run has not run'
SAME_OUTCOME = 'repeats of a key get the same outcome'

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class CommandLedger:
    """Collects all answers by key, to be checked after all commands ended."""

    __slots__ = ('_answers_by_key',)

    def __init__(self) -> None:
        """Start without answers."""
        self._answers_by_key: dict[str, list[_Answer]] = {}

    def record(self, key: str, answer: _Answer) -> None:
        """Add an answer or an error that a caller received for a key."""
        self._answers_by_key.setdefault(key, []).append(answer)

    def keys(self) -> list[str]:
        """Return all keys that were sent, in order of their first answer."""
        return list(self._answers_by_key)

    def find_violations(
        self,
        runs_by_key: dict[str, int],
    ) -> Iterator[tuple[str, str]]:
        """Yield each violated guarantee, and what was observed.

        ``runs_by_key`` counts how often the searchers ran each key.
        """
        for key, answers in self._answers_by_key.items():
            runs = runs_by_key.get(key, 0)
            outcomes = {_outcome(answer) for answer in answers}
            for guarantee in _violated_guarantees(outcomes, runs):
                yield (
                    guarantee,
                    f'{key} ran {runs} times with outcomes {outcomes}',
                )


def _violated_guarantees(outcomes: set[str], runs: int) -> Iterator[str]:
    if runs > 1:
        yield AT_MOST_ONCE
    if 'not_run' in outcomes and runs:
        yield NOT_RUN
    done_outcomes = [
        outcome for outcome in outcomes if outcome.startswith('done')
    ]
    if len(done_outcomes) > 1 or (done_outcomes and not runs):
        yield SAME_OUTCOME


def _outcome(answer: _Answer) -> str:
    match answer:
        case result.Ok(reply):
            return f'{reply.outcome} {reply.result}'.strip()
    return answer.unwrap_err().kind
