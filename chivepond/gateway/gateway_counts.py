"""Counts of a gateway's routes, searchers, peers and connections."""

from chivepond.gateway import peers, request_router, searchers


class GatewayCounts:
    """Reads counts from the components of a gateway."""

    __slots__ = ('_peers', '_searchers', '_router')

    def __init__(
        self,
        router: request_router.RequestRouter,
        searcher_registry: searchers.Searchers,
        peer_gateways: peers.Peers,
    ) -> None:
        """Read from these components."""
        self._router = router
        self._searchers = searcher_registry
        self._peers = peer_gateways

    @property
    def routes_version(self) -> int | None:
        """The version of the active routing table; none before the first."""
        return self._router.table and self._router.table.version

    @property
    def searchers_known(self) -> int:
        """The number of registered searchers."""
        return self._searchers.count

    @property
    def searcher_connections(self) -> int:
        """The number of open connections to searchers."""
        return self._searchers.connections

    @property
    def is_gateways_listed(self) -> bool:
        """Whether the list of gateways has been read from the store."""
        return self._peers.is_listed

    @property
    def gateways_known(self) -> int:
        """The number of registered gateways, including this one."""
        return self._peers.gateways

    @property
    def has_burst_part(self) -> bool:
        """Whether this gateway may use a part of the bursts of hedges."""
        return self._searchers.shares.burst_grant('').part > 0

    def connections_to(self, service: str) -> int:
        """Return the connection limit per searcher of a service."""
        return self._searchers.shares.connections(service)
