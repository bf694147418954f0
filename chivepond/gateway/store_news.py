"""Keeps the copies of the store's kinds fresh, by the store or by peers."""

import asyncio
import random
from collections.abc import Callable, Mapping

import msgspec

from chivepond.decisions import news_source, switches
from chivepond.gateway import (
    kind_reader,
    outcome,
    peer_message,
    peers,
    replica,
    store_outage,
    telemetry,
)
from chivepond.gateway import link as links
from chivepond.observe import events
from chivepond.platform import store_calls
from chivepond.settings import mechanism
from chivepond.transport import address
from chivepond.wire import gateway_news

#: How much longer than its wait another gateway's reply may take, in seconds.
_GRACE_S = 0.25
#: Between two looks at who is to read, in seconds.
_LOOK_S = 0.2
#: After a gateway that gave no reply, in seconds.
_PAUSE_S = 0.1
#: How long a gateway with old news is not followed, in seconds.
_STALE_S = 5.0
_OK = 200


class StoreNews:
    """Reads the store, follows a gateway that does, or both for a while.

    Guards against a store that turns some machines away: without peers such
    a gateway asks searchers that have left, and routes by a version that is
    no longer in force, for as long as that lasts.
    """

    __slots__ = (
        '_bound_s',
        '_following',
        '_peers',
        '_readers',
        '_replica_by_kind',
        '_stale_until_by_id',
        '_store',
        '_switches',
        '_tasks',
        '_telemetry',
    )

    def __init__(
        self,
        bound_s: float,
        store: address.Address,
        replica_by_kind: Mapping[str, replica.Replica],
        others: peers.Peers,
        told: telemetry.Telemetry,
        switched: switches.Switches,
    ) -> None:
        """Have news in force within ``bound_s`` seconds."""
        self._bound_s = bound_s
        self._switches = switched
        self._store = store
        self._replica_by_kind = replica_by_kind
        self._peers = others
        self._telemetry = told
        self._following = ''
        self._stale_until_by_id: dict[str, float] = {}
        self._readers: list[kind_reader.KindReader] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Keep the copies fresh until cancelled."""
        try:
            while True:
                await self._step()
        finally:
            self._stop_reading()

    def leader(self) -> links.Link | None:
        """Return the gateway to follow, or nothing to read the store here."""
        if not self._switches.is_on(mechanism.Mechanism.SHARED_READER):
            return None
        now = asyncio.get_running_loop().time()
        members = [
            news_source.Member(
                node_id,
                is_sound and self._stale_until_by_id.get(node_id, 0) < now,
            )
            for node_id, is_sound in self._peers.near()
        ]
        chosen = news_source.leader(self._peers.own_id, members)
        return chosen and self._peers.link(chosen)

    async def _step(self) -> None:
        followed = self.leader()
        if followed is None:
            self._begin_reading()
            if self._may_follow_any():
                await self._follow_any()
            else:
                self._tell_following('')
                await asyncio.sleep(_LOOK_S)
            return
        if await self._follow(followed):
            self._stop_reading()
        elif self._age_s() > news_source.oldest_s(self._bound_s):
            self._begin_reading()

    def _may_follow_any(self) -> bool:
        is_on = self._switches.is_on(mechanism.Mechanism.PEER_NEWS)
        return is_on and self._is_store_lost()

    def _begin_reading(self) -> None:
        if self._tasks:
            return
        outage = store_outage.StoreOutage()
        self._readers = [
            kind_reader.KindReader(
                kind,
                self._store,
                copy,
                self._telemetry,
                self._watch_of(kind),
                outage,
                self._is_fresh,
            )
            for kind, copy in self._replica_by_kind.items()
        ]
        self._tasks = [
            asyncio.create_task(reader.run()) for reader in self._readers
        ]

    def _stop_reading(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._readers.clear()

    def _watch_of(self, kind: str) -> Callable[[], float]:
        if kind == store_calls.GATEWAYS:
            return self._gateways_watch_s
        return self._watch_s

    def _gateways_watch_s(self) -> float:
        return news_source.gateways_watch_s(self._peers.gateways)

    def _watch_s(self) -> float:
        members = len(self._peers.near()) + 1
        return news_source.watch_s(self._bound_s, members)

    def _is_store_lost(self) -> bool:
        return any(reader.is_lost for reader in self._readers)

    def _age_s(self) -> float:
        now = asyncio.get_running_loop().time()
        return max(one.age_s(now) for one in self._copies())

    def _is_fresh(self) -> bool:
        """Tell whether another gateway's news are taken, and fresh."""
        oldest_s = news_source.oldest_s(self._bound_s)
        return bool(self._following) and self._age_s() < oldest_s

    def _copies(self) -> list[replica.Replica]:
        return list(self._replica_by_kind.values())

    async def _follow_any(self) -> None:
        link = self._peers.any()
        if link is None or not await self._follow(link):
            await asyncio.sleep(_PAUSE_S * random.uniform(1, 2))

    async def _follow(self, link: links.Link) -> bool:
        """Return whether fresh news came."""
        # The first reply comes at once: until it does, the store is read too.
        wait_s = news_source.ask_s(self._bound_s) if self._following else 0
        asked = gateway_news.NewsRequest(
            {kind: one.as_of for kind, one in self._replica_by_kind.items()},
            wait_s,
        )
        deadline = asyncio.get_running_loop().time() + wait_s + _GRACE_S
        ended = await link.ask(peer_message.news_message(asked), deadline)
        match ended:
            case outcome.Reply(status=status, body=body) if status == _OK:
                return self._take(link.end.name, body)
            case _:
                self._telemetry.count('news', 'failed')
                return False

    def _take(self, peer: str, body: bytes) -> bool:
        try:
            reply = msgspec.msgpack.decode(body, type=gateway_news.NewsReply)
        except msgspec.DecodeError:
            self._telemetry.count('news', 'unreadable')
            return False
        self._telemetry.count('news', 'taken')
        now = asyncio.get_running_loop().time()
        for kind, copy in self._replica_by_kind.items():
            news = reply.news_by_kind.get(kind)
            if news is not None:
                copy.take_news(news)
            copy.confirm(now - reply.age_s)
        if reply.age_s > news_source.oldest_s(self._bound_s):
            self._stale_until_by_id[peer] = now + _STALE_S
            return False
        self._tell_following(peer)
        return True

    def _tell_following(self, peer: str) -> None:
        if peer != self._following:
            self._following = peer
            self._telemetry.tell(
                events.NEWS_SOURCE,
                source=peer or 'store',
                age_ms=round(self._age_s() * 1000),
            )
