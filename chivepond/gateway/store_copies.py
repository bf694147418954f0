"""The copies of the store's kinds that a gateway keeps."""

import asyncio

from chivepond.gateway import news, peer_news, peers, replica
from chivepond.platform import store_calls


def by_kind(
    told: news.News,
    others: peers.Peers,
    changed: asyncio.Event,
) -> dict[str, replica.Replica]:
    """Return empty copies that feed ``told`` and ``others``."""
    of_peers = peer_news.PeerNews(others)
    return {
        store_calls.SEARCHERS: replica.Replica(
            replica.Sink(told.take_searchers, told.take_searcher_change),
            changed,
        ),
        store_calls.CONFIGURATION: replica.Replica(
            replica.Sink(
                told.take_configurations,
                told.take_configuration_change,
            ),
            changed,
        ),
        store_calls.GATEWAYS: replica.Replica(
            replica.Sink(of_peers.take_list, of_peers.take_change),
            changed,
            is_bound=False,
        ),
    }
