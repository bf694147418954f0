"""Failure detection: peer states from heartbeats and gossip."""

from collections.abc import Iterable

from chivepond.control import member
from chivepond.wire import member_news

#: Maximum number of member updates per heartbeat, about 500 bytes.
MAX_UPDATES_PER_HEARTBEAT = 8
#: Number of heartbeats that carry each update, enough for 600 nodes.
_GOSSIP_COUNT = 12
_ROUND_TRIP_SMOOTHING = 0.2
_FORGET_AFTER_S = 3600


class MemberTable:
    """States of the other nodes; does no I/O and gets the time passed in.

    A node that fails to answer becomes suspect. It becomes dead only if it
    does not refute the suspicion within ``suspect_s`` seconds.
    """

    __slots__ = (
        '_changed',
        '_gossip_by_id',
        '_member_by_id',
        '_own_id',
        '_suspect_by_id',
        '_suspect_s',
        '_ticked_at',
        'incarnation',
        'is_leaving',
    )

    def __init__(self, own_id: str, incarnation: int, suspect_s: float) -> None:
        """Start empty; ``incarnation`` must increase with each restart."""
        self._own_id = own_id
        self._suspect_s = suspect_s
        self._member_by_id: dict[str, member.Member] = {}
        self._suspect_by_id: dict[str, member.Member] = {}
        self._gossip_by_id: dict[str, member.Member] = {}
        self._changed: set[str] = set()
        self._ticked_at: float | None = None
        self.incarnation = incarnation
        self.is_leaving = False

    def state_of(self, node_id: str) -> str:
        """Return the state of a node, alive for an unknown one."""
        peer = self._member_by_id.get(node_id)
        return member.ALIVE if peer is None else peer.state

    def pop_changed(self) -> set[str]:
        """Return the nodes whose state changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def round_trip_s(self, node_id: str) -> float:
        """Return the smoothed round trip to a node, 0 if unknown."""
        peer = self._member_by_id.get(node_id)
        return 0 if peer is None else peer.round_trip_s

    def own_update(self) -> member_news.MemberNews:
        """Return the update about this node itself."""
        state = member.LEAVING if self.is_leaving else member.ALIVE
        return member_news.MemberNews(self._own_id, state, self.incarnation)

    def merge(
        self, updates: Iterable[member_news.MemberNews], now: float
    ) -> None:
        """Merge member updates that were received at ``now`` seconds."""
        for update in updates:
            if update.node_id == self._own_id:
                self._refute(update)
            else:
                self._merge_update(update, now)

    def record_round_trip(
        self, node_id: str, round_trip_s: float, now: float
    ) -> None:
        """Update the smoothed round trip to a node with a new sample."""
        peer = self._peer(node_id, now)
        if peer.round_trip_s:
            change = round_trip_s - peer.round_trip_s
            peer.round_trip_s += _ROUND_TRIP_SMOOTHING * change
        else:
            peer.round_trip_s = round_trip_s

    def record_failure(self, node_id: str, now: float) -> None:
        """Mark a live node as suspect after it failed to answer."""
        peer = self._peer(node_id, now)
        if peer.state == member.ALIVE:
            self._set_state(peer, member.SUSPECT, now)

    def tick(self, now: float) -> bool:
        """Mark overdue suspects as dead; tell if this process was paused.

        Guards against a paused process that removes all its healthy suspects
        at once, because their time ran out while it could not receive their
        refutations. After a pause each suspicion starts anew.
        """
        last_tick_at = now if self._ticked_at is None else self._ticked_at
        self._ticked_at = now
        was_paused = now - last_tick_at > self._suspect_s
        for peer in list(self._suspect_by_id.values()):
            if was_paused:
                peer.since = now
            elif now - peer.since >= self._suspect_s:
                self._set_state(peer, member.DEAD, now)
        return was_paused

    def updates_for(self, receiver: str) -> list[member_news.MemberNews]:
        """Return updates to send to ``receiver``, the least often sent first.

        A suspicion or worse about the receiver itself is always included:
        only the receiver can refute it.
        """
        receiver_entry = self._member_by_id.get(receiver)
        chosen = (
            []
            if receiver_entry is None or _is_alive(receiver_entry)
            else [receiver_entry]
        )
        gossip = [
            peer
            for peer in self._gossip_by_id.values()
            if peer is not receiver_entry
        ]
        gossip.sort(key=_times_sent)
        chosen.extend(gossip[: MAX_UPDATES_PER_HEARTBEAT - len(chosen)])
        for peer in chosen:
            peer.told += 1
            if peer.told >= _GOSSIP_COUNT:
                self._gossip_by_id.pop(peer.node_id, None)
        return [_update(peer) for peer in chosen]

    def prune(self, listed: Iterable[str], now: float) -> None:
        """Remove nodes that are not listed and had no change for an hour."""
        listed_ids = frozenset(listed)
        expired = [
            node_id
            for node_id, peer in self._member_by_id.items()
            if node_id not in listed_ids and now - peer.since > _FORGET_AFTER_S
        ]
        for node_id in expired:
            self._member_by_id.pop(node_id)
            self._suspect_by_id.pop(node_id, None)
            self._gossip_by_id.pop(node_id, None)

    def _refute(self, update: member_news.MemberNews) -> None:
        """Raise the incarnation above that of a wrong update on this node.

        Guards against a healthy node that gets no work because of a false
        suspicion. A higher incarnation overrides any state of a lower one,
        and only the node itself may raise its own.
        """
        own_update = self.own_update()
        if _rank(update.incarnation, update.state) > _rank(
            own_update.incarnation,
            own_update.state,
        ):
            self.incarnation = update.incarnation + 1

    def _merge_update(self, update: member_news.MemberNews, now: float) -> None:
        if update.state not in member.ORDER:
            return
        peer = self._peer(update.node_id, now)
        if _rank(update.incarnation, update.state) > _rank(
            peer.incarnation,
            peer.state,
        ):
            peer.incarnation = update.incarnation
            if update.state == peer.state:
                return
            self._set_state(peer, update.state, now)

    def _set_state(self, peer: member.Member, state: str, now: float) -> None:
        """Set the state of a node; update the indexes of suspects and gossip.

        The indexes are small; a scan of all members would make each
        heartbeat cost more in a larger fleet.
        """
        peer.state = state
        peer.since = now
        peer.told = 0
        self._gossip_by_id[peer.node_id] = peer
        self._changed.add(peer.node_id)
        if state == member.SUSPECT:
            self._suspect_by_id[peer.node_id] = peer
        else:
            self._suspect_by_id.pop(peer.node_id, None)

    def _peer(self, node_id: str, now: float) -> member.Member:
        peer = self._member_by_id.get(node_id)
        if peer is None:
            peer = member.Member(node_id, now, told=_GOSSIP_COUNT)
            self._member_by_id[node_id] = peer
        return peer


def _rank(incarnation: int, state: str) -> tuple[int, int]:
    return incarnation, member.ORDER.index(state)


def _is_alive(peer: member.Member) -> bool:
    return peer.state == member.ALIVE


def _times_sent(peer: member.Member) -> int:
    return peer.told


def _update(peer: member.Member) -> member_news.MemberNews:
    return member_news.MemberNews(
        peer.node_id,
        peer.state,
        peer.incarnation,
    )
