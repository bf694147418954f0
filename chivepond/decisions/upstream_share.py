"""How gateways divide the capacity of one upstream service.

Load pattern: hundreds of gateways share the connections that a searcher
accepts and the hedges of its service, while a few of them send nearly all of
the requests: those in the data centres of the searchers, and among them the
ones with wide links, which aggregate for the others. Each gateway computes its
share from the list of gateways, without asking the others.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from chivepond.decisions import aggregator_selection, rendezvous

#: Weight of a gateway in a data centre without a searcher of the service.
_REMOTE_WEIGHT = 0.1
#: The part of a cap that is used; the rest covers differences between the
#: lists of gateways.
_USED_PART = 0.8
#: The part of the used connections that is handed out as one connection per
#: gateway.
_SINGLE_CONNECTION_PART = 0.5
#: Minimum number of gateways that a cap is divided among, because more may
#: start.
_MIN_GATEWAYS = 10
_RANK_KEY = 'connections'

#: The data centres with searchers of a service, and how many connections each
#: searcher accepts.
_HoldersKey = tuple[frozenset[str], int]


@dataclasses.dataclass(slots=True, frozen=True)
class Gateway:
    """A registered gateway."""

    node_id: str
    data_centre: str
    link_mbps: float


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """What one gateway may use of a service."""

    #: Its fraction of the whole, 0 to 1; the fractions of all gateways add up
    #: to one.
    part: float
    #: Its position in the order in which single connections are handed out.
    rank: int
    gateways: int

    def connections(self, cap: int) -> int:
        """Return how many connections it may open to one searcher.

        ``cap`` is the number that the searcher accepts. While there are few
        gateways each may open at least one, and the rest is divided by
        ``part``. Where there are many, only the first by ``rank`` may open
        one.
        """
        usable = _USED_PART * cap
        gateways = max(_MIN_GATEWAYS, self.gateways)
        single_connections = min(
            gateways, max(1, int(_SINGLE_CONNECTION_PART * usable))
        )
        remaining = max(0, usable - single_connections) * self._part_among(
            gateways
        )
        return int(self.rank < single_connections) + int(remaining)

    def _part_among(self, gateways: int) -> float:
        """Return the part if gateways not yet known had an even share."""
        return self.part * self.gateways / gateways


@dataclasses.dataclass(slots=True, frozen=True)
class Holders:
    """The gateways that may connect to the searchers of a service."""

    node_ids: frozenset[str]
    #: The data centres of those searchers.
    data_centres: frozenset[str]


class Shares:
    """The shares of one gateway, by the data centres of a service."""

    __slots__ = (
        '_gateway_by_id',
        '_holders_by_key',
        '_links_by_data_centre',
        '_own_id',
        '_rank_by_id',
        '_share_by_data_centres',
        'is_even',
    )

    def __init__(
        self,
        own: Gateway,
        others: Iterable[Gateway],
        *,
        is_even: bool = False,
    ) -> None:
        """Divide among ``own`` and ``others``.

        The shares follow the expected load of the gateways, or are equal if
        ``is_even``.
        """
        self._own_id = own.node_id
        self.is_even = is_even
        self._gateway_by_id = {
            gateway.node_id: gateway for gateway in (own, *others)
        }
        ranked = rendezvous.ranked(_RANK_KEY, list(self._gateway_by_id))
        self._rank_by_id = {
            node_id: rank for rank, node_id in enumerate(ranked)
        }
        self._links_by_data_centre = _links_by_data_centre(
            self._gateway_by_id.values()
        )
        self._share_by_data_centres: dict[frozenset[str], Share] = {}
        self._holders_by_key: dict[_HoldersKey, Holders] = {}

    def of(self, data_centres: frozenset[str]) -> Share:
        """Return the share in a service with searchers in ``data_centres``."""
        share = self._share_by_data_centres.get(data_centres)
        if share is None:
            share = self._share(self._own_id, data_centres)
            self._share_by_data_centres[data_centres] = share
        return share

    def holders(
        self,
        data_centres: frozenset[str],
        cap: int,
    ) -> Holders:
        """Return the gateways that may connect to a searcher with ``cap``."""
        key = (data_centres, cap)
        holders = self._holders_by_key.get(key)
        if holders is None:
            node_ids = frozenset(
                node_id
                for node_id in self._gateway_by_id
                if self._share(node_id, data_centres).connections(cap)
            )
            holders = Holders(node_ids, data_centres)
            self._holders_by_key[key] = holders
        return holders

    def _share(self, node_id: str, data_centres: frozenset[str]) -> Share:
        gateways = len(self._gateway_by_id)
        rank = self._rank_by_id[node_id]
        if self.is_even:
            return Share(1 / gateways, rank, gateways)
        total_weight = sum(
            len(links) * _data_centre_weight(name, data_centres)
            for name, links in self._links_by_data_centre.items()
        )
        gateway = self._gateway_by_id[node_id]
        weight = aggregator_selection.gather_weight(
            gateway.link_mbps,
            self._links_by_data_centre[gateway.data_centre],
        )
        weight *= _data_centre_weight(gateway.data_centre, data_centres)
        return Share(weight / total_weight, rank, gateways)


def _links_by_data_centre(
    gateways: Iterable[Gateway],
) -> Mapping[str, Sequence[float]]:
    links_by_data_centre: dict[str, list[float]] = {}
    for gateway in gateways:
        links_by_data_centre.setdefault(gateway.data_centre, []).append(
            gateway.link_mbps
        )
    return links_by_data_centre


def _data_centre_weight(
    data_centre: str, data_centres: frozenset[str]
) -> float:
    """Return the weight of the gateways of a data centre, at most 1."""
    if not data_centres or data_centre in data_centres:
        return 1
    return _REMOTE_WEIGHT
