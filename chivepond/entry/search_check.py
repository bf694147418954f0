"""Validates search requests and builds the errors for invalid ones."""

from chivepond.control import shard_index
from chivepond.entry import cursor
from chivepond.errors import invalid, not_run, problem, quoting
from chivepond.settings import search_service
from chivepond.wire import search_request

#: Number of hits that the pages of one search can reach.
MAX_OFFSET = 1000

_RETRY_AFTER_MS = 200


def check(
    request: search_request.SearchRequest,
    service: search_service.SearchService,
    page: cursor.Cursor,
) -> invalid.Invalid | None:
    """Return the error of a search with values out of range, or None."""
    if not 1 <= request.limit <= service.max_limit:
        return invalid.Invalid(
            message=f'limit is out of range: {request.limit}',
            remedy=f'set limit from 1 to {service.max_limit} hits',
        )
    if not 0 <= page.offset <= MAX_OFFSET or request.deadline_ms < 0:
        return invalid.Invalid(
            message='the cursor or deadline_ms is out of range',
            remedy='send the cursor unchanged and a deadline_ms of 0 or more',
        )
    return None


def unknown_service(name: str) -> invalid.Invalid:
    """Return the error for a service that the configuration lacks."""
    return invalid.Invalid(
        message=f'unknown service {quoting.quoted(name)}',
        remedy='use a service that the search section defines',
    )


def snapshot_problem(
    service: str,
    version: int,
    newest: shard_index.ShardIndex | None,
) -> problem.Problem:
    """Return the error for an index version that is not available here.

    A version above ``newest`` may still reach this node, so it is reported
    as retryable. Version 0 means that the request had no cursor.
    """
    if version and newest is not None and version > newest.version:
        return not_run.NotRun(
            message=f'version {version} of {service} has not reached this node',
            remedy='retry with the same cursor',
            retry_after_ms=_RETRY_AFTER_MS,
        )
    if version:
        return invalid.Invalid(
            message=f'version {version} of {service} has been withdrawn',
            remedy='repeat the search without the cursor',
        )
    return not_run.NotRun(
        message=f'service {service} has no published index',
        remedy='publish an index, or retry once one is published',
        retry_after_ms=_RETRY_AFTER_MS,
    )
