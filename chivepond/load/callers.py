"""Callers that reach the entry hosts through the platform's balancer."""

import contextlib
import secrets
import time
import types
from typing import Self

import result

from chivepond.errors import problem
from chivepond.load import arrival
from chivepond.transport import address, client, exchange
from chivepond.wire import (
    command_answer,
    command_request,
    search_answer,
    search_request,
)

_CONNECTIONS = 256
_MS_PER_S = 1000
_KEY_BYTES = 9

SearchOutcome = result.Result[search_answer.SearchAnswer, problem.Problem]
CommandOutcome = result.Result[command_answer.CommandAnswer, problem.Problem]


class Callers:
    """Holds one client for each entry host that the balancer lists."""

    __slots__ = ('_clients', '_stack', '_timeout_s')

    def __init__(
        self,
        targets: list[address.Address],
        timeout_s: float,
    ) -> None:
        """Create one client per target; requests time out in ``timeout_s``."""
        self._stack = contextlib.AsyncExitStack()
        self._clients = [
            client.Client(target, _CONNECTIONS) for target in targets
        ]
        self._timeout_s = timeout_s

    async def __aenter__(self) -> Self:
        """Open the clients."""
        for http_client in self._clients:
            await self._stack.enter_async_context(http_client)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._stack.aclose()

    def remove_target(self, target: address.Address) -> None:
        """Send no further requests to an entry host."""
        self._clients = [
            http_client
            for http_client in self._clients
            if http_client.target != target
        ]

    def new_key(self) -> str:
        """Return a unique key for a new command, with its issue time in ms."""
        issued_ms = int(time.time() * _MS_PER_S)
        return f'{issued_ms}-{secrets.token_urlsafe(_KEY_BYTES)}'

    async def search(self, planned: arrival.Arrival) -> SearchOutcome:
        """Send a search through its entry host."""
        return await exchange.post(
            search_answer.SearchAnswer,
            self._client(planned),
            '/v1/search',
            build_request(planned),
            self._timeout_s,
        )

    async def command(
        self, planned: arrival.Arrival, key: str
    ) -> CommandOutcome:
        """Send a command through its entry host."""
        return await exchange.post(
            command_answer.CommandAnswer,
            self._client(planned),
            '/v1/commands',
            command_request.CommandRequest(
                service=planned.stream.service,
                key=key,
                shard_key=key,
                body=planned.stream.query,
                caller=planned.caller,
            ),
            self._timeout_s,
        )

    def _client(self, planned: arrival.Arrival) -> client.Client:
        return self._clients[planned.entry_number % len(self._clients)]


def build_request(planned: arrival.Arrival) -> search_request.SearchRequest:
    """Return the search request for a scheduled arrival."""
    config = planned.stream
    return search_request.SearchRequest(
        service=config.service,
        query=config.query,
        caller=planned.caller,
        limit=config.limit,
        request_class=config.request_class,
    )
