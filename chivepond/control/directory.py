"""Who is there: the platform's list, corrected by what was heard."""

import asyncio
import random
import time
from collections.abc import Callable

import result

from chivepond.control import (
    member,
    member_table,
    object_cache,
    peer_groups,
    return_hold,
    unlisted_hosts,
    view,
)
from chivepond.object_store import kinds
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
_STATUS = 'status'


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class Directory:
    """The view of this node; serves its own routing only."""

    __slots__ = (
        '_clock',
        '_groups',
        '_hold',
        '_hosts',
        '_release_at',
        '_settings',
        '_unlisted',
        'members',
        'own_host',
        'view',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        cache: object_cache.ObjectCache,
        clock: Callable[[], float] = _loop_time,
    ) -> None:
        """Follow the platform's list in ``cache``.

        ``clock`` is that of the heartbeats: a list taken in at another
        time would bring nodes back that have been silent for long.
        ``own_host`` says where this node listens, once it does.
        """
        self._clock = clock
        self._settings = settings
        self._hosts: list[host.Host] = []
        self._groups = peer_groups.PeerGroups()
        self._hold = return_hold.ReturnHold()
        self._unlisted = unlisted_hosts.UnlistedHosts()
        self._release_at = float('inf')
        self.own_host: host.Host | None = None
        self.members = member_table.MemberTable(
            settings.node_id,
            int(time.time() * _MS_PER_S),
            settings.remove_after_ms / _MS_PER_S,
        )
        self.view = view.View({}, {}, {})
        cache.listen(self._on_notice)

    def peers(self) -> list[host.Host]:
        """Return the other nodes that are known."""
        own = self._settings.node_id
        return [
            one for one in self.view.node_by_id.values() if one.host_id != own
        ]

    def sample(self, rng: random.Random) -> list[host.Host]:
        """Return a few peers to exchange heartbeats with."""
        return self._groups.sample(rng)

    def status_writer(self) -> str:
        """Return the node that writes the status of this data centre."""
        ranked = self.view.ranked(_STATUS, self._settings.data_centre)
        return ranked[0] if ranked else ''

    def unlisted(self) -> list[host.Host]:
        """Return nodes to tell peers of, since the list may lack them."""
        return self._unlisted.to_pass_on(self.own_host)

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
        if self._introduce(beat):
            self._rebuild(now, is_new=True)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Work out who is live at ``now`` seconds, if that may differ."""
        changed = self.members.take_changed()
        for node_id in changed:
            if self.members.state_of(node_id) not in _IN_VIEW:
                self._hold.removed(node_id, now)
                self._unlisted.forget(node_id)
        if changed or now >= self._release_at:
            self._rebuild(now, is_new=not self.view.node_by_id)

    def _introduce(self, beat: heartbeat.Heartbeat) -> bool:
        """Take in nodes that the list lacks; tell whether there are some."""
        is_new = False
        for one in beat.unlisted:
            if one.host_id == self._settings.node_id:
                continue
            if self.members.state_of(one.host_id) in _IN_VIEW:
                is_sender = one.host_id == beat.node_id
                is_new |= self._unlisted.take(one, is_sender=is_sender)
        return is_new

    def _rebuild(self, now: float, *, is_new: bool) -> None:
        """Work out the view; ``is_new`` where hosts themselves changed."""
        nodes = [one for one in self._hosts if one.role == 'node']
        nodes.extend(self._unlisted.by_id.values())
        live: dict[str, list[str]] = {}
        held: dict[str, list[str]] = {}
        for one in nodes:
            if self._is_live(one):
                is_held = now < self._held_until(one.host_id)
                chosen = held if is_held else live
                chosen.setdefault(one.data_centre, []).append(one.host_id)
        self._release_at = float('inf')
        for where, node_ids in held.items():
            self._release(live.setdefault(where, []), node_ids)
        if is_new or live != self.view.live_by_data_centre:
            self._replace(nodes, live)

    def _release(self, live: list[str], held: list[str]) -> None:
        """Hold back half of a data centre at most.

        Guards against a hold that does more harm than moves do: after a cut
        that took a whole data centre, or most of it, the few nodes left
        would be handed all its work.
        """
        held.sort(key=self._held_until)
        most = (len(live) + len(held)) // 2
        while len(held) > most:
            live.append(held.pop(0))
        live.sort()
        if held:
            earliest = self._held_until(held[0])
            self._release_at = min(self._release_at, earliest)

    def _held_until(self, node_id: str) -> float:
        if node_id == self._settings.node_id:
            return 0
        return self._hold.until(node_id)

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
        self._groups = peer_groups.PeerGroups()
        is_live = {one for node_ids in live.values() for one in node_ids}
        for peer in self.peers():
            is_near = peer.data_centre == self._settings.data_centre
            if peer.host_id in is_live:
                group = self._groups.near if is_near else self._groups.far
            else:
                group = self._groups.removed
            group.append(peer)

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
                self._unlisted.follow(self._hosts)
                now = self._clock()
                self.members.prune([one.host_id for one in self._hosts], now)
                self._hold.prune(now)
                self._rebuild(now, is_new=True)
