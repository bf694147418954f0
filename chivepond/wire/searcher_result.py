"""A searcher's reply to a non-idempotent request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherResult:
    """The reply to POST /v1/command.

    ``outcome`` is ``done``, or ``refused`` if the request certainly did not
    run.
    """

    key: str
    outcome: str
    result: str = ''
    retry_after_ms: int = 0
