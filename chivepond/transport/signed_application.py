"""ASGI middleware that accepts signed messages only."""

import time

from starlette import requests, types

from chivepond.errors import problem
from chivepond.observe import events, journal
from chivepond.transport import bodies, message_verifier, replies

_LOG_EVERY_S = 1


class SignedApplication:
    """Verifies signatures in front of the endpoints for peers."""

    __slots__ = ('_application', '_logged_at', '_verifier', 'refused')

    def __init__(
        self,
        application: types.ASGIApp,
        verifier: message_verifier.MessageVerifier | None,
    ) -> None:
        """Wrap ``application``; without a ``verifier`` nothing is checked."""
        self._application = application
        self._verifier = verifier
        self._logged_at: float = 0
        self.refused = 0

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Answer 401 to a message that fails verification, else pass it on."""
        if self._verifier is None or scope['type'] != 'http':
            await self._application(scope, receive, send)
            return
        request = requests.Request(scope, receive)
        refusal = self._verifier.check_headers(request.headers)
        body = b''
        if refusal is None:
            body_read = await bodies.read(request, bodies.MAX_PEER_BYTES)
            if body_read.is_err():
                await self._refuse(body_read.unwrap_err(), scope, receive, send)
                return
            body = body_read.unwrap()
            refusal = self._verifier.check(
                request.method,
                scope['path'],
                request.headers,
                body,
            )
        if refusal is None:
            await self._application(scope, _BufferedBody(body, receive), send)
            return
        self.refused += 1
        self._log(request, refusal)
        await self._refuse(refusal, scope, receive, send)

    async def _refuse(
        self,
        refusal: problem.Problem,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        response = replies.of_problem(refusal)
        await response(scope, receive, send)

    def _log(self, request: requests.Request, refusal: problem.Problem) -> None:
        """Log a refusal, at most one line a second to bound the log."""
        now = time.monotonic()
        if now - self._logged_at < _LOG_EVERY_S:
            return
        self._logged_at = now
        journal.log(
            events.MESSAGE_REFUSED,
            path=request.scope['path'],
            source=request.client.host if request.client else '',
            why=refusal.message,
            refused=self.refused,
        )


class _BufferedBody:
    """An ASGI ``receive`` that replays a body that was already read."""

    __slots__ = ('_body', '_receive')

    def __init__(self, body: bytes, receive: types.Receive) -> None:
        """Return ``body`` first, then the messages of ``receive``."""
        self._body: bytes | None = body
        self._receive = receive

    async def __call__(self) -> types.Message:
        """Return the next message of the request."""
        if self._body is None:
            return await self._receive()
        body = self._body
        self._body = None
        return {'type': 'http.request', 'body': body, 'more_body': False}
