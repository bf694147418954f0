"""Membership: false suspicion clears itself, the dead and leaving go."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from chivepond.control import member, member_table, unlisted_hosts
from chivepond.wire import host

_COUNT = 4
_SUSPECT_S = 3
_AT = st.integers(0, _COUNT - 1)
_ROUNDS = 60


class _Peer:
    """A node with its table; ``is_up`` until it dies."""

    def __init__(self, node_id: str) -> None:
        """Start alive, at the first incarnation."""
        self.node_id = node_id
        self.is_up = True
        self.table = member_table.MemberTable(node_id, 1, _SUSPECT_S)


class MemberTables(stateful.RuleBasedStateMachine):
    """Nodes that meet, miss each other, die and leave."""

    def __init__(self) -> None:
        """Start with all of them up."""
        super().__init__()
        self.peers = [_Peer(f'n{number}') for number in range(_COUNT)]
        self.now: float = 0

    @stateful.rule(one=_AT, other=_AT, is_cut=st.booleans())
    def beat(self, one: int, other: int, *, is_cut: bool) -> None:
        """A node sends a heartbeat; it may be lost, also to a live one."""
        self._meet(self.peers[one], self.peers[other], is_cut=is_cut)

    @stateful.rule(at=_AT, seconds=st.sampled_from((0.5, 2, 9)))
    def pass_time(self, at: int, seconds: float) -> None:
        """Time passes, and one node notices."""
        self.now += seconds
        if self.peers[at].is_up:
            self.peers[at].table.tick(self.now)

    @stateful.rule(at=_AT)
    def leave(self, at: int) -> None:
        """A node says that it leaves, and is still there."""
        self.peers[at].table.is_leaving = True

    @stateful.rule(at=_AT)
    def die(self, at: int) -> None:
        """A node dies without a word."""
        self.peers[at].is_up = False

    @stateful.invariant()
    def news_are_bounded(self) -> None:
        """No heartbeat carries more than its share of news."""
        for peer in self.peers:
            limit = member_table.NEWS_LIMIT
            assert len(peer.table.news_for('n0')) <= limit

    def teardown(self) -> None:
        """When all links work, each node sees who is there."""
        up = [peer for peer in self.peers if peer.is_up]
        for _ in range(_ROUNDS):
            self.now += 0.5
            for one in up:
                one.table.tick(self.now)
                for other in self.peers:
                    self._meet(one, other, is_cut=False)
        for one in up:
            for other in self.peers:
                if one is not other:
                    seen = one.table.state_of(other.node_id)
                    assert seen in _allowed(other)

    def _meet(self, one: _Peer, other: _Peer, *, is_cut: bool) -> None:
        if one is other or not one.is_up:
            return
        if is_cut or not other.is_up:
            one.table.failed(other.node_id, self.now)
            return
        _tell(one, other, self.now)
        _tell(other, one, self.now)


def _tell(one: _Peer, other: _Peer, now: float) -> None:
    news = one.table.news_for(other.node_id)
    other.table.take([one.table.own(), *news], now)


def _allowed(other: _Peer) -> tuple[str, ...]:
    if not other.is_up:
        return (member.DEAD, member.LEAVING)
    if other.table.is_leaving:
        return (member.LEAVING,)
    return (member.ALIVE,)


TestMemberTables = MemberTables.TestCase
TestMemberTables.settings = settings(max_examples=100, stateful_step_count=30)


def test_member_paused_does_not_remove_its_peers_on_waking() -> None:
    """A node that wakes from a pause gives its suspects time to answer.

    Callers of one node see all its peers' shards missing after its host
    stood still. It suspected a peer just before, and wakes long after the
    time to remove it has passed, in which it could hear nobody.
    """
    table = member_table.MemberTable('n0', 1, _SUSPECT_S)
    table.tick(0)
    table.failed('n1', 0)
    assert table.tick(60)
    assert table.state_of('n1') == member.SUSPECT
    table.tick(62)
    table.tick(63)
    assert table.state_of('n1') == member.DEAD


def test_member_falsely_suspected_clears_itself() -> None:
    """A live node that missed one heartbeat keeps its work.

    Shards of a healthy owner go missing. One heartbeat to it was lost, and
    it never hears that it is suspected, or nobody hears its denial.
    """
    one, other = _Peer('n0'), _Peer('n1')
    _tell(other, one, 0)
    one.table.failed('n1', 0)
    assert one.table.state_of('n1') == member.SUSPECT
    _tell(one, other, 1)
    _tell(other, one, 1)
    assert one.table.state_of('n1') == member.ALIVE


def test_member_news_stay_bounded_when_a_rack_fails() -> None:
    """A heartbeat stays small when many nodes fail at once.

    All nodes stall after a rack went: each heartbeat carried news of all.
    """
    table = member_table.MemberTable('n0', 1, _SUSPECT_S)
    for number in range(50):
        table.failed(f'r{number}', 0)
    assert len(table.news_for('n1')) == member_table.NEWS_LIMIT


def test_member_leaving_is_known_to_the_third() -> None:
    """A node that leaves gets no work from those it told by way of others.

    Callers are cut when a host is replaced. It told one peer only.
    """
    leaver, middle, third = _Peer('n0'), _Peer('n1'), _Peer('n2')
    leaver.table.is_leaving = True
    _tell(leaver, middle, 0)
    _tell(middle, third, 0)
    assert third.table.state_of('n0') == member.LEAVING


def test_member_unlisted_changes_its_address_by_itself_alone() -> None:
    """An address that peers hand on does not undo a newer one.

    A node that was restarted elsewhere before the list had it gets work at
    its old address, since a peer still told of that.
    """
    old, new = (
        host.Host('n9', 'node', 'x', 'x', f'10.0.0.{number}:1')
        for number in (1, 2)
    )
    unlisted = unlisted_hosts.UnlistedHosts()
    unlisted.take(old, is_sender=False)
    unlisted.take(new, is_sender=True)
    unlisted.take(old, is_sender=False)
    assert unlisted.by_id == {'n9': new}
    unlisted.follow([old])
    assert not unlisted.by_id
