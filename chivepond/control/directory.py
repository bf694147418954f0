"""Live hosts: the platform's host list, corrected by heartbeats."""

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
#: A suspected node keeps its searchers until it is removed.
_ROUTABLE_STATES = (member.ALIVE, member.SUSPECT)
_STATUS_KEY = 'status'


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class Directory:
    """Maintains this node's own view of the live hosts, for its routing."""

    __slots__ = (
        '_clock',
        '_groups',
        '_return_hold',
        '_listed_hosts',
        '_release_at',
        '_settings',
        '_unlisted_hosts',
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
        """Subscribe to the platform's host list in ``cache``.

        ``clock`` returns seconds and must be the clock of the heartbeats: a
        list processed at a time of another clock would restore nodes that
        have been silent for long. ``own_host`` is the address of this node,
        None until it listens.
        """
        self._clock = clock
        self._settings = settings
        self._listed_hosts: list[host.Host] = []
        self._groups = peer_groups.PeerGroups()
        self._return_hold = return_hold.ReturnHold()
        self._unlisted_hosts = unlisted_hosts.UnlistedHosts()
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
        """Return all known nodes except this one, live or not."""
        own_id = self._settings.node_id
        return [
            node
            for node in self.view.node_by_id.values()
            if node.host_id != own_id
        ]

    def sample(self, rng: random.Random) -> list[host.Host]:
        """Return a random sample of peers to exchange heartbeats with."""
        return self._groups.sample(rng)

    def status_writer(self) -> str:
        """Return the id of the node that writes this data centre's status.

        Empty if no node of the data centre is live.
        """
        ranked = self.view.ranked(_STATUS_KEY, self._settings.data_centre)
        return ranked[0] if ranked else ''

    def unlisted_nodes(self) -> list[host.Host]:
        """Return nodes to announce to peers because the list may lack them."""
        return self._unlisted_hosts.to_announce(self.own_host)

    def round_trip_s(self, data_centre: str) -> float:
        """Return the mean round trip to a data centre, 0 if unknown."""
        round_trips_s = [
            self.members.round_trip_s(peer.host_id)
            for peer in self.peers()
            if peer.data_centre == data_centre
        ]
        known_s = [seconds for seconds in round_trips_s if seconds]
        return sum(known_s) / len(known_s) if known_s else 0

    def heard(
        self,
        beat: heartbeat.Heartbeat,
        now: float,
        round_trip_s: float = 0,
    ) -> None:
        """Process a heartbeat that was received at ``now`` seconds.

        ``round_trip_s`` is 0 for a heartbeat that the peer initiated.
        """
        state = member.LEAVING if beat.is_leaving else member.ALIVE
        sender = member_news.MemberNews(
            beat.node_id,
            state,
            beat.incarnation,
        )
        self.members.merge([sender, *beat.news], now)
        if round_trip_s:
            self.members.record_round_trip(beat.node_id, round_trip_s, now)
        if self._add_unlisted_nodes(beat):
            self._rebuild(now, has_new_hosts=True)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Rebuild the view at ``now`` seconds if a state or hold changed."""
        changed = self.members.pop_changed()
        for node_id in changed:
            if self.members.state_of(node_id) not in _ROUTABLE_STATES:
                self._return_hold.record_removal(node_id, now)
                self._unlisted_hosts.discard(node_id)
        if changed or now >= self._release_at:
            self._rebuild(now, has_new_hosts=not self.view.node_by_id)

    def _add_unlisted_nodes(self, beat: heartbeat.Heartbeat) -> bool:
        """Add nodes that the list lacks; tell whether any is new or changed."""
        has_new_hosts = False
        for node in beat.unlisted:
            if node.host_id == self._settings.node_id:
                continue
            if self.members.state_of(node.host_id) in _ROUTABLE_STATES:
                is_sender = node.host_id == beat.node_id
                has_new_hosts |= self._unlisted_hosts.add(
                    node, is_sender=is_sender
                )
        return has_new_hosts

    def _rebuild(self, now: float, *, has_new_hosts: bool) -> None:
        """Rebuild the view; ``has_new_hosts`` forces its replacement."""
        nodes = [node for node in self._listed_hosts if node.role == 'node']
        nodes.extend(self._unlisted_hosts.by_id.values())
        live: dict[str, list[str]] = {}
        held: dict[str, list[str]] = {}
        for node in nodes:
            if self._is_live(node):
                is_held = now < self._held_until(node.host_id)
                ids_by_data_centre = held if is_held else live
                ids_by_data_centre.setdefault(node.data_centre, []).append(
                    node.host_id
                )
        self._release_at = float('inf')
        for data_centre, node_ids in held.items():
            self._limit_held(live.setdefault(data_centre, []), node_ids)
        if has_new_hosts or live != self.view.live_by_data_centre:
            self._replace_view(nodes, live)

    def _limit_held(self, live: list[str], held: list[str]) -> None:
        """Move nodes from ``held`` to ``live`` until at most half are held.

        Guards against a hold that does more harm than moved searchers: after
        a partition that removed all or most nodes of a data centre, the few
        remaining ones would get all its searchers.
        """
        held.sort(key=self._held_until)
        max_held = (len(live) + len(held)) // 2
        while len(held) > max_held:
            live.append(held.pop(0))
        live.sort()
        if held:
            earliest = self._held_until(held[0])
            self._release_at = min(self._release_at, earliest)

    def _held_until(self, node_id: str) -> float:
        if node_id == self._settings.node_id:
            return 0
        return self._return_hold.held_until(node_id)

    def _replace_view(
        self,
        nodes: list[host.Host],
        live: dict[str, list[str]],
    ) -> None:
        self.view = view.View(
            node_by_id={node.host_id: node for node in nodes},
            searcher_by_id={
                node.host_id: node
                for node in self._listed_hosts
                if node.role == 'searcher'
            },
            live_by_data_centre=live,
        )
        self._groups = peer_groups.PeerGroups()
        live_ids = {
            node_id for node_ids in live.values() for node_id in node_ids
        }
        for peer in self.peers():
            is_near = peer.data_centre == self._settings.data_centre
            if peer.host_id in live_ids:
                group = self._groups.near if is_near else self._groups.far
            else:
                group = self._groups.removed
            group.append(peer)

    def _is_live(self, node: host.Host) -> bool:
        if node.host_id == self._settings.node_id:
            return True
        if node.state != 'live':
            return False
        return self.members.state_of(node.host_id) in _ROUTABLE_STATES

    def _on_notice(self, update: notice.Notice) -> None:
        if update.key != kinds.HOSTS:
            return
        match codec.decode(host_list.HostList, update.body):
            case result.Ok(listed):
                self._listed_hosts = listed.hosts
                self._unlisted_hosts.drop_listed(self._listed_hosts)
                now = self._clock()
                self.members.prune(
                    [node.host_id for node in self._listed_hosts], now
                )
                self._return_hold.prune(now)
                self._rebuild(now, has_new_hosts=True)
