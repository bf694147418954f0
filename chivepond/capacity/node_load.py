"""What the fleet's size comes to on one node, by the measured lines."""

from chivepond.capacity import fleet, reading, share

_HITS = 10
_BATCH_SIZES = (16, 64)


def shares(
    size: fleet.Fleet,
    reading_by_name: dict[str, reading.Reading],
) -> list[share.Share]:
    """Return the data path's work on one node.

    A sub-query is counted by the slope of the owner's whole path, a batch
    by what it costs before its first sub-query.
    """
    searches = size.searches_a_node
    messages = size.owner_messages_a_node
    entry = reading_by_name['entry'].slope()
    exchange = reading_by_name['exchange'].slope()
    stream = reading_by_name['stream'].slope()
    return [
        share.Share(
            f'searches at their entry, {size.owners_a_search:.0f} owners each',
            searches,
            entry.at(size.owners_a_search),
        ),
        share.Share('exchanges between nodes', messages, exchange.at(_HITS)),
        share.Share(
            'the same as streamed messages (not built)',
            messages * 2,
            stream.per_unit,
        ),
        share.Share(
            'sub-queries at their owner',
            size.sub_queries_a_node,
            reading_by_name['owner'].slope().per_unit,
        ),
        *(_batches(size, reading_by_name, entries) for entries in _BATCH_SIZES),
    ]


def _batches(
    size: fleet.Fleet,
    reading_by_name: dict[str, reading.Reading],
    entries: int,
) -> share.Share:
    return share.Share(
        f'batches of {entries}, besides their sub-queries',
        size.batches_a_node(entries),
        reading_by_name['batch'].slope().fixed,
    )
