"""Builds the components of a gateway and connects them."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Protocol, Self

from chivepond.decisions import search_admission, switches
from chivepond.gateway import (
    closeable,
    crash_registry,
    crash_table,
    crash_watch,
    derived_settings,
    gateway_registration,
    gateway_sweeper,
    hedge_budgets,
    late_responses,
    peer_warmer,
    peers,
    request_router,
    searcher_selection,
    searchers,
    store_replicas,
    store_sync,
    store_updates,
    sync_service,
    telemetry,
    upstream_request,
)
from chivepond.platform import store_calls
from chivepond.settings import gateway_settings
from chivepond.transport import address


class BackgroundTask(Protocol):
    """A task that reads or writes the store while the gateway runs."""

    async def run(self) -> None:
        """Run until cancelled."""


@dataclasses.dataclass(slots=True)
class Components(closeable.Closeable):
    """Components that serve requests; exiting closes their connections."""

    telemetry: telemetry.Telemetry
    peer_gateways: peers.Peers
    searchers: searchers.Searchers
    context: upstream_request.RequestContext
    router: request_router.RequestRouter
    store_updates: store_updates.StoreUpdates
    sync: sync_service.SyncService
    exit_stack: contextlib.ExitStack

    def __enter__(self) -> Self:
        """Enter the components that must be closed."""
        for component in (
            self.store_updates,
            self.searchers,
            self.context.late_responses,
            self.context.crash_watch,
            self.peer_gateways,
        ):
            self.exit_stack.enter_context(component)
        return self

    def close(self) -> None:
        """Close the entered components in reverse order."""
        self.exit_stack.close()


def build(
    settings: gateway_settings.GatewaySettings,
    on_update: Callable[[], None],
) -> Components:
    """Return components with empty state.

    ``on_update`` is called after each update of routes or searchers.
    """
    gateway_telemetry = telemetry.Telemetry(
        settings.node_id, is_tracing=settings.log_level == 'DEBUG'
    )
    mechanism_switches = switches.Switches(settings.switched_off)
    peer_gateways = peers.Peers(
        derived_settings.own_record(settings),
        gateway_telemetry,
        derived_settings.seeds(settings),
        mechanism_switches,
        is_seed=derived_settings.is_seed(settings),
    )
    searcher_registry = searchers.Searchers(
        settings.data_centre,
        settings.region_by_data_centre,
        peer_gateways,
        gateway_telemetry,
        mechanism_switches,
        settings.leaving_bound_s,
    )
    searcher_registry.reply_buffers = derived_settings.buffers(settings)
    peer_gateways.reply_buffers = searcher_registry.reply_buffers
    context = upstream_request.RequestContext(
        searchers=searcher_registry,
        selection=searcher_selection.SearcherSelection(
            searcher_registry, mechanism_switches
        ),
        budgets=hedge_budgets.HedgeBudgets(
            derived_settings.budget_limits(settings),
            searcher_registry.shares,
        ),
        late_responses=late_responses.LateResponses(),
        telemetry=gateway_telemetry,
        admission=search_admission.SearchAdmission(),
        switches=mechanism_switches,
        crash_watch=crash_watch.CrashWatch(
            searcher_registry,
            crash_table.CrashTable(gateway_telemetry, mechanism_switches),
            gateway_telemetry,
        ),
    )
    router = request_router.RequestRouter(context, peer_gateways)
    updates = store_updates.StoreUpdates(
        searcher_registry,
        router,
        gateway_telemetry,
        settings.update_bound_s,
        on_update,
        mechanism_switches,
    )
    return Components(
        telemetry=gateway_telemetry,
        peer_gateways=peer_gateways,
        searchers=searcher_registry,
        context=context,
        router=router,
        store_updates=updates,
        sync=_build_sync(settings, updates, peer_gateways, context),
        exit_stack=contextlib.ExitStack(),
    )


def background_tasks(
    components: Components,
    settings: gateway_settings.GatewaySettings,
    own_address: address.Address,
) -> list[BackgroundTask]:
    """Return the tasks that read and write the store.

    ``own_address`` is the address that is registered in the store and at which
    other gateways reach this one.
    """
    store = address.parse(settings.store).unwrap()
    components.peer_gateways.own_address = str(own_address)
    registry = gateway_registration.GatewayRegistration(
        settings.node_id,
        derived_settings.own_entry(settings, own_address),
        store,
        components.sync.replica_by_kind[store_calls.GATEWAY_KIND],
        settings.entry_settle_s,
        is_first_start=settings.is_first_start,
    )
    sync = store_sync.StoreSync(
        settings.update_bound_s,
        store,
        components.sync,
        components.peer_gateways,
        components.telemetry,
        components.context.switches,
        registry,
    )
    return [
        registry,
        sync,
        _build_sweeper(components, store, sync),
        crash_registry.CrashRegistry(
            components.context.crash_watch.table,
            components.sync.replica_by_kind[store_calls.CRASH_KIND],
            store,
            sync,
            components.telemetry,
        ),
        peer_warmer.PeerWarmer(components.peer_gateways),
    ]


def _build_sync(
    settings: gateway_settings.GatewaySettings,
    updates: store_updates.StoreUpdates,
    peer_gateways: peers.Peers,
    context: upstream_request.RequestContext,
) -> sync_service.SyncService:
    replicas_changed = asyncio.Event()
    replica_by_kind = store_replicas.make_replicas(
        updates, peer_gateways, context.crash_watch.table, replicas_changed
    )
    context.searchers.shares.lists = (
        replica_by_kind[store_calls.GATEWAY_KIND],
        replica_by_kind[store_calls.SEARCHERS],
    )
    context.searchers.replica = replica_by_kind[store_calls.SEARCHERS]
    updates.configuration_replica = replica_by_kind[store_calls.CONFIGURATION]
    return sync_service.SyncService(
        replica_by_kind,
        replicas_changed,
        settings.node_id,
        settings.update_bound_s,
    )


def _build_sweeper(
    components: Components,
    store: address.Address,
    sync: store_sync.StoreSync,
) -> gateway_sweeper.GatewaySweeper:
    return gateway_sweeper.GatewaySweeper(
        store,
        components.sync.replica_by_kind[store_calls.GATEWAY_KIND],
        components.peer_gateways,
        sync,
        components.telemetry,
    )
