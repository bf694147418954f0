"""HTTP endpoints built from functions on typed messages."""

from collections.abc import Awaitable, Callable
from typing import Any

import result
from starlette import (
    applications,
    exceptions,
    requests,
    responses,
    routing,
)

from chivepond.errors import invalid, not_found, problem, quoting
from chivepond.observe import events, journal
from chivepond.transport import bodies, replies
from chivepond.wire import codec

_NOT_FOUND = 404

Outcome = result.Result[Any, problem.Problem]
Serve = Callable[[Any], Awaitable[Outcome]]


def post(
    path: str,
    message_type: type[Any],
    serve: Serve,
    max_bytes: int = bodies.MAX_PEER_BYTES,
) -> routing.Route:
    """Return a POST route that decodes the body and calls ``serve``.

    A body that is larger than ``max_bytes`` or does not decode to
    ``message_type`` is answered with an error, without calling ``serve``.
    """

    async def endpoint(request: requests.Request) -> responses.Response:
        raw = await bodies.read(request, max_bytes)
        decoded = raw.and_then(lambda body: codec.decode(message_type, body))
        if decoded.is_err():
            return replies.of_problem(decoded.unwrap_err())
        return reply(await serve(decoded.unwrap()))

    return routing.Route(path, endpoint, methods=['POST'])


def reply(outcome: Outcome) -> responses.Response:
    """Return the HTTP response for a message or an error."""
    if outcome.is_err():
        return replies.of_problem(outcome.unwrap_err())
    return replies.of_message(outcome.unwrap())


def application(routes: list[routing.BaseRoute]) -> applications.Starlette:
    """Return an application that answers every failure with an error body.

    Redirects that add or remove a trailing slash are off, so a path with a
    superfluous slash is not found: the redirect would be built from the
    host header of the request.
    """
    asgi_application = applications.Starlette(
        routes=routes,
        exception_handlers={
            Exception: _internal_error,
            exceptions.HTTPException: _not_served,
        },
    )
    asgi_application.router.redirect_slashes = False
    return asgi_application


async def _internal_error(
    request: requests.Request,
    error: Exception,
) -> responses.Response:
    journal.log(
        events.REQUEST_FAILED,
        path=request.url.path,
        error=f'{type(error).__name__}: {error}',
    )
    return replies.of_problem(
        problem.Problem(
            message='internal error of this node',
            remedy='find event 1006 in the log of this node and report it',
        ),
    )


async def _not_served(
    request: requests.Request,
    exception: Exception,
) -> responses.Response:
    """Return an error body for an unknown path or method."""
    error: problem.Problem = invalid.Invalid(
        message=f'{quoting.quoted(request.method)} is not supported here',
        remedy='see docs/INTERFACE.md for the methods',
    )
    if getattr(exception, 'status_code', 0) == _NOT_FOUND:
        error = not_found.NotFound(
            message=f'no endpoint at {quoting.quoted(_path(request))}',
            remedy='see docs/INTERFACE.md for the paths',
        )
    return replies.of_problem(error)


def _path(request: requests.Request) -> str:
    return str(request.scope['path'])
