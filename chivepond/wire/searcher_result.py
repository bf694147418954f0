"""What a searcher says of a non-idempotent request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherResult:
    """The outcome of one POST /v1/command.

    ``outcome`` is ``done``, or ``refused`` when it was certainly not run.
    """

    key: str
    outcome: str
    result: str = ''
    retry_after_ms: int = 0
