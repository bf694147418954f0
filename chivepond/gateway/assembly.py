"""Puts the parts of a gateway together."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Protocol, Self

from chivepond.decisions import search_admission, switches
from chivepond.gateway import (
    budgets,
    closing,
    crash_registry,
    crash_table,
    crash_watch,
    gateway_sweeper,
    late_responses,
    peer_registry,
    peer_warmer,
    peers,
    request_router,
    searcher_selection,
    searchers,
    settings_parts,
    store_copies,
    store_sync,
    store_updates,
    sync_service,
    telemetry,
    upstream_request,
)
from chivepond.platform import store_calls
from chivepond.settings import gateway_settings
from chivepond.transport import address


class Reader(Protocol):
    """Works on the store's content."""

    async def run(self) -> None:
        """Work until cancelled."""


@dataclasses.dataclass(slots=True)
class Parts(closing.Closing):
    """What serves requests; leaving it closes links and ends exchanges."""

    telemetry: telemetry.Telemetry
    others: peers.Peers
    searchers: searchers.Searchers
    tools: upstream_request.RequestTools
    router: request_router.RequestRouter
    updates: store_updates.StoreUpdates
    sync: sync_service.SyncService
    opened: contextlib.ExitStack

    def __enter__(self) -> Self:
        """Enter all that has to be left."""
        for part in (
            self.updates,
            self.searchers,
            self.tools.stragglers,
            self.tools.crash_watch,
            self.others,
        ):
            self.opened.enter_context(part)
        return self

    def close(self) -> None:
        """Leave what was entered, the last one first."""
        self.opened.close()


def make(
    settings: gateway_settings.GatewaySettings,
    on_update: Callable[[], None],
) -> Parts:
    """Return parts that know nothing yet; ``on_update`` hears what comes."""
    events_log = telemetry.Telemetry(settings.node_id)
    switched = switches.Switches(settings.switched_off)
    others = peers.Peers(
        settings_parts.own_record(settings),
        events_log,
        settings_parts.seeds(settings),
        switched,
        is_seed=settings_parts.is_seed(settings),
    )
    known = searchers.Searchers(
        settings.data_centre,
        settings.region_by_data_centre,
        others,
        events_log,
        switched,
    )
    tools = upstream_request.RequestTools(
        searchers=known,
        selection=searcher_selection.SearcherSelection(known, switched),
        budgets=budgets.Budgets(
            settings_parts.budget_limits(settings),
            known.shares,
            is_first_start=settings.is_first_start,
        ),
        stragglers=late_responses.LateResponses(),
        telemetry=events_log,
        admission=search_admission.SearchAdmission(),
        switches=switched,
        crash_watch=crash_watch.CrashWatch(
            known,
            crash_table.CrashTable(events_log, switched),
            events_log,
        ),
    )
    router = request_router.RequestRouter(tools, others)
    updates = store_updates.StoreUpdates(
        known,
        router,
        events_log,
        settings.news_bound_s,
        on_update,
        switched,
    )
    changed = asyncio.Event()
    return Parts(
        telemetry=events_log,
        others=others,
        searchers=known,
        tools=tools,
        router=router,
        updates=updates,
        sync=sync_service.SyncService(
            store_copies.by_kind(
                updates,
                others,
                tools.crash_watch.table,
                changed,
            ),
            changed,
            settings.node_id,
            settings.news_bound_s,
        ),
        opened=contextlib.ExitStack(),
    )


def readers(
    parts: Parts,
    settings: gateway_settings.GatewaySettings,
    own: address.Address,
) -> list[Reader]:
    """Return what works on the store; ``own`` is registered in it."""
    store = address.parse(settings.store).unwrap()
    registry = peer_registry.PeerRegistry(
        settings.node_id,
        settings_parts.own_entry(settings, own),
        store,
        parts.sync.replica_by_kind[store_calls.GATEWAYS],
        is_first_start=settings.is_first_start,
    )
    sync = store_sync.StoreSync(
        settings.news_bound_s,
        store,
        parts.sync,
        parts.others,
        parts.telemetry,
        parts.tools.switches,
        registry,
    )
    return [
        registry,
        sync,
        _sweeper(parts, store, sync),
        crash_registry.CrashRegistry(
            parts.tools.crash_watch.table,
            parts.sync.replica_by_kind[store_calls.CRASHES],
            store,
            sync,
            parts.telemetry,
        ),
        peer_warmer.PeerWarmer(parts.others),
    ]


def _sweeper(
    parts: Parts,
    store: address.Address,
    sync: store_sync.StoreSync,
) -> gateway_sweeper.GatewaySweeper:
    return gateway_sweeper.GatewaySweeper(
        store,
        parts.sync.replica_by_kind[store_calls.GATEWAYS],
        parts.others,
        sync,
        parts.telemetry,
    )
