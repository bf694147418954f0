"""Exchanges heartbeats with other nodes and fetches newer objects."""

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
#: Number of heartbeat periods between reports to the status writer.
_REPORT_INTERVAL = 8


def loop_time() -> float:
    """Return the time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()


class Heartbeats:
    """Sends and answers heartbeats; fetches newer objects from peers."""

    __slots__ = (
        '_board',
        '_cache',
        '_clock',
        '_directory',
        '_peers',
        '_random',
        '_reported_revision',
        '_settings',
        '_periods_until_report',
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
        """Update ``cache`` and ``hosts`` from the heartbeats of peers.

        ``clock`` returns seconds, as for ``hosts``.
        """
        self._settings = settings
        self._cache = cache
        self._board = board
        self._directory = hosts
        self._peers = peers
        self._random = rng
        self._clock = clock
        self._reported_revision = 0
        self._periods_until_report = rng.randrange(_REPORT_INTERVAL)

    def own(self, receiver: str) -> heartbeat.Heartbeat:
        """Return this node's state and member updates for ``receiver``.

        Only the status writer gets the states of this node's searchers.
        """
        members = self._directory.members
        is_report = receiver == self._directory.status_writer()
        return heartbeat.Heartbeat(
            node_id=self._settings.node_id,
            incarnation=members.incarnation,
            is_leaving=members.is_leaving,
            revision=self._board.revision,
            digest=self._cache.digest,
            news=members.updates_for(receiver),
            unlisted=self._directory.unlisted_nodes(),
            searchers_by_state=(
                self._board.own_searchers(self._clock()) if is_report else None
            ),
        )

    def answer(self, beat: heartbeat.Heartbeat) -> heartbeat.Heartbeat:
        """Process a heartbeat of a peer and return this node's own.

        The reply has the versions of all cached objects only if the digests
        of the two caches differ.
        """
        self._process(beat)
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
        """Return the cached objects among those that a peer requested."""
        by_key = self._cache.by_key
        return notice_list.NoticeList(
            notices=[by_key[key] for key in wanted.keys if key in by_key],
        )

    async def run(self) -> None:
        """Exchange heartbeats once per period until cancelled."""
        while True:
            await self.exchange()
            await asyncio.sleep(self._settings.heartbeat_ms / _MS_PER_S)

    async def exchange(self) -> None:
        """Exchange heartbeats with a sample of peers.

        After a pause of this process, exchange them with all peers.
        """
        if self._directory.members.tick(self._clock()):
            journal.log(events.NODE_WOKE)
            await self._exchange_with_all(self._directory.peers())
        else:
            await self._exchange_with_all(self._select_peers())
        self._directory.refresh(self._clock())

    async def leave(self) -> None:
        """Announce to all peers that this node is leaving."""
        self._directory.members.is_leaving = True
        await self._exchange_with_all(self._directory.peers())

    def _process(
        self,
        beat: heartbeat.Heartbeat,
        round_trip_s: float = 0,
    ) -> None:
        now = self._clock()
        self._directory.heard(beat, now, round_trip_s)
        self._board.record_report(beat, now)

    def _select_peers(self) -> list[host.Host]:
        """Return the peers to exchange heartbeats with in this period.

        The status writer replaces one of the sampled peers every
        ``_REPORT_INTERVAL`` periods, and in the first period after a new
        revision has come into force.
        """
        peers = self._directory.sample(self._random)
        self._periods_until_report -= 1
        if (
            self._periods_until_report > 0
            and self._reported_revision == self._board.revision
        ):
            return peers
        self._periods_until_report = _REPORT_INTERVAL
        self._reported_revision = self._board.revision
        writer_id = self._directory.status_writer()
        writer = self._directory.view.node_by_id.get(writer_id)
        if writer is None or writer_id == self._settings.node_id:
            return peers
        return [writer, *(peer for peer in peers[1:] if peer != writer)]

    async def _exchange_with_all(self, peers: list[host.Host]) -> None:
        async with asyncio.TaskGroup() as group:
            for peer in peers:
                group.create_task(
                    self._exchange_with(peer.host_id, peer.address)
                )
            if not self._directory.view.node_by_id:
                for node_id, target in self._settings.seeds.items():
                    group.create_task(self._exchange_with(node_id, target))

    async def _exchange_with(self, node_id: str, target: str) -> None:
        sent_at = self._clock()
        reply = await self._peers.post_to(
            heartbeat.Heartbeat,
            node_id,
            target,
            '/internal/heartbeat',
            self.own(node_id),
            self._settings.heartbeat_timeout_ms / _MS_PER_S,
        )
        match reply:
            case result.Ok(received):
                self._process(received, self._clock() - sent_at)
                await self._fetch_newer(node_id, target, received)
            case result.Err():
                self._directory.members.record_failure(node_id, self._clock())

    async def _fetch_newer(
        self,
        node_id: str,
        target: str,
        beat: heartbeat.Heartbeat,
    ) -> None:
        cached_version_by_key = self._cache.version_by_key()
        newer = [
            key
            for key, version in beat.version_by_key.items()
            if version > cached_version_by_key.get(key, 0)
        ]
        if not newer:
            return
        reply = await self._peers.post_to(
            notice_list.NoticeList,
            node_id,
            target,
            '/internal/objects',
            object_request.ObjectRequest(keys=newer),
            self._settings.platform_timeout_ms / _MS_PER_S,
        )
        match reply:
            case result.Ok(copies):
                for received_copy in copies.notices:
                    self._cache.offer(received_copy)
