"""Keeps a connection open to an aggregator in each data centre."""

import asyncio

from chivepond.gateway import outcome, peer_channel, peer_message, peers
from chivepond.wire import sync_message

#: Seconds between two checks for open connections.
_CHECK_INTERVAL_S = 0.5
#: The time-out in seconds of the request that opens a connection.
_REPLY_TIMEOUT_S = 1.0


class PeerWarmer:
    """Opens connections to aggregators before a search needs them.

    On a gateway with few searches each search would wait for new connections
    to other regions, and its groups of shards would reply too late. The round
    trip to each aggregator is measured as well.
    """

    __slots__ = ('_peers',)

    def __init__(self, peer_gateways: peers.Peers) -> None:
        """Open connections to gateways in ``peer_gateways``."""
        self._peers = peer_gateways

    async def run(self) -> None:
        """Check the connections periodically until cancelled."""
        while True:
            for data_centre in self._peers.aggregator_data_centres():
                await self._warm(data_centre)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _warm(self, data_centre: str) -> None:
        channel = self._peers.choose_aggregator(data_centre)
        if channel is None or channel.is_warm:
            return
        if await self._probe(channel):
            started_at = asyncio.get_running_loop().time()
            if await self._probe(channel):
                took_s = asyncio.get_running_loop().time() - started_at
                self._peers.record_round_trip(channel.end.name, took_s)

    async def _probe(self, channel: peer_channel.PeerChannel) -> bool:
        """Tell whether an empty sync request gets a reply."""
        message = peer_message.sync_message(sync_message.SyncRequest({}, 0))
        deadline = asyncio.get_running_loop().time() + _REPLY_TIMEOUT_S
        match await channel.send(message, deadline):
            case outcome.Reply():
                return True
            case _:
                return False
