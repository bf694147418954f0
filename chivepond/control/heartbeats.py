"""Tells other nodes that this one lives, and hears what they know."""

import asyncio
import random
from collections.abc import Callable

import msgspec
import result

from chivepond.control import directory, object_cache, status_board
from chivepond.entry import peers as peer_clients
from chivepond.observe import events, journal
from chivepond.settings import node_settings
from chivepond.wire import heartbeat, host, notice_list, object_request

_MS_PER_S = 1000
#: Every so many periods a node reports to the writer of the status.
_REPORT_EVERY = 8


def loop_time() -> float:
    """Return the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()


class Heartbeats:
    """Sends heartbeats, and fetches from peers what they have newer."""

    __slots__ = (
        '_board',
        '_cache',
        '_clock',
        '_directory',
        '_peers',
        '_random',
        '_reported',
        '_settings',
        '_until_report',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        cache: object_cache.ObjectCache,
        board: status_board.StatusBoard,
        hosts: directory.Directory,
        peers: peer_clients.Peers,
        rng: random.Random,
        clock: Callable[[], float] = loop_time,
    ) -> None:
        """Keep ``cache`` and ``hosts`` in step with other nodes."""
        self._settings = settings
        self._cache = cache
        self._board = board
        self._directory = hosts
        self._peers = peers
        self._random = rng
        self._clock = clock
        self._reported = 0
        self._until_report = rng.randrange(_REPORT_EVERY)

    def own(self, receiver: str) -> heartbeat.Heartbeat:
        """Return what this node says of itself, and news for the receiver."""
        members = self._directory.members
        is_report = receiver == self._directory.status_writer()
        return heartbeat.Heartbeat(
            node_id=self._settings.node_id,
            incarnation=members.incarnation,
            is_leaving=members.is_leaving,
            revision=self._board.revision,
            digest=self._cache.digest,
            news=members.news_for(receiver),
            unlisted=self._directory.unlisted(),
            searchers_by_state=(
                self._board.own(self._clock()) if is_report else None
            ),
        )

    def answer(self, beat: heartbeat.Heartbeat) -> heartbeat.Heartbeat:
        """Take a heartbeat of a peer, and return this node's own.

        The versions of all objects go along only if the digests differ.
        """
        self._hear(beat)
        own = self.own(beat.node_id)
        if beat.digest == own.digest:
            return own
        return msgspec.structs.replace(
            own,
            version_by_key=self._cache.version_by_key(),
        )

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
        """Exchange heartbeats with a few peers, with all after a pause."""
        if self._directory.members.tick(self._clock()):
            journal.log(events.NODE_WOKE)
            await self._beat_all(self._directory.peers())
        else:
            await self._beat_all(self._chosen())
        self._directory.refresh(self._clock())

    async def leave(self) -> None:
        """Tell all peers that this node leaves."""
        self._directory.members.is_leaving = True
        await self._beat_all(self._directory.peers())

    def _hear(
        self,
        told: heartbeat.Heartbeat,
        round_trip_s: float = 0,
    ) -> None:
        now = self._clock()
        self._directory.heard(told, now, round_trip_s)
        self._board.heard(told, now)

    def _chosen(self) -> list[host.Host]:
        """Return the peers of this period.

        The writer of the status takes the place of one of them now and
        then, and at once when a revision has come into force.
        """
        peers = self._directory.sample(self._random)
        self._until_report -= 1
        if self._until_report > 0 and self._reported == self._board.revision:
            return peers
        self._until_report = _REPORT_EVERY
        self._reported = self._board.revision
        writer_id = self._directory.status_writer()
        writer = self._directory.view.node_by_id.get(writer_id)
        if writer is None or writer_id == self._settings.node_id:
            return peers
        return [writer, *(one for one in peers[1:] if one != writer)]

    async def _beat_all(self, peers: list[host.Host]) -> None:
        async with asyncio.TaskGroup() as group:
            for peer in peers:
                group.create_task(self._beat(peer.host_id, peer.address))
            if not self._directory.view.node_by_id:
                for node_id, target in self._settings.seeds.items():
                    group.create_task(self._beat(node_id, target))

    async def _beat(self, node_id: str, target: str) -> None:
        sent_at = self._clock()
        answer = await self._peers.post_to(
            heartbeat.Heartbeat,
            node_id,
            target,
            '/internal/heartbeat',
            self.own(node_id),
            self._settings.heartbeat_timeout_ms / _MS_PER_S,
        )
        match answer:
            case result.Ok(told):
                self._hear(told, self._clock() - sent_at)
                await self._fetch(node_id, target, told)
            case result.Err():
                self._directory.members.failed(node_id, self._clock())

    async def _fetch(
        self,
        node_id: str,
        target: str,
        told: heartbeat.Heartbeat,
    ) -> None:
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
            node_id,
            target,
            '/internal/objects',
            object_request.ObjectRequest(keys=newer),
            self._settings.platform_timeout_ms / _MS_PER_S,
        )
        match answer:
            case result.Ok(copies):
                for one in copies.notices:
                    self._cache.offer(one)
