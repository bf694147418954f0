"""Keeps a connection open to one aggregator of each data centre."""

import asyncio

from chivepond.gateway import link as links
from chivepond.gateway import outcome, peer_message, peers
from chivepond.wire import sync_message

#: Between two looks at which connections are open, in seconds.
_LOOK_S = 0.5
#: How long the request that opens one may take, in seconds.
_REPLY_S = 1.0


class PeerWarmer:
    """Opens connections before a search needs them.

    Guards against searches of gateways that have few: each would wait for new
    connections to other regions, and its groups would come too late. The way
    there and back is measured besides.
    """

    __slots__ = ('_peers',)

    def __init__(self, others: peers.Peers) -> None:
        """Open connections to some of ``others``."""
        self._peers = others

    async def run(self) -> None:
        """Keep connections open until cancelled."""
        while True:
            for place in self._peers.helpers():
                await self._warm(place)
            await asyncio.sleep(_LOOK_S)

    async def _warm(self, place: str) -> None:
        link = self._peers.choose(place)
        if link is None or link.is_warm:
            return
        if await self._ask(link):
            began = asyncio.get_running_loop().time()
            if await self._ask(link):
                took_s = asyncio.get_running_loop().time() - began
                self._peers.learn_way(link.end.name, took_s)

    async def _ask(self, link: links.Link) -> bool:
        """Tell whether a request that asks for nothing got its reply."""
        message = peer_message.sync_message(sync_message.SyncRequest({}, 0))
        deadline = asyncio.get_running_loop().time() + _REPLY_S
        match await link.ask(message, deadline):
            case outcome.Reply():
                return True
            case _:
                return False
