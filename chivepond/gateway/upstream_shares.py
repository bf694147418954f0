"""This gateway's shares of the limits of services and searchers."""

import asyncio
import types
from collections.abc import Mapping

from chivepond.decisions import (
    burst_share,
    service_locations,
    switches,
    upstream_share,
)
from chivepond.gateway import peers, replica
from chivepond.settings import mechanism

#: The connection limit of a searcher whose service has none configured.
_DEFAULT_MAX_CONNECTIONS = 10


class UpstreamShares:
    """Computes shares from the registered gateways and searchers."""

    __slots__ = (
        '_data_centres_by_service',
        '_max_connections_by_service',
        '_peers',
        '_switches',
        'lists',
        'locations',
    )

    def __init__(
        self,
        peer_gateways: peers.Peers,
        mechanism_switches: switches.Switches,
    ) -> None:
        """Share the limits with ``peer_gateways``."""
        self._peers = peer_gateways
        self._switches = mechanism_switches
        #: Data centres of the services, by the entries in the store.
        self.locations = service_locations.ServiceLocations()
        #: The replicas of the gateways and of the searchers.
        self.lists: tuple[replica.Replica, ...] = ()
        self._max_connections_by_service: Mapping[str, int] = (
            types.MappingProxyType({})
        )
        self._data_centres_by_service: dict[str, frozenset[str]] = {}

    def limit(self, max_connections_by_service: Mapping[str, int]) -> None:
        """Set the connection limit of the searchers of each service."""
        self._max_connections_by_service = max_connections_by_service

    def set_data_centres(
        self, service: str, data_centres: frozenset[str]
    ) -> None:
        """Set the data centres of a service; an empty set removes it."""
        if data_centres:
            self._data_centres_by_service[service] = data_centres
        else:
            self._data_centres_by_service.pop(service, None)

    def burst_grant(self, service: str) -> burst_share.BurstGrant:
        """Return what this gateway may use of a service's burst of hedges."""
        grant = burst_share.grant(
            service,
            self._peers.listed,
            burst_share.Knowledge(
                tuple(kind_replica.list_age for kind_replica in self.lists),
                self.locations,
                self._peers.settled_since,
            ),
            asyncio.get_running_loop().time(),
        )
        if self._switches.is_on(mechanism.Mechanism.UNEVEN_BUDGET):
            return grant
        part = min(grant.part, 1 / self._peers.gateways)
        return burst_share.BurstGrant(part, grant.since)

    def connections(self, service: str) -> int:
        """Return the limit of connections to each searcher of a service.

        It is one until the list of gateways has been read.
        """
        if not self._peers.is_listed:
            return 1
        return self._share(service).connections(self._max_connections(service))

    def holders(self, service: str) -> upstream_share.Holders:
        """Return the gateways that may connect to a service's searchers."""
        return self._peers.shares.holders(
            self._data_centres(service),
            self._max_connections(service),
        )

    def _share(self, service: str) -> upstream_share.Share:
        return self._peers.shares.of(self._data_centres(service))

    def _data_centres(self, service: str) -> frozenset[str]:
        return self._data_centres_by_service.get(service, frozenset())

    def _max_connections(self, service: str) -> int:
        return self._max_connections_by_service.get(
            service, _DEFAULT_MAX_CONNECTIONS
        )
