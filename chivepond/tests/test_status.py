"""Status: written by one node at a time, bounded, never jumping back."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from chivepond.control import (
    configuration,
    directory,
    member,
    object_cache,
    status_board,
    status_writer,
)
from chivepond.object_store import kinds
from chivepond.settings import node_settings
from chivepond.tests import stepped
from chivepond.wire import (
    codec,
    data_centre_status,
    heartbeat,
    host,
    host_list,
    member_news,
    node_status,
    notice,
)

_WHERE = 'x'
_IDS = ('a', 'b')
_FATES = (*list(stepped.Fate), *[stepped.Fate.DONE for _ in range(4)])
_ACTIONS = st.sampled_from(('start', 'step', 'step', 'believe', 'time'))


class _World:
    """Two nodes of one data centre, a platform and a clock."""

    def __init__(self) -> None:
        """Start at time zero."""
        self.now: float = 0
        self.platform = stepped.SteppedPlatform()
        self.nodes = [_Node(self, node_id) for node_id in _IDS]
        self.first = next(one for one in self.nodes if one.is_first())
        self.other = next(one for one in self.nodes if one is not self.first)

    def status(self) -> data_centre_status.DataCentreStatus | None:
        """Return what is on the platform."""
        found = self.platform.table.read(kinds.STATUS, _WHERE)
        if found.is_err():
            return None
        return codec.decode(
            data_centre_status.DataCentreStatus, found.unwrap().body
        ).unwrap()

    def act(self, what: str, node: '_Node', pick: int) -> None:
        """Let a node do something, or time pass."""
        match what:
            case 'time':
                self.now += 2 * pick
            case 'believe':
                state = member.DEAD if pick > 3 else member.ALIVE
                other = self.nodes[0 if node is self.nodes[1] else 1]
                node.believe(other.node_id, state)
            case 'start' if node.running is None or node.running.is_done:
                node.activate(int(self.now) + 1)
                node.running = node.start()
            case 'step' if node.running is not None:
                node.running.step(_FATES[pick])


class _Node:
    """One node's part in the status."""

    def __init__(self, world: _World, node_id: str) -> None:
        """Know both nodes as live."""
        told = node_settings.NodeSettings(
            node_id=node_id,
            data_centre=_WHERE,
            region=_WHERE,
            callers='',
            peers='',
            operators='',
            platform='',
        )
        self.node_id = node_id
        self.world = world
        self.cache = object_cache.ObjectCache()
        self.hosts = directory.Directory(
            told, self.cache, lambda: self.world.now
        )
        listed = [host.Host(one, 'node', _WHERE, _WHERE, '') for one in _IDS]
        raw = codec.to_raw(host_list.HostList(1, listed))
        self.cache.offer(notice.Notice(kinds.HOSTS, 1, raw))
        self.board = status_board.StatusBoard(
            told,
            configuration.Configuration(self.cache),
            self.hosts,
            dict,
        )
        self.writer = status_writer.StatusWriter(
            told,
            world.platform,
            self.hosts,
            self.board,
            lambda: self.world.now,
            lambda: self.world.now,
        )
        self.running: stepped.Stepped | None = None
        self.incarnation = 1

    def is_first(self) -> bool:
        """Whether it takes itself for the writer."""
        return self.hosts.status_writer() == self.node_id

    def start(self) -> stepped.Stepped:
        """Begin one step of the writer."""
        return stepped.Stepped(self.world.platform, self.writer.step())

    def believe(self, node_id: str, state: str) -> None:
        """Hear that another node is alive or dead."""
        self.incarnation += 1
        told = member_news.MemberNews(node_id, state, self.incarnation)
        self.hosts.members.take([told], self.world.now)
        self.hosts.refresh(self.world.now)

    def activate(self, revision: int) -> None:
        """See an accepted revision."""
        raw = codec.to_raw({'revision': revision, 'document': {}})
        told = notice.Notice(kinds.DEPLOYMENT_ACCEPTED, revision, raw)
        self.cache.offer(told)


@settings(max_examples=150)
@given(st.lists(st.tuples(_ACTIONS, st.integers(0, 15)), max_size=40))
def test_status_never_jumps_back(acts: list[tuple[str, int]]) -> None:
    """A status on the platform is only replaced by one put together later.

    Operators see fewer nodes on the new revision than a moment ago. Two
    nodes take themselves for the writer, one of them was paused between
    reading and writing.
    """
    world = _World()
    written_at: float = 0
    for what, pick in acts:
        world.act(what, world.nodes[pick % 2], pick // 2)
        told = world.status()
        if told is not None:
            assert told.written_at >= written_at
            written_at = told.written_at


def test_status_of_a_paused_writer_is_lost_after_takeover() -> None:
    """A writer that was paused does not put its old status over a new one.

    Operators see a dead revision come back. The writer stood still just
    before its write, long enough for the next node to take over.
    """
    world = _World()
    world.first.start().finish()
    world.now += 20
    paused = world.first.start()
    world.now += 20
    world.other.believe(world.first.node_id, member.DEAD)
    world.other.start().finish()
    paused.finish()
    told = world.status()
    assert told is not None
    assert told.written_by == world.other.node_id
    world.now += 20
    world.first.start().finish()
    again = world.status()
    assert again is not None
    assert again.written_by == world.first.node_id


def test_status_is_put_together_after_its_version_was_read() -> None:
    """A node that pauses at its first write does not put old over new.

    As above, but the node had not read the version before it was paused, so
    that it reads that of the newer status.
    """
    world = _World()
    paused = world.first.start()
    world.now += 20
    world.other.believe(world.first.node_id, member.DEAD)
    world.other.start().finish()
    world.now += 1
    paused.finish()
    told = world.status()
    assert told is not None
    assert told.written_at >= 20


def test_status_is_written_by_the_first_node_alone() -> None:
    """A node whose turn it is not writes nothing.

    The platform gets as many writes as there are nodes.
    """
    world = _World()
    world.other.start().finish()
    assert world.status() is None


def test_status_costs_the_platform_a_bounded_rate() -> None:
    """Writes stay few, with and without changes.

    The platform slows down for all while a fleet is being replaced.
    """
    world = _World()
    for _ in range(120):
        world.now += 0.5
        world.first.start().finish()
    assert _version(world) <= 7
    for revision in range(1, 121):
        world.now += 0.5
        world.first.activate(revision)
        world.first.start().finish()
    assert 20 <= _version(world) <= 38


def test_status_counts_a_node_that_was_long_not_heard_as_silent() -> None:
    """Old reports are not told as new ones.

    A status says that all nodes have the new revision; one is cut off. And
    a writer that wakes from a pause has nothing but old reports.
    """
    world = _World()
    beat = heartbeat.Heartbeat(
        world.other.node_id, 1, 7, searchers_by_state={'ready': 3}
    )
    world.first.board.heard(beat, 0)
    fresh = world.first.board.summary(status_board.FRESH_S, 0)
    assert fresh.nodes_by_revision == {0: 1, 7: 1}
    assert fresh.searchers_by_state == {'ready': 3}
    old = world.first.board.summary(status_board.FRESH_S + 1, 0)
    assert (old.silent, old.nodes_by_revision) == (1, {0: 1})


def test_status_is_shown_late_while_the_platform_is_away() -> None:
    """While the platform is away operators see the last status and its age.

    Operators take a picture of ten minutes ago for the present.
    """
    world = _World()
    world.first.start().finish()
    world.now += 600
    node = node_status.NodeStatus('a', _WHERE, 1, '', [], 0)
    showing = stepped.Stepped(world.platform, world.first.writer.show(node))
    showing.step(stepped.Fate.AWAY)
    shown = showing.finish()
    assert shown.trouble
    assert shown.read_age_s == 600
    assert [(one.age_s, one.is_late) for one in shown.data_centres] == [
        (600, True)
    ]


def _version(world: _World) -> int:
    found = world.platform.table.read(kinds.STATUS, _WHERE)
    return msgspec.convert(found.unwrap().version, int)
