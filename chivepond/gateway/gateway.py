"""The lifecycle of one gateway, from startup to graceful shutdown."""

import asyncio
import contextlib
import types
from typing import Any, Self

from chivepond.gateway import (
    assembly,
    background_task,
    client_connection,
    client_request,
    client_response,
    derived_settings,
    gateway_counts,
    gauges,
    listener,
    metrics_page,
    peer_service,
    routing_table,
)
from chivepond.observe import events
from chivepond.settings import gateway_settings
from chivepond.transport import address

_OK = 200
_UNAVAILABLE = 503
#: Seconds after the stop signal during which new connections still arrive:
#: the balancer probes readiness once a second, and removes a gateway after two
#: failed probes in a row.
_BALANCER_LAG_S = 3.0
#: Part of the shutdown grace that is reserved for process exit, in seconds.
_EXIT_RESERVE_S = 0.5
#: Time to send the last responses before the process exits, in seconds.
_FLUSH_S = 0.1
_POLL_S = 0.05
#: Idle timeout of connections from other gateways, in seconds.
_PEER_IDLE_S = 120.0
#: Maximum share of the file descriptors for connections to one listener; the
#: rest is for connections to searchers, other gateways and the store.
_DESCRIPTOR_SHARE = 0.5


class Gateway:
    """Reads the store, serves clients and shuts down gracefully."""

    __slots__ = (
        '_client_listener',
        '_is_stopping',
        '_metrics_listener',
        '_store_updates',
        '_exit_stack',
        '_components',
        '_peer_listener',
        '_peer_service',
        '_background_tasks',
        '_readiness',
        '_request_memory',
        '_settings',
        '_telemetry',
        '_was_ready_logged',
        'counts',
    )

    def __init__(self, settings: gateway_settings.GatewaySettings) -> None:
        """Build the components without starting them."""
        self._settings = settings
        self._exit_stack = contextlib.AsyncExitStack()
        self._is_stopping = False
        self._was_ready_logged = False
        self._components = assembly.build(settings, self._on_store_update)
        self._telemetry = self._components.telemetry
        self._store_updates = self._components.store_updates
        self.counts = gateway_counts.GatewayCounts(
            self._components.router,
            self._components.searchers,
            self._components.peer_gateways,
        )
        self._request_memory = derived_settings.memory_of_requests(
            settings, self._on_memory_refusal
        )
        self._client_listener = self._make_listener(
            settings.callers,
            self._components.router.serve,
        )
        self._readiness = self._make_listener(
            settings.readiness, self._serve_readiness
        )
        self._peer_service = peer_service.PeerService(
            self._components.context,
            self._components.sync,
            self._is_draining,
            self._components.router,
        )
        self._peer_listener = self._make_listener(
            settings.peers,
            self._peer_service.serve,
            idle_timeout_s=_PEER_IDLE_S,
        )
        self._metrics_listener = self._make_metrics_listener()
        self._background_tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Start the listeners and the tasks that read the store."""
        self._exit_stack.enter_context(self._components)
        for opened_listener in (
            self._peer_listener,
            self._client_listener,
            self._readiness,
            self._metrics_listener,
        ):
            await self._exit_stack.enter_async_context(opened_listener)
        self._background_tasks = [
            asyncio.create_task(
                background_task.run(
                    worker.run, type(worker).__name__, self._telemetry
                )
            )
            for worker in assembly.background_tasks(
                self._components,
                self._settings,
                self.peers,
            )
        ]
        self._telemetry.emit(
            events.GATEWAY_STARTED,
            data_centre=self._settings.data_centre,
            callers=self._settings.callers,
        )
        if self._settings.switched_off:
            self._log_switches()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Cancel the tasks and close all listeners and connections."""
        for task in self._background_tasks:
            task.cancel()
        await self._exit_stack.aclose()

    @property
    def client_address(self) -> address.Address:
        """The bound address that clients connect to."""
        return self._client_listener.address

    @property
    def readiness(self) -> address.Address:
        """The bound address that the balancer probes."""
        return self._readiness.address

    @property
    def peers(self) -> address.Address:
        """The bound address that other gateways connect to."""
        return self._peer_listener.address

    @property
    def metrics(self) -> address.Address:
        """The bound address that serves metrics."""
        return self._metrics_listener.address

    @property
    def requests_in_progress(self) -> int:
        """The number of clients' requests in progress."""
        return self._client_listener.requests_in_progress

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should route clients to this gateway."""
        return self._store_updates.has_initial_state and not self._is_stopping

    async def stop(self) -> None:
        """Shut down without aborting any request that has been read.

        Responses announce that their connection closes. Idle connections are
        closed once the balancer routes no more clients here. Requests that
        can't be answered by searchers in time are rejected, and all others are
        answered shortly before the shutdown grace ends. Returns when all
        connections are closed, or then.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        ends_at = started_at + self._settings.stop_grace_s - _EXIT_RESERVE_S
        self._is_stopping = True
        self._components.context.shutdown.begin(ends_at - _FLUSH_S)
        self._telemetry.emit(
            events.GATEWAY_STOPPING,
            connections=self._client_listener.connections,
            working=self._client_listener.requests_in_progress,
        )
        balancer_until = started_at + _BALANCER_LAG_S
        while loop.time() < balancer_until:
            await self._pause()
        # Clients may have connected while the host was paused. When it resumes
        # the balancer lag has passed, and without these two pauses they would
        # be reset before they are accepted, or before their request is read.
        await self._pause()
        self._client_listener.stop_listening()
        await self._pause()
        while self._is_serving() and loop.time() < ends_at:
            self._client_listener.close_idle()
            await self._pause()
        self._telemetry.emit(
            events.GATEWAY_STOPPED,
            connections=self._client_listener.connections,
            working=self._client_listener.requests_in_progress,
        )

    def report_fault(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception that nobody handled; an event loop calls this."""
        self._telemetry.emit(
            events.GATEWAY_FAULT,
            what=f'{context["message"]}: {context.get("exception")!r}',
        )

    def refuse_settings(self, reason: str) -> None:
        """Log that the settings file was rejected, and why."""
        self._telemetry.emit(events.SETTINGS_REFUSED, why=reason)

    def reload(
        self,
        settings: gateway_settings.GatewaySettings,
        changes: list[str],
    ) -> None:
        """Apply the settings that may change at runtime.

        Changed addresses take effect at the next start. Requests in progress
        are not affected.
        """
        self._telemetry.emit(events.SETTINGS_RELOADED, changes=changes)
        self._settings = settings
        self._components.context.switches.off = frozenset(settings.switched_off)
        if 'switched_off' in changes:
            self._log_switches()
        self._components.searchers.set_regions(settings.region_by_data_centre)
        self._components.context.budgets.apply_limits(
            derived_settings.budget_limits(settings)
        )

    async def _pause(self) -> None:
        """Reject requests that can't be served before the exit, then sleep."""
        left_s = self._components.context.shutdown.left_s()
        self._components.searchers.reject_waiters(left_s)
        peer_gateways = self._components.peer_gateways
        for node_id in peer_gateways.node_ids():
            peer_gateways.channel(node_id).reject_waiters(left_s)
        await asyncio.sleep(_POLL_S)

    def _is_serving(self) -> bool:
        return bool(
            self._client_listener.connections or self._peer_service.is_busy
        )

    def _log_switches(self) -> None:
        self._telemetry.emit(
            events.MECHANISMS_SWITCHED,
            off=self._settings.switched_off,
        )

    def _make_metrics_listener(self) -> listener.Listener:
        page = metrics_page.MetricsPage(self._telemetry, self._update_gauges)
        return self._make_listener(
            str(derived_settings.metrics_address(self._settings)),
            page.serve,
        )

    def _update_gauges(self) -> None:
        gauges.Gauges(
            client_listener=self._client_listener,
            counts=self.counts,
            router=self._components.router,
            searchers=self._components.searchers,
            context=self._components.context,
        ).publish(self._telemetry, is_ready=self.is_ready)

    def _make_listener(
        self,
        listen_address: str,
        serve: client_connection.Serve,
        idle_timeout_s: float | None = None,
    ) -> listener.Listener:
        connections = int(_DESCRIPTOR_SHARE * self._settings.max_descriptors)
        return listener.Listener(
            address.parse(listen_address).unwrap(),
            client_connection.Service(
                serve=serve,
                limits=self._client_limits,
                idle_timeout_s=idle_timeout_s,
                is_stopping=self._is_draining,
                memory=self._request_memory,
                max_connections=connections,
                receive_buffer_bytes=derived_settings.receive_buffer_bytes(
                    self._settings, connections
                ),
            ),
        )

    def _client_limits(self) -> routing_table.ClientLimits:
        table = self._components.router.table
        if table is None:
            return routing_table.DEFAULT_LIMITS
        return table.limits

    def _on_memory_refusal(self, held_bytes: int) -> None:
        self._telemetry.count('requests_refused_for_memory', 'connections')
        self._telemetry.emit(events.REFUSED_FOR_MEMORY, held_bytes=held_bytes)

    def _is_draining(self) -> bool:
        return self._is_stopping

    def _on_store_update(self) -> None:
        if self.is_ready and not self._was_ready_logged:
            self._was_ready_logged = True
            self._telemetry.emit(
                events.GATEWAY_READY,
                version=self._components.router.table.version,
                searchers=self._components.searchers.count,
            )

    async def _serve_readiness(
        self,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        if self.is_ready:
            return client_response.ClientResponse(_OK, [], b'ready\n')
        return client_response.refusal(_UNAVAILABLE, 'not ready')
