"""An application that takes signed messages only."""

import time

from starlette import requests, types

from chivepond.errors import problem
from chivepond.observe import events, journal
from chivepond.transport import bodies, message_verifier, replies

_LOG_EVERY_S = 1


class SignedApplication:
    """Stands before the application of the peers' endpoints."""

    __slots__ = ('_application', '_logged_at', '_verifier', 'refused')

    def __init__(
        self,
        application: types.ASGIApp,
        verifier: message_verifier.MessageVerifier | None,
    ) -> None:
        """Pass everything on when there is no ``verifier``."""
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
        """Refuse a message whose signature is wrong, else pass it on."""
        if self._verifier is None or scope['type'] != 'http':
            await self._application(scope, receive, send)
            return
        request = requests.Request(scope, receive)
        wrong = self._verifier.check_head(request.headers)
        body = b''
        if wrong is None:
            read = await bodies.read(request, bodies.MAX_PEER_BYTES)
            if read.is_err():
                await self._refuse(read.unwrap_err(), scope, receive, send)
                return
            body = read.unwrap()
            wrong = self._verifier.check(
                request.method,
                scope['path'],
                request.headers,
                body,
            )
        if wrong is None:
            await self._application(scope, _Again(body, receive), send)
            return
        self.refused += 1
        self._log(request, wrong)
        await self._refuse(wrong, scope, receive, send)

    async def _refuse(
        self,
        wrong: problem.Problem,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        response = replies.of_problem(wrong)
        await response(scope, receive, send)

    def _log(self, request: requests.Request, wrong: problem.Problem) -> None:
        """Write one line a second at most; a flood must not fill the log."""
        now = time.monotonic()
        if now - self._logged_at < _LOG_EVERY_S:
            return
        self._logged_at = now
        journal.log(
            events.MESSAGE_REFUSED,
            path=request.scope['path'],
            source=request.client.host if request.client else '',
            why=wrong.message,
            refused=self.refused,
        )


class _Again:
    """Gives the application a body that was read before."""

    __slots__ = ('_body', '_receive')

    def __init__(self, body: bytes, receive: types.Receive) -> None:
        """Give ``body`` first, then what ``receive`` gives."""
        self._body: bytes | None = body
        self._receive = receive

    async def __call__(self) -> types.Message:
        """Return the next message of the request."""
        if self._body is None:
            return await self._receive()
        body = self._body
        self._body = None
        return {'type': 'http.request', 'body': body, 'more_body': False}
