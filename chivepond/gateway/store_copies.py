"""The copies of the store's kinds that a gateway keeps."""

import asyncio

from chivepond.gateway import (
    crash_table,
    peer_list,
    peers,
    replica,
    store_updates,
)
from chivepond.platform import store_calls


def by_kind(
    updates: store_updates.StoreUpdates,
    others: peers.Peers,
    crashes: crash_table.CrashTable,
    changed: asyncio.Event,
) -> dict[str, replica.Replica]:
    """Return empty copies that feed ``updates``, ``others``, ``crashes``."""
    gateways = peer_list.PeerList(others)
    return {
        store_calls.SEARCHERS: replica.Replica(
            replica.Sink(updates.take_searchers, updates.take_searcher_change),
            changed,
        ),
        store_calls.CONFIGURATION: replica.Replica(
            replica.Sink(
                updates.take_configurations,
                updates.take_configuration_change,
            ),
            changed,
        ),
        store_calls.GATEWAYS: replica.Replica(
            replica.Sink(gateways.take_list, gateways.take_change),
            changed,
            is_bound=False,
        ),
        store_calls.CRASHES: replica.Replica(
            replica.Sink(crashes.take_list, crashes.take_change),
            changed,
            is_bound=False,
        ),
    }
