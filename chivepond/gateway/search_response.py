"""Builds the response to a search from the results of its shards."""

import asyncio

from chivepond.gateway import (
    client_response,
    merge,
    search,
    shard_results,
    shutdown,
    single_request,
)
from chivepond.platform import headers

_OK = 200
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504


def of(
    client_search: search.Search, collected: shard_results.ShardResults
) -> client_response.ClientResponse:
    """Return the merged response, or an error if too few shards replied.

    The error is 504 after the deadline, 502 if a searcher may have run the
    search, and 503 only if none did: clients may safely repeat that.
    """
    if collected.is_enough:
        return _success(client_search, collected)
    if asyncio.get_running_loop().time() >= client_search.deadline:
        return _with_reasons(
            client_response.refusal(_TIMED_OUT, _coverage_message(collected)),
            collected,
        )
    if collected.may_have_run:
        response = client_response.refusal(
            _BAD_GATEWAY, _coverage_message(collected)
        )
        return _with_reasons(response, collected)
    return not_run(collected)


def interrupted(
    client_search: search.Search, collected: shard_results.ShardResults
) -> client_response.ClientResponse:
    """Return the response to a search that ends with its gateway.

    Results that are in are returned if there are enough.
    """
    if collected.is_enough:
        return _success(client_search, collected)
    if client_search.request.may_have_run:
        response = client_response.refusal(_BAD_GATEWAY, shutdown.REASON)
        return _with_reasons(response, collected)
    return not_run(collected)


def not_run(
    collected: shard_results.ShardResults,
) -> client_response.ClientResponse:
    """Return the 503 response for a search that no searcher ran or will run."""
    response = client_response.refusal(
        _UNAVAILABLE,
        _coverage_message(collected),
        single_request.RETRY_AFTER_S,
    )
    return _with_reasons(response, collected)


def _success(
    client_search: search.Search,
    collected: shard_results.ShardResults,
) -> client_response.ClientResponse:
    signatures = b', '.join(collected.signature_by_shard.values())
    return client_response.ClientResponse(
        status=_OK,
        headers=[
            (headers.REQUEST_ID, client_search.request.request_id),
            (headers.PART_SIGNATURES, signatures),
            (headers.MISSING_SHARDS, b'%d' % collected.missing),
        ],
        body=merge.greatest(collected.bodies, client_search.target.top_count),
        reason_by_shard=collected.missing_reasons(),
    )


def _coverage_message(collected: shard_results.ShardResults) -> str:
    received = len(collected.signature_by_shard)
    return f'{received} of {len(collected.shards)} shards replied'


def _with_reasons(
    response: client_response.ClientResponse,
    collected: shard_results.ShardResults,
) -> client_response.ClientResponse:
    response.reason_by_shard = collected.missing_reasons()
    return response
