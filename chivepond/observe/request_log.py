"""Finds the log lines of gateways that explain one request."""

import dataclasses
import datetime
import re
from collections.abc import Iterable
from typing import Any

import msgspec

from chivepond.observe import events

#: State changes up to this long before the last line may explain a request.
_LOOKBACK = datetime.timedelta(seconds=10)
#: Numbers of events that change the routing state of a gateway.
STATE_CHANGES = frozenset(
    state_change.number
    for state_change in (
        events.ROUTES_IN_FORCE,
        events.ROUTES_REFUSED,
        events.SOURCE_LOST,
        events.SOURCE_REGAINED,
        events.SYNC_SOURCE,
        events.SEARCHER_LEARNED,
        events.SEARCHER_LEAVING,
        events.SEARCHER_GONE,
        events.GATEWAY_STARTED,
        events.GATEWAY_STOPPING,
    )
)
_Fields = dict[str, Any]
_JSON_OBJECT = re.compile(r'\{.*\}\s*$')


@dataclasses.dataclass(slots=True)
class Line:
    """One log line; ``fields`` holds all but time, event and text."""

    at: datetime.datetime
    number: int
    text: str
    fields: dict[str, Any]


def read(lines: Iterable[str]) -> list[Line]:
    """Parse log lines in JSON format and sort them by time.

    Text before the JSON object, such as the prefix of a log collector, is
    ignored. Lines that cannot be parsed are skipped.
    """
    parsed_lines = (_parse_line(text) for text in lines)
    parsed = [line for line in parsed_lines if line is not None]
    return sorted(parsed, key=_at)


def related_lines(lines: list[Line], request_id: str) -> list[Line]:
    """Return the lines of one request and state changes that may explain it.

    State changes count if a gateway that handled the request logged them
    shortly before its last line, and if they name no searcher or one that
    the lines of the request name.
    """
    request_lines = [
        line for line in lines if line.fields.get('request') == request_id
    ]
    if not request_lines:
        return []
    node_ids = {line.fields.get('node') for line in request_lines}
    request_text = ' '.join([str(line.fields) for line in request_lines])
    return [
        line
        for line in lines
        if line in request_lines
        or _may_explain(line, node_ids, request_text, request_lines[-1].at)
    ]


def _may_explain(
    line: Line,
    node_ids: set[str | None],
    request_text: str,
    last_at: datetime.datetime,
) -> bool:
    if (
        line.number not in STATE_CHANGES
        or line.fields.get('node') not in node_ids
    ):
        return False
    if not last_at - _LOOKBACK <= line.at <= last_at:
        return False
    return line.fields.get('searcher', '') in request_text


def _at(line: Line) -> datetime.datetime:
    return line.at


def _parse_line(text: str) -> Line | None:
    json_part = _JSON_OBJECT.search(text)
    if json_part is None:
        return None
    try:
        fields = msgspec.json.decode(json_part[0], type=_Fields)
    except msgspec.DecodeError:
        return None
    timestamp = str(fields.pop('time', ''))
    try:
        logged_at = datetime.datetime.fromisoformat(timestamp)
    except ValueError:
        return None
    number = fields.pop('event', 0)
    return Line(logged_at, number, fields.pop('text', ''), fields)
