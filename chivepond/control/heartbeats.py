"""Tells other nodes that this one lives, and hears what they know."""

import asyncio

import result

from chivepond.control import configuration, directory, object_cache
from chivepond.entry import peers as peer_clients
from chivepond.settings import node_settings
from chivepond.wire import heartbeat, notice_list, object_request

_MS_PER_S = 1000


class Heartbeats:
    """Sends heartbeats, and fetches from peers what they have newer."""

    __slots__ = (
        '_cache',
        '_configuration',
        '_directory',
        '_peers',
        '_settings',
        'is_leaving',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        cache: object_cache.ObjectCache,
        configured: configuration.Configuration,
        hosts: directory.Directory,
        peers: peer_clients.Peers,
    ) -> None:
        """Keep ``cache`` and ``hosts`` in step with other nodes."""
        self._settings = settings
        self._cache = cache
        self._configuration = configured
        self._directory = hosts
        self._peers = peers
        self.is_leaving = False

    def own(self) -> heartbeat.Heartbeat:
        """Return what this node says of itself."""
        return heartbeat.Heartbeat(
            node_id=self._settings.node_id,
            incarnation=0,
            is_leaving=self.is_leaving,
            revision=self._configuration.revision,
            version_by_key=self._cache.version_by_key(),
        )

    def answer(self, beat: heartbeat.Heartbeat) -> heartbeat.Heartbeat:
        """Take a heartbeat of a peer, and return this node's own."""
        self._directory.heard(beat, _now())
        return self.own()

    def copies(
        self, wanted: object_request.ObjectRequest
    ) -> notice_list.NoticeList:
        """Return the copies that a peer asked for."""
        by_key = self._cache.by_key
        return notice_list.NoticeList(
            notices=[by_key[key] for key in wanted.keys if key in by_key],
        )

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            await self.beat()
            await asyncio.sleep(self._settings.heartbeat_ms / _MS_PER_S)

    async def beat(self) -> None:
        """Exchange one heartbeat with each peer."""
        async with asyncio.TaskGroup() as group:
            for target in self._targets():
                group.create_task(self._beat(target))
        self._directory.refresh(_now())

    def _targets(self) -> list[str]:
        """Return the peers' addresses, or the seeds while none is known."""
        known = [peer.address for peer in self._directory.peers()]
        return known or self._settings.seeds

    async def _beat(self, target: str) -> None:
        sent_at = _now()
        answer = await self._peers.post_to(
            heartbeat.Heartbeat,
            target,
            '/internal/heartbeat',
            self.own(),
            self._settings.heartbeat_timeout_ms / _MS_PER_S,
        )
        match answer:
            case result.Ok(told):
                self._directory.heard(told, _now(), _now() - sent_at)
                await self._fetch(target, told)

    async def _fetch(self, target: str, told: heartbeat.Heartbeat) -> None:
        known = self._cache.version_by_key()
        newer = [
            key
            for key, version in told.version_by_key.items()
            if version > known.get(key, 0)
        ]
        if not newer:
            return
        answer = await self._peers.post_to(
            notice_list.NoticeList,
            target,
            '/internal/objects',
            object_request.ObjectRequest(keys=newer),
            self._settings.platform_timeout_ms / _MS_PER_S,
        )
        match answer:
            case result.Ok(copies):
                for one in copies.notices:
                    self._cache.offer(one)


def _now() -> float:
    return asyncio.get_running_loop().time()
