"""Who is alive, by what this node and its peers have heard."""

from collections.abc import Iterable

from chivepond.control import member
from chivepond.wire import member_news

#: At most so many states go with one heartbeat: some 500 bytes.
NEWS_LIMIT = 8
#: Each state is passed on so often: enough to reach 600 nodes.
_TELL_TIMES = 12
_SMOOTHING = 0.2
_FORGET_S = 3600


class MemberTable:
    """States of the other nodes; pure, with the time passed in.

    A node that fails to answer becomes suspect, and dead only after
    ``suspect_s`` seconds in which it did not clear itself.
    """

    __slots__ = (
        '_changed',
        '_fresh_by_id',
        '_member_by_id',
        '_own_id',
        '_suspect_by_id',
        '_suspect_s',
        '_ticked_at',
        'incarnation',
        'is_leaving',
    )

    def __init__(self, own_id: str, incarnation: int, suspect_s: float) -> None:
        """Start with nobody known; ``incarnation`` rises over restarts."""
        self._own_id = own_id
        self._suspect_s = suspect_s
        self._member_by_id: dict[str, member.Member] = {}
        self._suspect_by_id: dict[str, member.Member] = {}
        self._fresh_by_id: dict[str, member.Member] = {}
        self._changed: set[str] = set()
        self._ticked_at: float | None = None
        self.incarnation = incarnation
        self.is_leaving = False

    def state_of(self, node_id: str) -> str:
        """Return the state of a node; alive if nothing else is known."""
        known = self._member_by_id.get(node_id)
        return member.ALIVE if known is None else known.state

    def take_changed(self) -> set[str]:
        """Return the nodes whose state changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def round_trip_s(self, node_id: str) -> float:
        """Return the smoothed round trip to a node, zero if unknown."""
        known = self._member_by_id.get(node_id)
        return 0 if known is None else known.round_trip_s

    def own(self) -> member_news.MemberNews:
        """Return what this node says of itself."""
        state = member.LEAVING if self.is_leaving else member.ALIVE
        return member_news.MemberNews(self._own_id, state, self.incarnation)

    def take(self, news: Iterable[member_news.MemberNews], now: float) -> None:
        """Take in what peers say."""
        for one in news:
            if one.node_id == self._own_id:
                self._clear_itself(one)
            else:
                self._take_one(one, now)

    def measured(self, node_id: str, round_trip_s: float, now: float) -> None:
        """Note how long an exchange with a node took."""
        known = self._known(node_id, now)
        if known.round_trip_s:
            change = round_trip_s - known.round_trip_s
            known.round_trip_s += _SMOOTHING * change
        else:
            known.round_trip_s = round_trip_s

    def failed(self, node_id: str, now: float) -> None:
        """Suspect a node that did not answer."""
        known = self._known(node_id, now)
        if known.state == member.ALIVE:
            self._set(known, member.SUSPECT, now)

    def tick(self, now: float) -> bool:
        """Remove those suspected for too long; tell if this node stood still.

        Guards against a node that was paused: it shows as healthy peers all
        removed at once, since time has passed in which it could hear
        nobody. After a pause each suspicion gets its whole time again.
        """
        last = now if self._ticked_at is None else self._ticked_at
        self._ticked_at = now
        stood_still = now - last > self._suspect_s
        for known in list(self._suspect_by_id.values()):
            if stood_still:
                known.since = now
            elif now - known.since >= self._suspect_s:
                self._set(known, member.DEAD, now)
        return stood_still

    def news_for(self, receiver: str) -> list[member_news.MemberNews]:
        """Return news to pass on, the least told first.

        What is held against the receiver always goes with it: only it can
        clear itself.
        """
        about = self._member_by_id.get(receiver)
        chosen = [] if about is None or _is_fine(about) else [about]
        fresh = [
            known for known in self._fresh_by_id.values() if known is not about
        ]
        fresh.sort(key=_told)
        chosen.extend(fresh[: NEWS_LIMIT - len(chosen)])
        for known in chosen:
            known.told += 1
            if known.told >= _TELL_TIMES:
                self._fresh_by_id.pop(known.node_id, None)
        return [_news(known) for known in chosen]

    def prune(self, listed: Iterable[str], now: float) -> None:
        """Forget nodes that are off the list and long gone."""
        kept = frozenset(listed)
        gone = [
            node_id
            for node_id, known in self._member_by_id.items()
            if node_id not in kept and now - known.since > _FORGET_S
        ]
        for node_id in gone:
            self._member_by_id.pop(node_id)
            self._suspect_by_id.pop(node_id, None)
            self._fresh_by_id.pop(node_id, None)

    def _clear_itself(self, one: member_news.MemberNews) -> None:
        """Rise above what is said of this node, unless it is true.

        Guards against false suspicion: it shows as a healthy node that gets
        no work. A higher incarnation counts for more than any state of a
        lower one, and nobody else may raise it.
        """
        own = self.own()
        if _rank(one.incarnation, one.state) > _rank(
            own.incarnation,
            own.state,
        ):
            self.incarnation = one.incarnation + 1

    def _take_one(self, one: member_news.MemberNews, now: float) -> None:
        if one.state not in member.ORDER:
            return
        known = self._known(one.node_id, now)
        if _rank(one.incarnation, one.state) > _rank(
            known.incarnation,
            known.state,
        ):
            known.incarnation = one.incarnation
            if one.state == known.state:
                return
            self._set(known, one.state, now)

    def _set(self, known: member.Member, state: str, now: float) -> None:
        """Give a node a state, and keep the short lists in step.

        Suspects and news to pass on are few; going through all members for
        them would cost each heartbeat more in a larger fleet.
        """
        known.state = state
        known.since = now
        known.told = 0
        self._fresh_by_id[known.node_id] = known
        self._changed.add(known.node_id)
        if state == member.SUSPECT:
            self._suspect_by_id[known.node_id] = known
        else:
            self._suspect_by_id.pop(known.node_id, None)

    def _known(self, node_id: str, now: float) -> member.Member:
        known = self._member_by_id.get(node_id)
        if known is None:
            known = member.Member(node_id, now, told=_TELL_TIMES)
            self._member_by_id[node_id] = known
        return known


def _rank(incarnation: int, state: str) -> tuple[int, int]:
    return incarnation, member.ORDER.index(state)


def _is_fine(known: member.Member) -> bool:
    return known.state == member.ALIVE


def _told(known: member.Member) -> int:
    return known.told


def _news(known: member.Member) -> member_news.MemberNews:
    return member_news.MemberNews(
        known.node_id,
        known.state,
        known.incarnation,
    )
