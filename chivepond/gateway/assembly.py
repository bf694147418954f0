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
    gateway_sweeper,
    news,
    peer_registry,
    peer_warmer,
    peers,
    requests_way,
    searcher_selection,
    searchers,
    service_ask,
    settings_parts,
    store_copies,
    store_sync,
    stragglers,
    sync_service,
    telemetry,
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
    tools: service_ask.AskTools
    way: requests_way.RequestsWay
    news: news.News
    sync: sync_service.SyncService
    opened: contextlib.ExitStack

    def __enter__(self) -> Self:
        """Enter all that has to be left."""
        for part in (
            self.news,
            self.searchers,
            self.tools.stragglers,
            self.others,
        ):
            self.opened.enter_context(part)
        return self

    def close(self) -> None:
        """Leave what was entered, the last one first."""
        self.opened.close()


def make(
    settings: gateway_settings.GatewaySettings,
    on_news: Callable[[], None],
) -> Parts:
    """Return parts that know nothing yet; ``on_news`` hears what comes."""
    told = telemetry.Telemetry(settings.node_id)
    switched = switches.Switches(settings.switched_off)
    others = peers.Peers(
        settings_parts.own_record(settings),
        told,
        settings_parts.seeds(settings),
        switched,
        is_seed=settings_parts.is_seed(settings),
    )
    known = searchers.Searchers(
        settings.data_centre,
        settings.region_by_data_centre,
        others,
        told,
        switched,
    )
    tools = service_ask.AskTools(
        searchers=known,
        selection=searcher_selection.SearcherSelection(known, switched),
        budgets=budgets.Budgets(
            settings_parts.budget_limits(settings),
            known.shares,
            is_first_start=settings.is_first_start,
        ),
        stragglers=stragglers.Stragglers(),
        telemetry=told,
        admission=search_admission.SearchAdmission(),
        switches=switched,
    )
    way = requests_way.RequestsWay(tools, others)
    taken = news.News(
        known,
        way,
        told,
        settings.news_bound_s,
        on_news,
        switched,
    )
    changed = asyncio.Event()
    return Parts(
        telemetry=told,
        others=others,
        searchers=known,
        tools=tools,
        way=way,
        news=taken,
        sync=sync_service.SyncService(
            store_copies.by_kind(taken, others, changed),
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
