"""A node: its entry, owner and control parts and its HTTP servers."""

import asyncio
import contextlib
import random
import resource
import types
from typing import Self

from chivepond.control import (
    acceptor,
    catalog,
    claim_store,
    configuration,
    directory,
    editor,
    heartbeats,
    object_cache,
    relay,
    status_board,
    status_writer,
)
from chivepond.control import application as operator_application
from chivepond.entry import application as entry_application
from chivepond.entry import (
    admitted_commands,
    claim_sweeper,
    commands,
    peers,
    searches,
)
from chivepond.observe import (
    burn,
    events,
    journal,
    memory_refusals,
    metrics,
    node_gauges,
    telemetry,
)
from chivepond.owner import application as peer_application
from chivepond.owner import command_runner, owner
from chivepond.object_store import client as platform_client
from chivepond.settings import node_settings
from chivepond.transport import (
    address,
    message_signer,
    message_verifier,
    node_protocol,
    request_memory,
    server,
    signed_application,
    token_application,
)
from chivepond.wire import host, node_burn, node_status

_MS_PER_S = 1000
_SHUTDOWN_MARGIN_S = 1
#: Maximum share of the file descriptors for connections to one server.
_DESCRIPTOR_SHARE = 0.5


class Node:
    """A context manager: entering starts the node, exiting stops it.

    A stop waits for requests in flight.
    """

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        """Create the parts and servers; nothing is sent or accepted yet."""
        self.settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._loops: list[asyncio.Task[None]] = []
        self._is_leaving = False
        rng = random.Random()
        self.cache = object_cache.ObjectCache()
        self.configuration = configuration.Configuration(self.cache)
        self.catalog = catalog.Catalog(self.cache)
        self.directory = directory.Directory(settings, self.cache)
        self.platform = platform_client.PlatformClient(
            address.parse(settings.platform).unwrap(),
            settings.platform_timeout_ms / _MS_PER_S,
        )
        claims = claim_store.ClaimStore(self.platform)
        self.telemetry = telemetry.Telemetry(
            settings,
            self.configuration,
            lambda: self.platform.is_away,
        )
        self.metrics = metrics.Metrics(self.telemetry, self.gauges)
        self.peers = self._make_peers()
        self.owner = owner.Owner(self.configuration, self.directory, rng)
        runner = command_runner.CommandRunner(self.owner, claims)
        self._runner = runner
        self._sweeper = claim_sweeper.ClaimSweeper(
            settings,
            self.configuration,
            self.directory,
            claims,
        )
        self.searches = searches.Searches(
            settings,
            self.configuration,
            self.catalog,
            self.directory,
            self.peers,
            self.owner,
            self.telemetry,
        )
        self.commands = commands.Commands(
            settings,
            self.configuration,
            self.catalog,
            self.directory,
            self.peers,
            claims,
            runner,
            self.telemetry,
        )
        board = status_board.StatusBoard(
            settings,
            self.configuration,
            self.directory,
            self.owner.state_by_searcher,
        )
        self.status_writer = status_writer.StatusWriter(
            settings,
            self.platform,
            self.directory,
            board,
        )
        self.heartbeats = heartbeats.Heartbeats(
            settings,
            self.cache,
            board,
            self.directory,
            self.peers,
            rng,
        )
        self.relay = relay.Relay(
            settings,
            self.platform,
            self.cache,
            self.directory,
            rng,
        )
        self.acceptor = acceptor.Acceptor(
            self.platform,
            self.cache,
            lambda: self.relay.is_relay,
            rng,
        )
        self._memory_refusals = memory_refusals.MemoryRefusals()
        self._request_memory = request_memory.RequestMemory(
            settings.memory_mb,
            settings.request_memory_share,
            self._memory_refusals.add,
        )
        caller_app = entry_application.EntryApplication(
            self.searches,
            admitted_commands.AdmittedCommands(
                self.commands,
                self.searches.gate,
                self.telemetry,
            ),
            self.waits_for,
            self.metrics,
        )
        peer_app = peer_application.PeerApplication(
            self.owner,
            runner,
            self.heartbeats,
        )
        operator_app = operator_application.OperatorApplication(
            editor.Editor(self.platform),
            self.status,
            lambda: self.status_writer.show(self.status()),
            self.burn,
            self.metrics,
        )
        self.caller_server = server.Server(
            caller_app.build(),
            address.parse(settings.callers).unwrap(),
            settings.shutdown_grace_ms / _MS_PER_S,
            self._protocol(),
        )
        self.signed = signed_application.SignedApplication(
            peer_app.build(),
            message_verifier.of_settings(settings),
        )
        self.peer_server = server.Server(
            self.signed,
            address.parse(settings.peers).unwrap(),
            settings.shutdown_grace_ms / _MS_PER_S,
            self._protocol(),
        )

        self.operator_server = server.Server(
            token_application.TokenApplication(
                operator_app.build(),
                settings.operators_token,
            ),
            address.parse(settings.operators).unwrap(),
            settings.shutdown_grace_ms / _MS_PER_S,
            self._protocol(),
        )

    async def __aenter__(self) -> Self:
        """Start the servers and the background tasks for platform and peers."""
        for part in (self.platform, self.peers, self.owner, self._runner):
            await self._stack.enter_async_context(part)
        await self._stack.enter_async_context(self.peer_server)
        self.directory.own_host = self._own_host()
        await self._stack.enter_async_context(self.operator_server)
        await self._stack.enter_async_context(self.caller_server)
        self._loops = [
            asyncio.create_task(self.relay.run()),
            asyncio.create_task(self.heartbeats.run()),
            asyncio.create_task(self.acceptor.run()),
            asyncio.create_task(self._sweeper.run()),
            asyncio.create_task(self.status_writer.run()),
        ]
        journal.log(
            events.NODE_STARTED,
            node=self.settings.node_id,
            callers=str(self.caller_server.address),
            peers=str(self.peer_server.address),
            operators=str(self.operator_server.address),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop the node without cutting a request.

        The load balancer and the peers keep sending for a while after a node
        reports that it leaves. The node therefore goes on serving for the
        balancer's lag, then finishes requests in flight, and closes its
        connections last. An immediate stop would break responses.
        """
        journal.log(events.NODE_STOPPING, node=self.settings.node_id)
        self._is_leaving = True
        await self.heartbeats.leave()
        await asyncio.sleep(self.settings.balancer_lag_ms / _MS_PER_S)
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        self._extend_shutdown_grace()
        await self._stack.aclose()
        journal.log(events.NODE_STOPPED, node=self.settings.node_id)

    def waits_for(self) -> str:
        """Return why this node isn't ready, empty when it is ready."""
        if self._is_leaving:
            return 'leaving: a planned stop is under way'
        if not self.configuration.revision:
            return 'an accepted configuration, from the platform or a peer'
        if not self.directory.view.searcher_by_id:
            return 'the list of hosts, from the platform or a peer'
        return ''

    def status(self) -> node_status.NodeStatus:
        """Return the status that operators see of this node."""
        view = self.directory.view
        live = view.live_by_data_centre.get(self.settings.data_centre, [])
        return node_status.NodeStatus(
            node_id=self.settings.node_id,
            data_centre=self.settings.data_centre,
            revision=self.configuration.revision,
            waits_for=self.waits_for(),
            live_nodes=live,
            searchers=len(view.searcher_by_id),
            refusals=self.configuration.refusals,
        )

    def burn(self) -> node_burn.NodeBurn:
        """Return the counts for the burn rate report."""
        services = self.configuration.document.search.by_service
        return burn.collect(
            self.settings.node_id,
            self.telemetry,
            {name: service.objectives for name, service in services.items()},
        )

    def gauges(self) -> node_gauges.NodeGauges:
        """Return the gauges for a metrics scrape."""
        view = self.directory.view
        live = view.live_by_data_centre.values()
        return node_gauges.NodeGauges(
            revision=self.configuration.revision,
            live_nodes=sum(len(ids) for ids in live),
            searchers=len(view.searcher_by_id),
            is_ready=not self.waits_for(),
            unsigned_refused=self.signed.refused,
            memory_refused=self._memory_refusals.count,
            connections_by_side={
                'callers': self.caller_server.connections,
                'peers': self.peer_server.connections,
                'operators': self.operator_server.connections,
            },
            platform_calls_by_result=dict(self.platform.calls_by_result),
        )

    def _extend_shutdown_grace(self) -> None:
        """Extend the servers' shutdown grace to the latest deadline in flight.

        With a shorter grace a planned stop would cut commands, whose outcome
        is then unknown.
        """
        last_deadline = max(
            self.commands.latest_deadline,
            self._runner.latest_deadline,
        )
        document = self.configuration.document
        services = document.search.by_service.values()
        longest_ms = max(
            (service.deadline_ms for service in services), default=0
        )
        left_s = max(
            last_deadline - asyncio.get_running_loop().time(),
            longest_ms / _MS_PER_S,
        )
        for http_server in (
            self.caller_server,
            self.peer_server,
            self.operator_server,
        ):
            http_server.allow(left_s + _SHUTDOWN_MARGIN_S)

    def _own_host(self) -> host.Host:
        return host.Host(
            host_id=self.settings.node_id,
            role='node',
            data_centre=self.settings.data_centre,
            region=self.settings.region,
            address=str(self.peer_server.address),
        )

    def _protocol(self) -> server.CreateProtocol:
        """Return what creates the connections of one server."""
        return node_protocol.ProtocolFactory(
            node_protocol.Limits(
                self._request_memory,
                int(_DESCRIPTOR_SHARE * self._descriptors()),
            ),
        )

    def _descriptors(self) -> int:
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed == resource.RLIM_INFINITY:
            return self.settings.max_descriptors
        return min(allowed, self.settings.max_descriptors)

    def _make_peers(self) -> peers.Peers:
        return peers.Peers(
            self.directory,
            message_signer.of_settings(self.settings),
        )
