"""Writes log events through logbook, as text or JSON lines."""

import json
import re
import sys
from typing import Protocol

import logbook
import msgspec

from chivepond.observe import event

_UNQUOTED = re.compile(r'[\w.,:/@\[\]+-]*')
_logger = logbook.Logger('chivepond')


class TextStream(Protocol):
    """A stream that accepts log lines."""

    def write(self, text: str) -> object:
        """Write one line."""

    def flush(self) -> None:
        """Flush buffered lines."""


class Journal:
    """The log of one process, in text or JSON format."""

    __slots__ = ('_output', '_is_json')

    def __init__(
        self,
        level: str,
        log_format: str,
        stream: TextStream | None = None,
    ) -> None:
        """Log ``level`` and above to ``stream``, by default to stderr."""
        self._is_json = log_format == 'json'
        self._output = logbook.StreamHandler(
            stream or sys.stderr,
            level=level,
            format_string='{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.message}',
        )
        self._output.formatter = self._format

    def __enter__(self) -> 'Journal':
        """Start to receive the events of this process."""
        self._output.push_application()
        return self

    def __exit__(self, *unused: object) -> None:
        """Stop receiving events."""
        self._output.pop_application()

    def _format(
        self,
        record: logbook.LogRecord,
        unused: logbook.Handler,
    ) -> str:
        fields = record.extra['told']
        timestamp = record.time.isoformat(timespec='milliseconds')
        number = record.extra['number']
        if self._is_json:
            entry = {
                'time': timestamp,
                'level': record.level_name,
                'event': number,
                'text': record.message,
            }
            return msgspec.json.encode(entry | fields).decode()
        prefix = (timestamp, record.level_name, f'E{number}', record.message)
        pairs = (
            f'{name}={_quoted_if_needed(field_value)}'
            for name, field_value in fields.items()
        )
        return ' '.join((*prefix, *pairs))


def _quoted_if_needed(field_value: object) -> str:
    """Return a value for a text line, as a JSON string where needed.

    Quoting stops input with line feeds or field names from forging events.
    """
    text = str(field_value)
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=not text.isprintable())


def log(kind: event.Event, /, **fields: object) -> None:
    """Log an event with its fields."""
    _logger.log(
        kind.level,
        kind.text,
        extra={'number': kind.number, 'told': fields},
    )
