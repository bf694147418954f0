"""Decodes the registrations that searchers write to the store."""

from typing import Literal

import msgspec
import result

from chivepond.errors import invalid
from chivepond.gateway import searcher_record
from chivepond.platform import store_codec
from chivepond.transport import address

_REMEDY = 'check which program wrote this entry; other entries are unaffected'


class _Entry(msgspec.Struct):
    service: str
    address: str
    #: The data centre; the platform calls it a zone.
    zone: str
    version: str
    slots: int
    state: Literal['ready', 'draining']
    #: Validated but not used: treating a new searcher as slower had no benefit.
    warmup_left_ms: float
    #: Counts reports, not changes, and restarts with the process.
    sequence: int
    #: Start time of the process in Unix milliseconds.
    born: int = 0


def decode(
    searcher_id: str,
    spec: bytes | msgspec.Raw,
) -> result.Result[searcher_record.SearcherRecord, invalid.Invalid]:
    """Return the searcher, or ``Invalid`` when the entry is unusable.

    An entry needs a valid address, a service and at least one slot.
    """
    decoded = store_codec.decode(spec, _Entry)
    if decoded.is_err():
        return result.Err(decoded.unwrap_err())
    entry = decoded.unwrap()
    endpoint = address.parse_remote(entry.address)
    if endpoint.is_err():
        return result.Err(endpoint.unwrap_err())
    if not searcher_id.isprintable():
        # The name becomes a header field of each request.
        return result.Err(invalid.Invalid('control byte in the name', _REMEDY))
    if entry.slots < 1 or not entry.service:
        return result.Err(
            invalid.Invalid('slots is below 1 or service is empty', _REMEDY)
        )
    return result.Ok(
        searcher_record.SearcherRecord(
            searcher_id=searcher_id,
            service=entry.service,
            address=endpoint.unwrap(),
            data_centre=entry.zone,
            slots=entry.slots,
            is_leaving=entry.state == 'draining',
            born_ms=entry.born,
            sequence=entry.sequence,
        ),
    )
