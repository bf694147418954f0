"""Builds HTTP responses from messages and errors."""

import math
from typing import Any

from starlette import responses

from chivepond.errors import problem
from chivepond.wire import codec, error_body, error_reply

_JSON = 'application/json'
_MS_PER_S = 1000


def of_message(message: Any) -> responses.Response:
    """Return a response with ``message`` as its JSON body."""
    return responses.Response(codec.encode(message), media_type=_JSON)


def of_problem(error: problem.Problem) -> responses.Response:
    """Return the error response, with Retry-After where it is known."""
    body = error_reply.ErrorReply(
        error=error_body.ErrorBody(
            kind=error.kind,
            message=error.message,
            remedy=error.remedy,
            retry_after_ms=error.retry_after_ms,
        ),
    )
    headers = {}
    if error.retry_after_ms is not None:
        seconds = math.ceil(error.retry_after_ms / _MS_PER_S)
        headers['retry-after'] = str(max(1, seconds))
    return responses.Response(
        codec.encode(body),
        status_code=error.status,
        headers=headers,
        media_type=_JSON,
    )
