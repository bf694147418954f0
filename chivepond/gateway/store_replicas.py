"""Builds the replicas of the store's kinds that a gateway holds."""

import asyncio

from chivepond.gateway import (
    crash_table,
    peer_list,
    peers,
    replica,
    store_updates,
)
from chivepond.platform import store_calls


def make_replicas(
    updates: store_updates.StoreUpdates,
    peer_gateways: peers.Peers,
    crash_records: crash_table.CrashTable,
    replicas_changed: asyncio.Event,
) -> dict[str, replica.Replica]:
    """Return empty replicas by kind, which pass updates to these consumers.

    ``replicas_changed`` is set after each update.
    """
    gateway_list = peer_list.PeerList(peer_gateways)
    return {
        store_calls.SEARCHERS: replica.Replica(
            replica.Sink(
                updates.replace_searchers, updates.apply_searcher_change
            ),
            replicas_changed,
        ),
        store_calls.CONFIGURATION: replica.Replica(
            replica.Sink(
                updates.apply_configurations,
                updates.apply_configuration_change,
            ),
            replicas_changed,
        ),
        store_calls.GATEWAY_KIND: replica.Replica(
            replica.Sink(gateway_list.apply_list, gateway_list.apply_change),
            replicas_changed,
            is_age_bounded=False,
        ),
        store_calls.CRASH_KIND: replica.Replica(
            replica.Sink(crash_records.apply_list, crash_records.apply_change),
            replicas_changed,
            is_age_bounded=False,
        ),
    }
