"""Learns from other gateways what the store does not tell this one."""

import asyncio
import random
from collections.abc import Callable, Mapping

import msgspec

from chivepond.gateway import outcome, peer_message, peers, replica, telemetry
from chivepond.observe import events
from chivepond.wire import gateway_news

#: How long another gateway waits for news, in seconds, and how much longer
#: its reply may take.
_WAIT_S = 1.0
_GRACE_S = 0.5
#: Between two looks at whether the store is read, in seconds.
_LOOK_S = 0.1
#: After a gateway that gave no reply, in seconds.
_PAUSE_S = 0.2
_OK = 200


class NewsFollower:
    """Asks a gateway at random while the store can't be read.

    Guards against a store that turns some machines away: without this such a
    gateway asks searchers that have left, and routes by a version that is no
    longer in force, for as long as that lasts.
    """

    __slots__ = (
        '_is_following',
        '_is_store_lost',
        '_peers',
        '_replica_by_kind',
        '_telemetry',
    )

    def __init__(
        self,
        replica_by_kind: Mapping[str, replica.Replica],
        others: peers.Peers,
        is_store_lost: Callable[[], bool],
        told: telemetry.Telemetry,
    ) -> None:
        """Follow while ``is_store_lost``."""
        self._replica_by_kind = replica_by_kind
        self._peers = others
        self._is_store_lost = is_store_lost
        self._telemetry = told
        self._is_following = False

    async def run(self) -> None:
        """Follow where it is needed until cancelled."""
        while True:
            if not self._is_store_lost():
                self._is_following = False
                await asyncio.sleep(_LOOK_S)
                continue
            if not await self._ask():
                await asyncio.sleep(_PAUSE_S * random.uniform(1, 2))

    async def _ask(self) -> bool:
        link = self._peers.any()
        if link is None:
            return False
        asked = gateway_news.NewsRequest(
            {kind: one.as_of for kind, one in self._replica_by_kind.items()},
            _WAIT_S,
        )
        deadline = asyncio.get_running_loop().time() + _WAIT_S + _GRACE_S
        ended = await link.ask(peer_message.news_message(asked), deadline)
        match ended:
            case outcome.Reply(status=status, body=body) if status == _OK:
                return self._take(link.end.name, body)
            case _:
                return False

    def _take(self, peer: str, body: bytes) -> bool:
        try:
            reply = msgspec.msgpack.decode(body, type=gateway_news.NewsReply)
        except msgspec.DecodeError:
            return False
        self._telemetry.count('news', peer)
        if not self._is_following:
            self._is_following = True
            self._telemetry.tell(events.NEWS_FROM_PEER, peer=peer)
        for kind, copy in self._replica_by_kind.items():
            news = reply.news_by_kind.get(kind)
            if news is not None:
                copy.take_news(news)
        return True
