"""Exchanges with other nodes, one client each."""

import contextlib
import types
from typing import Any, Self, TypeVar

import result

from chivepond.control import directory
from chivepond.errors import problem, unreachable
from chivepond.transport import address, client, exchange, message_signer
from chivepond.wire import codec

Kind = TypeVar('Kind')

_CONNECTIONS = 64


class Peers:
    """Reaches the other nodes by their ids."""

    __slots__ = ('_client_by_address', '_clients', '_directory', '_signer')

    def __init__(
        self,
        hosts: directory.Directory,
        signer: message_signer.MessageSigner | None = None,
    ) -> None:
        """Find addresses in the view of this node; sign by ``signer``."""
        self._signer = signer
        self._directory = hosts
        self._client_by_address: dict[str, client.Client] = {}
        self._clients = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Return the peers; clients are made when they are needed."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._clients.aclose()

    async def post(
        self,
        kind: type[Kind],
        node_id: str,
        path: str,
        message: Any,
        timeout_s: float,
    ) -> result.Result[Kind, problem.Problem]:
        """Send a message to a node and return its typed answer."""
        node = self._directory.view.node_by_id.get(node_id)
        if node is None:
            return result.Err(_unknown(node_id))
        return await self.post_to(
            kind,
            node_id,
            node.address,
            path,
            message,
            timeout_s,
        )

    async def post_to(
        self,
        kind: type[Kind],
        node_id: str,
        target: str,
        path: str,
        message: Any,
        timeout_s: float,
    ) -> result.Result[Kind, problem.Problem]:
        """Send to a node at a known address; return its typed answer."""
        to = self._client(target)
        if to is None:
            return result.Err(_unknown(node_id))
        body = codec.encode(message)
        headers = {}
        if self._signer is not None:
            headers = self._signer.headers(node_id, 'POST', path, body)
        answer = await to.post(path, body, timeout_s, headers)
        return answer.and_then(lambda got: exchange.read(kind, got))

    def _client(self, text: str) -> client.Client | None:
        found = self._client_by_address.get(text)
        if found is not None:
            return found
        match address.parse(text):
            case result.Ok(target):
                made = client.Client(target, _CONNECTIONS)
                self._clients.push_async_exit(made)
                self._client_by_address[text] = made
                return made
        return None


def _unknown(node_id: str) -> unreachable.Unreachable:
    return unreachable.Unreachable(
        message=f'no address is known of node {node_id}',
        remedy='see whether the platform lists it',
    )
