"""Puts the parts of a gateway together."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Mapping
from typing import Self

from chivepond.decisions import search_admission, switches
from chivepond.gateway import (
    budgets,
    closing,
    news,
    peer_registry,
    peers,
    replica,
    requests_way,
    searcher_selection,
    searchers,
    service_ask,
    settings_parts,
    store_copies,
    store_news,
    stragglers,
    telemetry,
)
from chivepond.settings import gateway_settings
from chivepond.transport import address
from chivepond.wire import gateway_entry


@dataclasses.dataclass(slots=True)
class Parts(closing.Closing):
    """What serves requests; leaving it closes links and ends exchanges."""

    telemetry: telemetry.Telemetry
    others: peers.Peers
    searchers: searchers.Searchers
    tools: service_ask.AskTools
    way: requests_way.RequestsWay
    news: news.News
    replica_by_kind: Mapping[str, replica.Replica]
    #: Set with each piece of news from the store.
    changed: asyncio.Event
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
        replica_by_kind=store_copies.by_kind(taken, others, changed),
        changed=changed,
        opened=contextlib.ExitStack(),
    )


def readers(
    parts: Parts,
    settings: gateway_settings.GatewaySettings,
    own: address.Address,
) -> tuple[store_news.StoreNews, peer_registry.PeerRegistry]:
    """Return what reads the store, and what registers ``own`` in it."""
    store = address.parse(settings.store).unwrap()
    entry = gateway_entry.GatewayEntry(
        str(own),
        settings.data_centre,
        settings.link_mbps,
    )
    return (
        store_news.StoreNews(
            settings.news_bound_s,
            store,
            parts.replica_by_kind,
            parts.others,
            parts.telemetry,
            parts.tools.switches,
        ),
        peer_registry.PeerRegistry(settings.node_id, entry, store),
    )
