"""Cuts between data centres and from the platform, and what heals."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import result
from hypothesis import given, settings
from hypothesis import strategies as st

from chivepond.control import (
    acceptor,
    configuration,
    directory,
    editor,
    heartbeats,
    object_cache,
    relay,
    status_board,
    status_writer,
)
from chivepond.errors import outcome_unknown, unreachable
from chivepond.object_store import kinds
from chivepond.settings import node_settings
from chivepond.standins import object_table
from chivepond.wire import (
    codec,
    host,
    host_list,
    object_list,
    object_write,
    section_edit,
)

_PLACES = ('x', 'y')
_PER_PLACE = 3
_PLATFORM = 'platform'
_HEALING_ROUNDS = 30
_LONGEST_HOLD_S = 400
_ENDS = (*_PLACES, _PLATFORM)
_AWAY = result.Err(unreachable.Unreachable('cut', 'wait'))
_UNKNOWN = result.Err(outcome_unknown.OutcomeUnknown('no reply', 'read it'))
_ACTS = st.one_of(
    st.tuples(st.just('cut'), st.sampled_from(_ENDS), st.sampled_from(_ENDS)),
    st.tuples(st.just('heal'), st.just(''), st.just('')),
    st.tuples(st.just('edit'), st.sampled_from(_PLACES), st.just('')),
    st.tuples(st.just('pass'), st.sampled_from(('1', '9')), st.just('')),
    st.tuples(st.just('stop'), st.sampled_from(('0', '3')), st.just('')),
)


class _World:
    """Two data centres, the platform, and one-way cuts between the three.

    A message that is cut on its way is lost; a cut way back loses the reply
    of what took effect, which is also how too slow a link looks.
    """

    def __init__(self) -> None:
        """Start with all links whole."""
        self.now: float = 1000
        self.table = object_table.ObjectTable()
        self.cuts: set[tuple[str, str]] = set()
        self.stopped: set[str] = set()
        self.nodes: dict[str, _Node] = {}
        self.edits = 0
        for number in range(len(_PLACES) * _PER_PLACE):
            node = _Node(self, f'n{number}', _PLACES[number % 2])
            self.nodes[node.node_id] = node
        listed = [
            host.Host(one.node_id, 'node', one.place, one.place, '')
            for one in self.nodes.values()
        ]
        raw = codec.to_raw(host_list.HostList(1, listed))
        self.table.publish('hosts', 'all', raw)

    def reaches(self, one: str, other: str) -> bool:
        """Whether a message gets from one end to another."""
        return (one, other) not in self.cuts

    async def act(self, what: str, one: str, other: str) -> None:
        """Cut, heal, edit, stop a node, or let time pass."""
        match what:
            case 'cut':
                self.cuts.add((one, other))
            case 'heal':
                self.cuts.clear()
                self.stopped.clear()
            case 'stop':
                self.stopped ^= {f'n{one}'}
            case 'edit':
                await self._edit(one)
            case 'pass':
                await self.pass_periods(int(one))

    async def pass_periods(self, count: int) -> None:
        """Let every node that runs do what it does each period."""
        for _ in range(count):
            self.now += 0.5
            for node in self.nodes.values():
                if node.node_id not in self.stopped:
                    await node.period()

    async def _edit(self, place: str) -> None:
        self.edits += 1
        body = {'claim_retention_s': 60 + self.edits}
        editing = editor.Editor(_Link(self, place), _no_pause)
        found = await editing.view('audit')
        edits = found.map_or(0, lambda view: view.edits)
        raw = msgspec.Raw(msgspec.json.encode(body))
        await editing.apply(section_edit.SectionEdit('audit', edits, raw))


class _Link:
    """The platform, as one data centre reaches it."""

    def __init__(self, world: _World, place: str) -> None:
        """Follow the cuts of ``world``."""
        self._world = world
        self._place = place
        self._tokens = 0

    async def read(self, kind: str, name: str) -> Any:
        """Return an object."""
        return self._call(lambda: self._world.table.read(kind, name), _AWAY)

    async def list_kind(self, kind: str, limit: int) -> Any:
        """Return the objects of a kind."""
        return self._call(
            lambda: result.Ok(
                object_list.ObjectList(self._world.table.listed(kind, limit))
            ),
            _AWAY,
        )

    async def watch(
        self, watched: tuple[str, ...], after: int, wait_s: float
    ) -> Any:
        """Return what is newer, at once."""
        newer = self._world.table.newer(frozenset(watched), after)
        return self._call(
            lambda: result.Ok(object_list.ObjectList(newer)), _AWAY
        )

    async def write(
        self, kind: str, name: str, message: Any, expect: int
    ) -> Any:
        """Replace an object conditionally."""
        self._tokens += 1
        raw = codec.to_raw(message)
        told = object_write.ObjectWrite(expect, str(self._tokens), raw)
        return self._call(
            lambda: self._world.table.write(kind, name, told), _UNKNOWN
        )

    def _call(self, act: Callable[[], Any], lost: Any) -> Any:
        if not self._world.reaches(self._place, _PLATFORM):
            return lost
        reply = act()
        if not self._world.reaches(_PLATFORM, self._place):
            return lost
        return reply


class _Peers:
    """The other nodes, as one data centre reaches them."""

    def __init__(self, world: _World, place: str) -> None:
        """Follow the cuts of ``world``."""
        self._world = world
        self._place = place

    async def post_to(
        self,
        kind: type[Any],
        node_id: str,
        target: str,
        path: str,
        message: Any,
        timeout_s: float,
    ) -> Any:
        """Pass a message on, and the answer back."""
        to = self._world.nodes[node_id]
        if node_id in self._world.stopped:
            return _AWAY
        if not self._world.reaches(self._place, to.place):
            return _AWAY
        serve = to.beats.copies if 'objects' in path else to.beats.answer
        answer = serve(
            codec.decode(type(message), codec.encode(message)).unwrap()
        )
        if not self._world.reaches(to.place, self._place):
            return _AWAY
        return codec.decode(kind, codec.encode(answer))


class _Node:
    """One node's whole control part."""

    def __init__(self, world: _World, node_id: str, place: str) -> None:
        """Know nothing; ask the world."""
        told = node_settings.NodeSettings(
            node_id=node_id,
            data_centre=place,
            region=place,
            callers='',
            peers='',
            operators='',
            platform='',
        )
        rng = random.Random(node_id)
        link = _Link(world, place)
        self.node_id = node_id
        self.place = place
        self.highest = 0
        self.cache = object_cache.ObjectCache()
        self.configuration = configuration.Configuration(self.cache)
        self.hosts = directory.Directory(told, self.cache, lambda: world.now)
        board = status_board.StatusBoard(
            told, self.configuration, self.hosts, dict
        )
        self.beats = heartbeats.Heartbeats(
            told,
            self.cache,
            board,
            self.hosts,
            _Peers(world, place),
            rng,
            lambda: world.now,
        )
        self.relay = relay.Relay(told, link, self.cache, self.hosts, rng)
        self.acceptor = acceptor.Acceptor(
            link, self.cache, lambda: True, rng, _no_pause
        )
        self.writer = status_writer.StatusWriter(
            told, link, self.hosts, board, lambda: world.now, lambda: world.now
        )

    async def period(self) -> None:
        """Do what the loops of a node do in half a second."""
        if self.relay.is_relay:
            await self.relay.bring(0)
        draft = self.acceptor.pending()
        if draft is not None:
            await self.acceptor.attempt(draft)
        await self.beats.beat()
        await self.writer.step()
        assert self.configuration.revision >= self.highest
        self.highest = self.configuration.revision


async def _no_pause(seconds: float) -> None:
    """Wait for no time."""


@settings(max_examples=40)
@given(st.lists(_ACTS, max_size=25))
def test_accepted_configuration_holds_through_cuts(
    acts: list[tuple[str, str, str]],
) -> None:
    """Nothing reverts or stays apart when links fail, one way or both.

    After a cut between data centres, from the platform, or from both, some
    nodes go back to old rules, keep them for good, or two of them fight
    over the status of their data centre.
    """
    asyncio.run(_play(acts))


async def _play(acts: list[tuple[str, str, str]]) -> None:
    world = _World()
    await world.pass_periods(2)
    revision = 0
    for what, one, other in acts:
        await world.act(what, one, other)
        seen = _accepted(world)
        assert seen >= revision
        revision = seen
    await world.act('heal', '', '')
    await world.pass_periods(_HEALING_ROUNDS)
    for node in world.nodes.values():
        assert node.acceptor.pending() is None
        assert node.configuration.revision == _accepted(world)
    world.now += _LONGEST_HOLD_S
    await world.pass_periods(_HEALING_ROUNDS)
    _all_see_all(world)


def _all_see_all(world: _World) -> None:
    for node in world.nodes.values():
        live = node.hosts.view.live_by_data_centre
        assert sorted(live) == list(_PLACES)
        assert [len(ids) for ids in live.values()] == [_PER_PLACE, _PER_PLACE]
    writers = {one.hosts.status_writer() for one in world.nodes.values()}
    assert len(writers) == len(_PLACES)
    assert len(world.table.listed(kinds.STATUS, 0)) == len(_PLACES)


def _accepted(world: _World) -> int:
    found = world.table.read('deployment', 'accepted')
    if found.is_err():
        return 0
    return int(msgspec.json.decode(found.unwrap().body)['revision'])


def test_accepted_revision_reaches_a_side_cut_from_the_platform() -> None:
    """A data centre without the platform takes revisions from the other.

    Half of the fleet keeps yesterday's rules, though its links to the rest
    are whole; only those to the platform are not.
    """
    asyncio.run(_cut_from_platform())


async def _cut_from_platform() -> None:
    world = _World()
    await world.pass_periods(4)
    await world.act('cut', 'x', _PLATFORM)
    await world.act('edit', 'y', '')
    await world.pass_periods(20)
    revisions = {one.configuration.revision for one in world.nodes.values()}
    assert revisions == {_accepted(world)}
    assert revisions != {0}


def test_accepted_node_that_the_list_lacks_is_learned_by_its_peers() -> None:
    """A fresh node gets its work though the platform's list lags.

    A replaced host stands idle until the list has it, while its
    predecessor's work falls to the others.
    """
    asyncio.run(_join_unlisted())


async def _join_unlisted() -> None:
    world = _World()
    await world.pass_periods(2)
    fresh = _Node(world, 'n9', 'x')
    fresh.hosts.own_host = host.Host('n9', 'node', 'x', 'x', '')
    world.nodes['n9'] = fresh
    others = [one for one in world.nodes.values() if one is not fresh]
    await fresh.relay.bring(0)
    await fresh.beats.beat()
    assert not all('n9' in one.hosts.view.node_by_id for one in others)
    world.stopped.add('n9')
    await world.pass_periods(3)
    assert all('n9' in _live(one) for one in others)
    await world.pass_periods(20)
    assert not any('n9' in one.hosts.view.node_by_id for one in others)


def _live(node: _Node) -> list[str]:
    return node.hosts.view.live_by_data_centre['x']
