"""ASGI middleware that requires a bearer token, if one is set."""

import hmac

from starlette import requests, types

from chivepond.errors import unauthorised
from chivepond.transport import replies

_SCHEME = 'Bearer '


class TokenApplication:
    """Checks the token in front of the endpoints for operators."""

    __slots__ = ('_application', '_expected')

    def __init__(self, application: types.ASGIApp, token: str) -> None:
        """Require ``token``; an empty token turns the check off."""
        self._application = application
        self._expected = f'{_SCHEME}{token}'.encode() if token else b''

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Answer 401 to a request without the token, else pass it on."""
        if self._expected and scope['type'] == 'http':
            request = requests.Request(scope, receive)
            authorization = request.headers.get('authorization', '')
            if not hmac.compare_digest(
                authorization.encode(errors='surrogatepass'),
                self._expected,
            ):
                await replies.of_problem(_missing_token())(scope, receive, send)
                return
        await self._application(scope, receive, send)


def _missing_token() -> unauthorised.Unauthorised:
    return unauthorised.Unauthorised(
        message='the operator token is missing or not valid',
        remedy='send `Authorization: Bearer TOKEN`, or use --token_file',
    )
