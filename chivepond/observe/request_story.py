"""Finds in the logs of gateways what explains one request."""

import dataclasses
import datetime
import re
from collections.abc import Iterable
from typing import Any

import msgspec

from chivepond.observe import events

#: Changes of belief this long before a request's last line may explain it.
_BEFORE = datetime.timedelta(seconds=10)
#: Events by which a gateway changes what it believes.
BELIEFS = frozenset(
    one.number
    for one in (
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
_LINE = re.compile(r'\{.*\}\s*$')


@dataclasses.dataclass(slots=True)
class Line:
    """One line of a log."""

    at: datetime.datetime
    number: int
    text: str
    told: dict[str, Any]


def read(lines: Iterable[str]) -> list[Line]:
    """Return the lines that can be read, in the order of their times.

    What stands before the JSON object, as a prefix that collects logs, is
    passed over, and so are lines without one.
    """
    read_lines = (_read(text) for text in lines)
    found = [one for one in read_lines if one is not None]
    return sorted(found, key=_at)


def story(lines: list[Line], request_id: str) -> list[Line]:
    """Return the lines of one request, and the beliefs that explain it.

    Beliefs are of the gateways that the request touched, and of searchers
    that its lines name or that have no name.
    """
    own = [one for one in lines if one.told.get('request') == request_id]
    if not own:
        return []
    nodes = {one.told.get('node') for one in own}
    named = ' '.join([str(one.told) for one in own])
    return [
        one
        for one in lines
        if one in own or _may_explain(one, nodes, named, own[-1].at)
    ]


def _may_explain(
    line: Line,
    nodes: set[str | None],
    named: str,
    until: datetime.datetime,
) -> bool:
    if line.number not in BELIEFS or line.told.get('node') not in nodes:
        return False
    if not until - _BEFORE <= line.at <= until:
        return False
    return line.told.get('searcher', '') in named


def _at(line: Line) -> datetime.datetime:
    return line.at


def _read(text: str) -> Line | None:
    found = _LINE.search(text)
    if found is None:
        return None
    try:
        told = msgspec.json.decode(found[0], type=_Fields)
    except msgspec.DecodeError:
        return None
    stamp = str(told.pop('time', ''))
    try:
        at = datetime.datetime.fromisoformat(stamp)
    except ValueError:
        return None
    number = told.pop('event', 0)
    return Line(at, number, told.pop('text', ''), told)
