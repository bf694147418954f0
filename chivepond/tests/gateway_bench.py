"""Runs gateways on loopback against fake stores and searchers."""

import asyncio
import contextlib
import dataclasses
import itertools
import types
from collections.abc import Callable, Mapping
from typing import Any, Self, TypeVar

from chivepond.gateway import (
    gateway,
    http_connection,
    outcome,
    routing_table,
)
from chivepond.platform import documents, headers, store_calls
from chivepond.settings import gateway_settings
from chivepond.standins import routed_store, scripted_searcher
from chivepond.transport import address

HOST = 'desk.example'
_WAIT_S = 5
_POLL_S = 0.01
_CHUNK = 65536
_LIMITS = routing_table.ClientLimits(
    header_bytes=4096,
    body_bytes=8192,
    header_timeout_s=0.3,
    idle_timeout_s=9,
)
_request_ids = itertools.count(1)

Entered = TypeVar('Entered')


def route(name: str, prefix: str, **overrides: Any) -> dict[str, Any]:
    """Return a route as operators write it, idempotent by default."""
    return documents.route(name, HOST, prefix, **overrides)


def configuration(
    version: int,
    *routes: dict[str, Any],
    connection_cap: int = 40,
) -> dict[str, Any]:
    """Return a whole configuration as operators write it."""
    return documents.configuration(
        version,
        list(routes),
        _LIMITS,
        connection_cap,
    )


def settings(**overrides: Any) -> gateway_settings.GatewaySettings:
    """Return the settings of a gateway on free ports."""
    return gateway_settings.GatewaySettings(
        **{
            'node_id': 'gate-1',
            'data_centre': 'base',
            'region_by_data_centre': {'base': 'coast', 'hub': 'inland'},
            'callers': '127.0.0.1:0',
            'readiness': '127.0.0.1:0',
            'peers': '127.0.0.1:0',
            'metrics_port': 0,
            'second_send_burst': 100000,
            'entry_settle_s': 0,
        }
        | overrides,
    )


@dataclasses.dataclass(slots=True)
class Caller:
    """A client of a gateway, with one connection."""

    connection: http_connection.HttpConnection

    async def send(self, raw: bytes) -> outcome.Outcome:
        """Send the bytes of a request, and return the outcome."""
        return await asyncio.wait_for(
            self.connection.begin(raw, b''),
            _WAIT_S,
        )

    async def get(self, path: str, **more: str) -> outcome.Outcome:
        """Send a GET request."""
        return await self.send(request('GET', path, **more))


def request(
    method: str,
    path: str,
    *,
    request_id: str = '',
    body: bytes = b'',
    left_ms: int = 1500,
    more: Mapping[str, str] = types.MappingProxyType({}),
) -> bytes:
    """Return the bytes of a request, by default with a new identifier."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'{headers.REQUEST_ID.decode()}: {request_id or next(_request_ids)}',
        f'{headers.TIME_LEFT_MS.decode()}: {left_ms}',
        *(f'{name}: {text}' for name, text in more.items()),
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Bench:
    """A store, searchers and gateways; stops them all on exit."""

    def __init__(self) -> None:
        """Create the store; entering the context starts it."""
        self.store = routed_store.RoutedStore()
        self._open = contextlib.AsyncExitStack()
        self._callers: list[Caller] = []

    async def __aenter__(self) -> Self:
        """Start the store."""
        await self._open.enter_async_context(self.store)
        return self

    async def __aexit__(self, *trace: Any) -> None:
        """Stop everything."""
        for caller in self._callers:
            caller.connection.abort()
        await self._open.aclose()

    async def searcher(
        self,
        searcher_id: str,
        service: str,
        reply: scripted_searcher.Reply,
        **overrides: Any,
    ) -> scripted_searcher.ScriptedSearcher:
        """Start a searcher and register it."""
        searcher = scripted_searcher.ScriptedSearcher(reply)
        await self._open.enter_async_context(searcher)
        self.register(searcher_id, service, searcher.address, **overrides)
        return searcher

    def register(
        self,
        searcher_id: str,
        service: str,
        searcher_address: address.Address,
        **overrides: Any,
    ) -> None:
        """Write the entry of a searcher."""
        self.store.put(
            store_calls.SEARCHERS,
            searcher_id,
            documents.searcher(service, searcher_address, **overrides),
        )

    def copy_searcher(
        self,
        searcher_id: str,
        to: routed_store.RoutedStore,
    ) -> None:
        """Write the entry of a searcher into another store as well."""
        spec = self.store.spec(store_calls.SEARCHERS, searcher_id)
        to.put(store_calls.SEARCHERS, searcher_id, spec)

    def configure(
        self,
        version: int,
        *routes: dict[str, Any],
        connection_cap: int = 40,
    ) -> None:
        """Write a configuration."""
        self.store.put(
            store_calls.CONFIGURATION,
            store_calls.CONFIGURATION_NAME,
            configuration(version, *routes, connection_cap=connection_cap),
        )

    async def ready_gateway(self, **overrides: Any) -> gateway.Gateway:
        """Start a gateway; wait until it is ready and has listed its peers."""
        started = await self.unready_gateway(**overrides)
        await until(
            lambda: started.is_ready and started.counts.is_gateways_listed,
        )
        return started

    async def hedging_gateway(self, **overrides: Any) -> gateway.Gateway:
        """Start a gateway; wait until it may use its part of the bursts."""
        started = await self.ready_gateway(**overrides)
        await until(lambda: started.counts.has_burst_part)
        return started

    async def unready_gateway(self, **overrides: Any) -> gateway.Gateway:
        """Start a gateway without waiting until it is ready."""
        started = gateway.Gateway(
            settings(
                **{'store': str(self.store.address)} | overrides,
            )
        )
        await self._open.enter_async_context(started)
        return started

    async def enter(
        self, entered: contextlib.AbstractAsyncContextManager[Entered]
    ) -> Entered:
        """Enter a context that is left when the bench stops."""
        return await self._open.enter_async_context(entered)

    async def caller(self, to: address.Address) -> Caller:
        """Connect a client to an address."""
        connection = http_connection.HttpConnection(
            headers.REQUEST_ID,
            lambda closed: None,
        )
        await asyncio.get_running_loop().create_connection(
            lambda: connection,
            to.ip,
            to.port,
        )
        self._callers.append(Caller(connection))
        return self._callers[-1]


class TcpProxy:
    """A TCP relay to an address that a test can close."""

    def __init__(self, behind: address.Address, delay_s: float = 0) -> None:
        """Relay to ``behind``, with ``delay_s`` seconds in each direction."""
        self._delay_s = delay_s
        self._behind = behind
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_connections = 0
        self._dropped_reply = b''
        self._replies_to_drop = 0
        self._delayed_request = b''
        self._request_delay_s: float = 0
        #: The number of connections accepted so far.
        self.connections = 0

    def hold_replies(self, connections: int) -> None:
        """Relay no replies on the next ``connections`` connections."""
        self._silent_connections = connections

    def drop_reply(self, marker: bytes, count: int = 1) -> None:
        """Drop the next ``count`` chunks of replies with ``marker``."""
        self._dropped_reply = marker
        self._replies_to_drop = count

    def delay_request(self, marker: bytes, delay_s: float) -> None:
        """Delay the next chunk of a request that contains ``marker``."""
        self._delayed_request = marker
        self._request_delay_s = delay_s

    async def __aenter__(self) -> Self:
        """Start the relay."""
        self._server = await asyncio.start_server(
            self._relay_connection, '127.0.0.1', 0
        )
        return self

    async def __aexit__(self, *trace: Any) -> None:
        """Stop the relay and abort its connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def address(self) -> address.Address:
        """The address on which the relay listens."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return address.Address(ip, port)

    async def _relay_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        backend = await asyncio.open_connection(
            self._behind.ip,
            self._behind.port,
        )
        self._writers.update((writer, backend[1]))
        if self._silent_connections:
            self._silent_connections -= 1
            await _relay_bytes(reader, backend[1])
            return
        await asyncio.gather(
            _relay_bytes(
                reader,
                backend[1],
                self._delay_s,
                request_delay_s=self._delay_of_request,
            ),
            _relay_bytes(backend[0], writer, self._delay_s, self._is_dropped),
            return_exceptions=True,
        )

    def _delay_of_request(self, chunk: bytes) -> float:
        if self._delayed_request and self._delayed_request in chunk:
            self._delayed_request = b''
            return self._request_delay_s
        return 0

    def _is_dropped(self, chunk: bytes) -> bool:
        is_dropped = self._replies_to_drop and self._dropped_reply in chunk
        if is_dropped:
            self._replies_to_drop -= 1
        return bool(is_dropped)


async def _relay_bytes(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    delay_s: float = 0,
    is_dropped: Callable[[bytes], bool] = lambda chunk: False,
    request_delay_s: Callable[[bytes], float] = lambda chunk: 0,
) -> None:
    with contextlib.suppress(ConnectionError, asyncio.CancelledError):
        while chunk := await reader.read(_CHUNK):
            await asyncio.sleep(delay_s + request_delay_s(chunk))
            if not is_dropped(chunk):
                writer.write(chunk)
    writer.close()


async def until(condition: Any) -> None:
    """Poll until a condition holds; raise ``TimeoutError`` after 5 s."""
    async with asyncio.timeout(_WAIT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)


def reply_of(exchange_outcome: outcome.Outcome) -> outcome.Reply:
    """Return the reply; fail the test if there is none."""
    assert isinstance(exchange_outcome, outcome.Reply), exchange_outcome
    return exchange_outcome
