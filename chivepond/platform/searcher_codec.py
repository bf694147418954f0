"""Decodes what searchers register of themselves."""

from typing import Literal

import msgspec
import result

from chivepond.errors import invalid
from chivepond.gateway import searcher_record
from chivepond.transport import address

_REMEDY = 'see which program writes to the list; the other entries hold'


class _Entry(msgspec.Struct):
    service: str
    address: str
    #: The data centre; the platform calls it a zone.
    zone: str
    version: str
    slots: int
    state: Literal['ready', 'draining']
    #: Checked, and not used: to count a new searcher as slower gained nothing.
    warmup_left_ms: float
    #: Counts reports, not changes; it starts anew with each life.
    sequence: int
    #: Unix milliseconds of the start of this life.
    born: int = 0


def decode(
    searcher_id: str,
    spec: bytes | msgspec.Raw,
) -> result.Result[searcher_record.SearcherRecord, invalid.Invalid]:
    """Return the searcher, or why the entry names none that can be used."""
    try:
        told = msgspec.json.decode(spec, type=_Entry)
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(invalid.Invalid(str(error), _REMEDY))
    place = address.parse(told.address)
    if place.is_err():
        return result.Err(place.unwrap_err())
    if told.slots < 1 or not told.service:
        return result.Err(invalid.Invalid('no slots or no service', _REMEDY))
    return result.Ok(
        searcher_record.SearcherRecord(
            searcher_id=searcher_id,
            service=told.service,
            address=place.unwrap(),
            data_centre=told.zone,
            slots=told.slots,
            is_leaving=told.state == 'draining',
            born_ms=told.born,
            sequence=told.sequence,
        ),
    )
