"""The catalogue of events as a table, for docs/EVENTS.md."""

import inspect

from chivepond.observe import event, events


_HEADER = """# Events

Written by `chivepond events`; a test keeps the two in step.

Each line of the log has a number, which keeps its meaning for ever. With
`log_format: json` a line is an object with `time`, `level`, `event` (the
number), `text`, and the fields of the event; with `text` it is the same for
people. Times are UTC.

Events 3001 and 3002 are the proof of a search: `request_id`, `service`,
`node`, `revision` (the configuration in force), `attempts` (sub-queries sent,
repeats and hedges included), `snapshot` (index@version), `took_ms`, and
`query_digest` where the audit section has `query_digests` on; an answer has
`total`, `covered`, `missing` (a count) and `missing_shards` (the first 20 as
shard:reason), a refusal its `kind`. The digest is HMAC-SHA256 of the query
under the node's `secret`, its first 32 hexadecimal digits: who holds the
secret can check a query against it, others can't guess names; on a node
without a `secret` they can. No other data of callers is kept. In lines for
people, a value that holds spaces or the like stands in quotes. A body that
could not be read as a search leaves no proof.
"""


def catalogue() -> list[event.Event]:
    """Return all events, by number."""
    catalogued = [
        entry
        for _, entry in inspect.getmembers(events)
        if isinstance(entry, event.Event)
    ]
    return sorted(catalogued, key=lambda entry: entry.number)


def table() -> str:
    """Return the table in Markdown, which is the whole of docs/EVENTS.md."""
    lines = [
        _HEADER,
        '| number | level | text | meaning |',
        '| --- | --- | --- | --- |',
    ]
    lines.extend(
        f'| {entry.number} | {entry.level} | {entry.text} | {entry.meaning} |'
        for entry in catalogue()
    )
    return '\n'.join(lines)
