"""One line of the timetable of faults."""

import typing

import msgspec

from chivepond.load import stream
from chivepond.standins import platform_faults, searcher_faults


class FaultStep(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What changes ``at_s`` seconds into the trial.

    ``what`` says whether ``target`` is a searcher, the platform, a node
    that is cut off at once, or a data centre whose nodes all are.
    """

    at_s: typing.Annotated[float, msgspec.Meta(ge=0, le=stream.MAX_S)]
    what: typing.Literal['searcher', 'platform', 'node', 'data_centre']
    target: str = ''
    searcher: searcher_faults.SearcherFaults = msgspec.field(
        default_factory=searcher_faults.SearcherFaults,
    )
    platform: platform_faults.PlatformFaults = msgspec.field(
        default_factory=platform_faults.PlatformFaults,
    )
