"""Prints what heartbeats cost one node, HTTP and signatures included.

Example: python -m chivepond.tools.heartbeat_cost --nodes 600

Two nodes that know a whole fleet exchange heartbeats over loopback, both in
this process. A node sends as many as it gets, so that both ends of one
exchange are what one exchange a period costs it. Bytes are those of HTTP,
without the headers of TCP and IP, and both ways.
"""

import asyncio
import contextlib
import sys
import time
from typing import Any

import result
from uvicorn.protocols.http import httptools_impl

from chivepond.entry import peers
from chivepond.settings import node_settings
from chivepond.tools import (
    console,
    exit_code,
    fleet_member,
    program_flags,
)
from chivepond.transport import (
    address,
    endpoints,
    message_signer,
    message_verifier,
    server,
    signed_application,
)
from chivepond.wire import heartbeat

_USAGE = 'heartbeat_cost: what heartbeats cost one node, with HTTP.'
_WARM_UP = 200
_EXCHANGES = 2000
#: Three of the data centre and one of the others.
_A_PERIOD = 4
#: The default of the setting heartbeat_ms.
_PERIOD_S = 0.5
_PERCENT = 100
_MICROSECONDS = 1e6
_NODES = 600
_TIMEOUT_S = 1
_PATH = '/internal/heartbeat'
_SECRET = 'heartbeat-cost'


class _CountedTransport:
    """A transport that counts what is written."""

    def __init__(self, inner: asyncio.Transport) -> None:
        """Write to ``inner``."""
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        """Pass everything else on."""
        return getattr(self._inner, name)

    def write(self, written: bytes) -> None:
        """Write and count."""
        _CountedProtocol.seen_bytes += len(written)
        self._inner.write(written)


class _CountedProtocol(httptools_impl.HttpToolsProtocol):
    """Counts the bytes of all connections, both ways."""

    seen_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Count what goes out."""
        super().connection_made(_CountedTransport(transport))

    def data_received(self, received: bytes) -> None:
        """Count what comes in."""
        _CountedProtocol.seen_bytes += len(received)
        super().data_received(received)


class _Pair:
    """A node that sends, one that answers, and the link between them."""

    def __init__(self, count: int) -> None:
        """Let both know a fleet of ``count`` nodes."""
        hosts = [fleet_member.host_of(number) for number in range(count)]
        listed = fleet_member.listed(hosts)
        self._sender = fleet_member.FleetMember(hosts[0], listed)
        self._receiver = fleet_member.FleetMember(hosts[1], listed)
        self._server = server.Server(
            signed_application.SignedApplication(
                endpoints.application(
                    [endpoints.post(_PATH, heartbeat.Heartbeat, self._answer)],
                ),
                message_verifier.of_settings(_settings(self._receiver)),
            ),
            address.Address('127.0.0.1', 0),
            1,
            _CountedProtocol,
        )

    async def exchange(self, times: int) -> None:
        """Exchange heartbeats one after the other."""
        signer = message_signer.of_settings(_settings(self._sender))
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._server)
            to = await stack.enter_async_context(
                peers.Peers(self._sender.directory, signer),
            )
            for _ in range(_WARM_UP):
                await self._beat(to)
            _CountedProtocol.seen_bytes = 0
            started = time.process_time()
            for _ in range(times):
                await self._beat(to)
            self._tell(time.process_time() - started, times)

    async def _beat(self, to: peers.Peers) -> None:
        node_id = self._receiver.host.host_id
        answer = await to.post_to(
            heartbeat.Heartbeat,
            node_id,
            str(self._server.address),
            _PATH,
            self._sender.beats.own(node_id),
            _TIMEOUT_S,
        )
        self._sender.directory.heard(answer.unwrap(), time.time(), 1)

    async def _answer(self, beat: heartbeat.Heartbeat) -> endpoints.Outcome:
        return result.Ok(self._receiver.beats.answer(beat))

    def _tell(self, used_s: float, times: int) -> None:
        exchange_s = used_s / times
        share = exchange_s * _A_PERIOD / _PERIOD_S
        one_bytes = _CountedProtocol.seen_bytes / times
        console.say(
            f'one exchange, both ends: {exchange_s * _MICROSECONDS:.0f} µs'
        )
        console.say(f'bytes of one exchange: {one_bytes:.0f}')
        console.say(
            f'a node with {_A_PERIOD} exchanges a period, sent and got: '
            f'{share * _PERCENT:.2f}% of a core, '
            f'{2 * one_bytes * _A_PERIOD / _PERIOD_S:.0f} bytes/s',
        )


def main(arguments: list[str]) -> int:
    """Print the costs; return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.number('nodes', _NODES, 'size of the fleet')
    ended = program.begin(arguments)
    if ended is not None:
        return ended
    asyncio.run(_Pair(program.flags.nodes).exchange(_EXCHANGES))
    return exit_code.ExitCode.OK


def _settings(
    one: fleet_member.FleetMember,
) -> node_settings.NodeSettings:
    return fleet_member.settings_of(one.host, _SECRET)


if __name__ == '__main__':
    sys.exit(main(sys.argv))
