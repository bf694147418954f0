"""One scheduled fault of a trial."""

import typing

import msgspec

from chivepond.load import stream
from chivepond.standins import platform_faults, searcher_faults


class FaultStep(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A fault that is applied ``at_s`` seconds into the trial.

    ``what`` is the kind of ``target``. Searchers and the platform get the
    given faults; a node, or all nodes of a data centre, stop abruptly.
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
