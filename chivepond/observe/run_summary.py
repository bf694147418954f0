"""Summarises lost answers by cause and time from the logs of gateways."""

import collections
import dataclasses
import re
from collections.abc import Iterable, Iterator

from chivepond.observe import events, request_log

#: Length of a window, in seconds; about the time until a fault shows in
#: answers.
_WINDOW_S = 2
_MAX_WINDOWS = 5
_MINUTE_S = 60
_FINAL_EVENTS = frozenset(
    final_event.number
    for final_event in (
        events.REQUEST_ANSWERED,
        events.REQUEST_ANSWERED_IN_PART,
        events.REQUEST_REFUSED,
        events.REQUEST_UNANSWERED,
    )
)
#: Matches words with digits (hosts, searchers, shards, figures), which differ
#: between requests that failed for the same reason.
_VARIABLE_PART = re.compile(r'\b[\w-]*\d[\w-]*\b')


@dataclasses.dataclass(slots=True)
class Loss:
    """The loss from one cause; ``answers`` counts a lost answer as 1."""

    cause: str
    requests: int = 0
    answers: float = 0


@dataclasses.dataclass(slots=True)
class Window:
    """The losses and state changes within one window of time."""

    start: str
    answers: float
    worst_cause: str
    #: State changes of gateways in the window, the most frequent first.
    state_changes: list[str]


@dataclasses.dataclass(slots=True)
class Summary:
    """The losses of a run by cause, which add up to its total, and by window.

    ``windows`` holds only the windows with the largest losses.
    """

    losses: list[Loss]
    windows: list[Window]
    #: Lines dropped to bound the logs, including lines of ordinary requests.
    left_out: int


def of(lines: list[request_log.Line]) -> Summary:
    """Summarise the log lines of one run."""
    loss_by_cause: dict[str, Loss] = {}
    lost_by_window: dict[int, collections.Counter[str]] = {}
    for line in lines:
        for cause, share in _causes(line):
            loss = loss_by_cause.setdefault(cause, Loss(cause))
            loss.requests += 1
            loss.answers += share
            lost_by_cause = lost_by_window.setdefault(
                _window_number(line),
                collections.Counter(),
            )
            lost_by_cause[cause] += share
    return Summary(
        sorted(loss_by_cause.values(), key=_lost_answers, reverse=True),
        _worst_windows(lines, lost_by_window),
        sum(int(line.fields.get('left_out_before', 0)) for line in lines),
    )


def _causes(line: request_log.Line) -> Iterator[tuple[str, float]]:
    """Yield the causes of loss of a request, each with its lost share."""
    if line.number not in _FINAL_EVENTS:
        return
    fields = line.fields
    if line.number == events.REQUEST_ANSWERED_IN_PART.number:
        yield from _missing_parts(
            fields.get('missing', {}), fields.get('shards', 0)
        )
    elif line.number == events.REQUEST_REFUSED.number:
        yield (f'refused: {_generalise(fields.get("reason", ""))}', 1)
    elif line.number == events.REQUEST_UNANSWERED.number:
        yield (f'failed: {_generalise(fields.get("reason", ""))}', 1)
    if fields.get('is_late'):
        yield (f'late: {_last_note_text(fields.get("notes", []))}', 1)


def _missing_parts(
    missing: dict[str, str],
    shards: int,
) -> Iterator[tuple[str, float]]:
    """Yield the loss by reason; an answer counts as the square of its share.

    With share s of its shards an answer counts s squared, so 1 - s squared
    is lost, split evenly over the missing shards.
    """
    if not missing or not shards:
        return
    covered_share = 1 - len(missing) / shards
    loss_per_part = (1 - covered_share**2) / len(missing)
    counts = collections.Counter(map(_generalise, missing.values()))
    for reason, count in counts.items():
        yield (f'parts missing: {reason}', count * loss_per_part)


def _last_note_text(notes: list[str]) -> str:
    if not notes:
        return 'one searcher'
    _, _, note = notes[-1].partition(' ')
    return _generalise(note)


def _generalise(text: str) -> str:
    return _VARIABLE_PART.sub('*', text)


def _worst_windows(
    lines: Iterable[request_log.Line],
    lost_by_window: dict[int, collections.Counter[str]],
) -> list[Window]:
    worst_first = sorted(
        lost_by_window, key=lambda window: -_total_lost(lost_by_window[window])
    )
    changes_by_window = _state_changes_by_window(lines)
    return [
        _summarise_window(
            window, lost_by_window[window], changes_by_window[window]
        )
        for window in worst_first[:_MAX_WINDOWS]
    ]


def _state_changes_by_window(
    lines: Iterable[request_log.Line],
) -> dict[int, collections.Counter[str]]:
    """Count the texts of state changes by window."""
    changes_by_window = collections.defaultdict(collections.Counter)
    for line in lines:
        if line.number in request_log.STATE_CHANGES:
            changes_by_window[_window_number(line)][line.text] += 1
    return changes_by_window


def _summarise_window(
    number: int,
    lost_by_cause: collections.Counter[str],
    changes: collections.Counter[str],
) -> Window:
    second = _WINDOW_S * number % _MINUTE_S
    return Window(
        start=f'second {second}',
        answers=_total_lost(lost_by_cause),
        worst_cause=lost_by_cause.most_common(1)[0][0],
        state_changes=[
            f'{text} {count}' for text, count in changes.most_common(3)
        ],
    )


def _window_number(line: request_log.Line) -> int:
    return int(line.at.timestamp() // _WINDOW_S)


def _lost_answers(loss: Loss) -> float:
    return loss.answers


def _total_lost(lost: collections.Counter[str]) -> float:
    return sum(lost.values())
