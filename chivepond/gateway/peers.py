"""The other gateways: where they are and how they do."""

import asyncio
import random
import types
from collections.abc import Iterable
from typing import Self

from chivepond.decisions import searcher_standing
from chivepond.gateway import link as links
from chivepond.gateway import peer_record, telemetry
from chivepond.observe import events
from chivepond.transport import address

#: Connections to one other gateway; each carries one gather at a time.
_CONNECTIONS = 8
#: Gathers that one gateway works on at a time before its time counts double.
_SLOTS = 8
#: Failures after which a gateway is asked no more for a while: each costs a
#: whole group of shards, and searchers can be asked from here as well.
_FAILURES = 1
#: What the way to another gateway and back takes, in seconds, until it was
#: measured, and the weight of the newest measurement.
_FIRST_WAY_S = 0.03
_NEWEST = 0.1


class Peers:
    """Links to the other gateways by name."""

    __slots__ = (
        '_known_by_id',
        '_link_by_id',
        '_own_id',
        '_seeds',
        '_telemetry',
        '_way_s_by_id',
    )

    def __init__(
        self,
        own_id: str,
        told: telemetry.Telemetry,
        seeds: Iterable[address.Address],
    ) -> None:
        """Know no gateway but ``seeds``, which may be stale."""
        self._seeds = [
            _link(peer_record.PeerRecord(str(place), place, ''))
            for place in seeds
        ]
        self._telemetry = told
        self._way_s_by_id: dict[str, float] = {}
        self._own_id = own_id
        self._known_by_id: dict[str, peer_record.PeerRecord] = {}
        self._link_by_id: dict[str, links.Link] = {}

    def __enter__(self) -> Self:
        """Return the peers."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all links."""
        self.replace(())

    @property
    def gateways(self) -> int:
        """How many gateways are registered, this one included."""
        return len(self._known_by_id) + 1

    def replace(self, records: Iterable[peer_record.PeerRecord]) -> None:
        """Take a whole list."""
        found = {one.node_id: one for one in records}
        found.pop(self._own_id, None)
        for node_id in list(self._known_by_id):
            if found.get(node_id) != self._known_by_id[node_id]:
                self._known_by_id.pop(node_id)
                self._telemetry.tell(events.PEER_GONE, peer=node_id)
                self._link_by_id.pop(node_id).__exit__(None, None, None)
        for node_id, record in found.items():
            if node_id not in self._known_by_id:
                self._known_by_id[node_id] = record
                self._telemetry.tell(
                    events.PEER_LEARNED,
                    peer=node_id,
                    address=str(record.address),
                )
                self._link_by_id[node_id] = _link(record)

    def helpers(self) -> frozenset[str]:
        """Return the data centres with a gateway that may be asked."""
        now = asyncio.get_running_loop().time()
        return frozenset(
            record.data_centre
            for node_id, record in self._known_by_id.items()
            if _is_sound(self._link_by_id[node_id], now)
        )

    def any(self) -> links.Link | None:
        """Return some gateway that may be asked, seeds included."""
        now = asyncio.get_running_loop().time()
        known = [*self._link_by_id.values(), *self._seeds]
        sound = [link for link in known if _is_sound(link, now)]
        return random.choice(sound or known) if known else None

    def way_s(self, node_id: str) -> float:
        """Return what the way to a gateway and back takes, in seconds."""
        return self._way_s_by_id.get(node_id, _FIRST_WAY_S)

    def learn_way(self, node_id: str, took_s: float) -> None:
        """Take the time that one exchange took beside the other's work."""
        known_s = self.way_s(node_id)
        self._way_s_by_id[node_id] = known_s + _NEWEST * (took_s - known_s)

    def choose(self, data_centre: str) -> links.Link | None:
        """Return a gateway of a data centre, a quick one of two at random."""
        now = asyncio.get_running_loop().time()
        sound = [
            link
            for node_id, link in self._link_by_id.items()
            if self._known_by_id[node_id].data_centre == data_centre
            and _is_sound(link, now)
        ]
        picked = random.sample(sound, min(2, len(sound)))
        return min(
            picked,
            key=lambda link: link.standing.expected_s(now),
            default=None,
        )


def _is_sound(link: links.Link, now: float) -> bool:
    return link.standing.trust(now) in {
        searcher_standing.Trust.USABLE,
        searcher_standing.Trust.ON_TRIAL,
    }


def _link(record: peer_record.PeerRecord) -> links.Link:
    return links.Link(
        links.LinkEnd(
            record.node_id,
            record.address,
            slots=_SLOTS,
            warmup_s=0,
            failures=_FAILURES,
        ),
        _CONNECTIONS,
    )
