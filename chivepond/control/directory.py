"""Who is there: the platform's list, corrected by what was heard."""

import asyncio
import random
import time
from collections.abc import Callable

import result

from chivepond.control import member, member_table, object_cache, view
from chivepond.platform import kinds
from chivepond.settings import node_settings
from chivepond.wire import (
    codec,
    heartbeat,
    host,
    host_list,
    member_news,
    notice,
)

_MS_PER_S = 1000
#: A suspected node keeps its work until it is removed.
_IN_VIEW = (member.ALIVE, member.SUSPECT)
_NEAR = 3
_FAR = 1
_REMOVED = 1


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class Directory:
    """The view of this node; serves its own routing only."""

    __slots__ = ('_clock', '_hosts', '_settings', 'members', 'view')

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        cache: object_cache.ObjectCache,
        clock: Callable[[], float] = _loop_time,
    ) -> None:
        """Follow the platform's list in ``cache``.

        ``clock`` is that of the heartbeats: a list taken in at another
        time would bring nodes back that have been silent for long.
        """
        self._clock = clock
        self._settings = settings
        self._hosts: list[host.Host] = []
        self.members = member_table.MemberTable(
            settings.node_id,
            int(time.time() * _MS_PER_S),
            settings.remove_after_ms / _MS_PER_S,
        )
        self.view = view.View({}, {}, {})
        cache.listen(self._on_notice)

    def peers(self) -> list[host.Host]:
        """Return the other nodes of the platform's list."""
        own = self._settings.node_id
        return [
            one for one in self.view.node_by_id.values() if one.host_id != own
        ]

    def sample(self, rng: random.Random) -> list[host.Host]:
        """Return a few peers to exchange heartbeats with.

        Some of the data centre, one of the others, and one that is removed
        from the view: it may be back, or wrongly thought dead.
        """
        near: list[host.Host] = []
        far: list[host.Host] = []
        removed: list[host.Host] = []
        for peer in self.peers():
            is_near = peer.data_centre == self._settings.data_centre
            if self._is_live(peer):
                (near if is_near else far).append(peer)
            else:
                removed.append(peer)
        return [
            *_drawn(near, _NEAR, rng),
            *_drawn(far, _FAR, rng),
            *_drawn(removed, _REMOVED, rng),
        ]

    def round_trip_s(self, data_centre: str) -> float:
        """Return the mean round trip to a data centre, zero if unknown."""
        measured = [
            self.members.round_trip_s(peer.host_id)
            for peer in self.peers()
            if peer.data_centre == data_centre
        ]
        known = [one for one in measured if one]
        return sum(known) / len(known) if known else 0

    def heard(
        self,
        beat: heartbeat.Heartbeat,
        now: float,
        round_trip_s: float = 0,
    ) -> None:
        """Take a sign of life."""
        state = member.LEAVING if beat.is_leaving else member.ALIVE
        sender = member_news.MemberNews(
            beat.node_id,
            state,
            beat.incarnation,
        )
        self.members.take([sender, *beat.news], now)
        if round_trip_s:
            self.members.measured(beat.node_id, round_trip_s, now)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Work out who is live at ``now`` seconds."""
        nodes = [one for one in self._hosts if one.role == 'node']
        live: dict[str, list[str]] = {}
        for one in nodes:
            if self._is_live(one):
                live.setdefault(one.data_centre, []).append(one.host_id)
        if live == self.view.live_by_data_centre and self.view.node_by_id:
            return
        self._replace(nodes, live)

    def _replace(
        self,
        nodes: list[host.Host],
        live: dict[str, list[str]],
    ) -> None:
        self.view = view.View(
            node_by_id={one.host_id: one for one in nodes},
            searcher_by_id={
                one.host_id: one
                for one in self._hosts
                if one.role == 'searcher'
            },
            live_by_data_centre=live,
        )

    def _is_live(self, one: host.Host) -> bool:
        if one.host_id == self._settings.node_id:
            return True
        if one.state != 'live':
            return False
        return self.members.state_of(one.host_id) in _IN_VIEW

    def _on_notice(self, told: notice.Notice) -> None:
        if told.key != kinds.HOSTS:
            return
        match codec.decode(host_list.HostList, told.body):
            case result.Ok(listed):
                self._hosts = listed.hosts
                self.view = view.View({}, {}, {})
                now = self._clock()
                self.members.prune([one.host_id for one in self._hosts], now)
                self.refresh(now)


def _drawn(
    peers: list[host.Host],
    count: int,
    rng: random.Random,
) -> list[host.Host]:
    return rng.sample(peers, min(count, len(peers)))
