"""Keeps the replicas of the store's kinds fresh, from the store or peers."""

import asyncio
import random
from collections.abc import Mapping

from chivepond.decisions import switches, sync_source
from chivepond.gateway import (
    gateway_registration,
    peer_channel,
    peer_updates,
    peers,
    replica,
    store_readers,
    sync_service,
    telemetry,
)
from chivepond.observe import events
from chivepond.platform import store_calls
from chivepond.settings import mechanism
from chivepond.transport import address
from chivepond.wire import sync_message

#: Interval between checks of which gateway to follow, in seconds.
_SOURCE_CHECK_S = 0.2
#: Pause after a gateway gave no fresh reply, in seconds.
_RETRY_S = 0.1
#: How long a gateway with stale content is not followed, in seconds.
_STALE_SOURCE_S = 5.0
#: How long a new origin may take until its content is fresh, in seconds.
_ORIGIN_GRACE_S = 0.5
#: How long a starting gateway waits for other gateways before it reads the
#: store itself, in seconds: at a restart, while clients wait, and at the first
#: start of the deployment.
_RESTART_WINDOW_S = 0.5
_FIRST_START_WINDOW_S = 2.0
_START_POLL_S = 0.02


class StoreSync:
    """Reads the store, follows a gateway that does, or temporarily both.

    Guards against a store that refuses some machines: without updates from
    peers, such a gateway would send requests to searchers that have left, and
    route by an outdated version until the store serves it again.
    """

    __slots__ = (
        '_bound_s',
        '_spread_position',
        '_followed_id',
        '_origin_since',
        '_peer_gateways',
        '_readers',
        '_registry',
        '_replica_by_kind',
        '_service',
        '_stale_until_by_id',
        '_started_at',
        '_switches',
        '_telemetry',
    )

    def __init__(
        self,
        bound_s: float,
        store: address.Address,
        service: sync_service.SyncService,
        peer_gateways: peers.Peers,
        gateway_telemetry: telemetry.Telemetry,
        mechanism_switches: switches.Switches,
        registry: gateway_registration.GatewayRegistration,
    ) -> None:
        """Keep the replicas so fresh that updates apply within ``bound_s``.

        ``bound_s`` is in seconds. ``registry`` tells when this gateway is
        registered in the store.
        """
        self._bound_s = bound_s
        self._switches = mechanism_switches
        self._service = service
        self._replica_by_kind = service.replica_by_kind
        self._peer_gateways = peer_gateways
        self._telemetry = gateway_telemetry
        self._registry = registry
        self._followed_id = ''
        #: Position between 0 and 1 by which the times at which followers begin
        #: to read the store are spread.
        self._spread_position = random.random()
        self._origin_since: float = 0
        self._started_at = asyncio.get_running_loop().time()
        self._stale_until_by_id: dict[str, float] = {}
        self._readers = store_readers.StoreReaders(
            store,
            self._replica_by_kind,
            gateway_telemetry,
            self._watch_s,
            self._is_fresh,
        )

    async def run(self) -> None:
        """Keep the replicas fresh until cancelled."""
        with self._readers:
            while True:
                await self._step()

    def followed_gateway(self) -> peer_channel.PeerChannel | None:
        """Return the gateway to follow, or none if this one reads the store."""
        if not self._switches.is_on(mechanism.Mechanism.SHARED_READER):
            return None
        now = asyncio.get_running_loop().time()
        chosen = sync_source.source(
            self._peer_gateways.own_member,
            (
                member
                for member in self._peer_gateways.usable_members()
                if self._stale_until_by_id.get(member.node_id, 0) < now
            ),
        )
        return chosen and self._peer_gateways.channel(chosen.node_id)

    async def _step(self) -> None:
        if self._is_starting():
            await self._start()
            return
        followed = self.followed_gateway()
        if followed is None:
            self._readers.start_watching()
            await self._follow_if_failing(_SOURCE_CHECK_S)
            return
        if await self._follow(followed):
            self._readers.close()
            return
        if self._replica_age_s() > self._max_age_s():
            self._readers.start_watching()
        if self.followed_gateway() is followed:
            await asyncio.sleep(_RETRY_S)

    def _is_starting(self) -> bool:
        """Return whether the list of gateways may still be incomplete.

        Once the startup window is over, a list that was received counts as
        complete.
        """
        if self._peer_gateways.is_listed:
            return False
        now = asyncio.get_running_loop().time()
        window_s = (
            _FIRST_START_WINDOW_S
            if self._registry.is_first_start
            else _RESTART_WINDOW_S
        )
        if now < self._started_at + window_s:
            return True
        if self._gateway_replica.as_of:
            self._peer_gateways.mark_listed()
        return False

    async def _start(self) -> None:
        """Load the initial content, from other gateways if possible.

        A restarted gateway lists all kinds from the store at once. At the
        first start of the deployment no client waits yet: only the seeds read
        the store, and the others get the list of gateways from a seed.
        """
        followed = self.followed_gateway()
        if not self._registry.is_first_start:
            self._readers.start_listing()
        elif self._peer_gateways.is_seed:
            self._readers.start_watching()
        elif followed is None:
            await self._follow_seed()
            return
        if followed is None or not self._gateway_replica.as_of:
            await self._follow_if_failing(_START_POLL_S)
        elif not await self._follow(followed):
            await asyncio.sleep(_START_POLL_S)

    async def _follow_seed(self) -> None:
        channel = self._peer_gateways.choose_usable()
        if channel is not None and self._registry.registered.is_set():
            await self._fetch_updates(
                channel, {store_calls.GATEWAY_KIND: self._gateway_replica}, 0
            )
        await asyncio.sleep(_START_POLL_S)

    @property
    def _gateway_replica(self) -> replica.Replica:
        return self._replica_by_kind[store_calls.GATEWAY_KIND]

    async def _follow_if_failing(self, pause_s: float) -> None:
        is_on = self._switches.is_on(mechanism.Mechanism.PEER_NEWS)
        if is_on and self._readers.is_failing:
            await self._follow_any()
            return
        self._log_source('', self._peer_gateways.own_id)
        await asyncio.sleep(pause_s)

    def _watch_s(self, kind: str) -> float:
        members = self._peer_gateways.gateways
        if kind == store_calls.GATEWAY_KIND:
            return sync_source.gateways_watch_s(members)
        if self._replica_by_kind[kind].is_age_bounded:
            return sync_source.watch_s(self._bound_s, members)
        return sync_source.unbounded_watch_s(members)

    def _max_age_s(self) -> float:
        return sync_source.follower_age_s(
            self._bound_s,
            self._peer_gateways.gateways,
            self._spread_position,
        )

    def _replica_age_s(self) -> float:
        now = asyncio.get_running_loop().time()
        return max(
            kind_replica.age_s(now)
            for kind_replica in self._replica_by_kind.values()
        )

    def _is_fresh(self) -> bool:
        """Return whether a followed gateway keeps the replicas fresh."""
        max_age_s = sync_source.source_age_s(self._bound_s)
        return bool(self._followed_id) and self._replica_age_s() < max_age_s

    async def _follow_any(self) -> None:
        channel = self._peer_gateways.choose_usable(self._followed_id)
        if channel is None or not await self._follow(channel):
            self._followed_id = ''
            await asyncio.sleep(_RETRY_S * random.uniform(1, 2))

    async def _follow(self, channel: peer_channel.PeerChannel) -> bool:
        """Update from another gateway; return whether its content is fresh."""
        # The first reply is requested at once: until it arrives, the store is
        # read too.
        wait_s = (
            sync_source.max_hold_s(self._bound_s) if self._followed_id else 0
        )
        reply = await self._fetch_updates(
            channel, self._replica_by_kind, wait_s
        )
        if reply is None or not self._accept_reply(channel.end.name, reply):
            return False
        self._log_source(channel.end.name, reply.origin or channel.end.name)
        return True

    async def _fetch_updates(
        self,
        channel: peer_channel.PeerChannel,
        replica_by_kind: Mapping[str, replica.Replica],
        wait_s: float,
    ) -> sync_message.SyncReply | None:
        return await peer_updates.fetch(
            channel,
            replica_by_kind,
            wait_s,
            self._replica_age_s(),
            self._telemetry,
        )

    def _accept_reply(
        self,
        peer: str,
        reply: sync_message.SyncReply,
    ) -> bool:
        """Return whether the content is fresh and not this gateway's own.

        Guards against two gateways that follow each other while the store
        refuses one of them: each would treat its own content as fresh. A
        gateway that returns such content, or an origin whose content stays
        stale, is not followed for a while.
        """
        now = asyncio.get_running_loop().time()
        if reply.origin == self._peer_gateways.own_id:
            self._mark_stale(peer, now)
            return False
        if reply.age_s <= sync_source.source_age_s(self._bound_s):
            return True
        origin = reply.origin or peer
        if origin != self._service.origin:
            self._service.origin = origin
            self._origin_since = now
        elif now > self._origin_since + _ORIGIN_GRACE_S:
            self._mark_stale(origin, now)
        return False

    def _mark_stale(self, node_id: str, now: float) -> None:
        self._stale_until_by_id = {
            peer_id: until
            for peer_id, until in self._stale_until_by_id.items()
            if until > now
        }
        self._stale_until_by_id[node_id] = now + _STALE_SOURCE_S

    def _log_source(self, peer: str, origin: str) -> None:
        if origin != self._service.origin:
            self._service.origin = origin
            self._origin_since = asyncio.get_running_loop().time()
        if peer != self._followed_id:
            self._followed_id = peer
            self._telemetry.emit(
                events.SYNC_SOURCE,
                source=peer or 'store',
                origin=origin,
                age_ms=round(self._replica_age_s() * 1000),
            )
