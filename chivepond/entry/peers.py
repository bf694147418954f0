"""Sends messages to other nodes, with one HTTP client for each address."""

import contextlib
import types
from typing import Any, Self, TypeVar

import result

from chivepond.control import directory
from chivepond.entry import drain_news
from chivepond.errors import problem, unreachable
from chivepond.transport import address, client, exchange, message_signer
from chivepond.wire import codec

Kind = TypeVar('Kind')

_MAX_CONNECTIONS = 64


class Peers:
    """Sends messages to other nodes by node id."""

    __slots__ = (
        '_client_by_address',
        '_clients',
        '_directory',
        '_signer',
        'drains',
    )

    def __init__(
        self,
        host_directory: directory.Directory,
        signer: message_signer.MessageSigner | None = None,
    ) -> None:
        """Look up addresses in the host directory; sign with ``signer``."""
        self._signer = signer
        self._directory = host_directory
        #: Draining searchers, as reported in the answers of owners.
        self.drains = drain_news.DrainNews()
        self._client_by_address: dict[str, client.Client] = {}
        self._clients = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Return the peers; clients are created on first use."""
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
        """Send a message to a node; return its answer decoded as ``kind``.

        ``unreachable`` if the host directory has no address of the node.
        """
        node = self._directory.view.node_by_id.get(node_id)
        if node is None:
            return result.Err(_unknown_address(node_id))
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
        """Send a message to a node at ``target``; return its decoded answer.

        ``unreachable`` if ``target`` is not a valid address.
        """
        node_client = self._client(target)
        if node_client is None:
            return result.Err(_unknown_address(node_id))
        body = codec.encode(message)
        headers = {}
        if self._signer is not None:
            headers = self._signer.headers(node_id, 'POST', path, body)
        answer = await node_client.post(path, body, timeout_s, headers)
        return answer.and_then(lambda reply: exchange.read(kind, reply))

    def _client(self, text: str) -> client.Client | None:
        existing_client = self._client_by_address.get(text)
        if existing_client is not None:
            return existing_client
        match address.parse(text):
            case result.Ok(target):
                new_client = client.Client(target, _MAX_CONNECTIONS)
                self._clients.push_async_exit(new_client)
                self._client_by_address[text] = new_client
                return new_client
        return None


def _unknown_address(node_id: str) -> unreachable.Unreachable:
    return unreachable.Unreachable(
        message=f'no usable address for node {node_id}',
        remedy='check whether the platform lists the node',
    )
