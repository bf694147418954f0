"""This gateway's part in what searchers and their services allow."""

import types
from collections.abc import Mapping

from chivepond.decisions import upstream_share
from chivepond.gateway import peers

#: What a searcher accepts of whose service no cap is known.
_FEWEST_CONNECTIONS = 10


class UpstreamShares:
    """Shares by service, from the gateways and searchers registered now."""

    __slots__ = ('_cap_by_service', '_peers', '_places_by_service')

    def __init__(self, others: peers.Peers) -> None:
        """Share with ``others``."""
        self._peers = others
        self._cap_by_service: Mapping[str, int] = types.MappingProxyType({})
        self._places_by_service: dict[str, frozenset[str]] = {}

    def limit(self, cap_by_service: Mapping[str, int]) -> None:
        """Set how many connections each searcher of a service accepts."""
        self._cap_by_service = cap_by_service

    def place(self, service: str, data_centres: frozenset[str]) -> None:
        """Set where the searchers of a service are; nowhere forgets it."""
        if data_centres:
            self._places_by_service[service] = data_centres
        else:
            self._places_by_service.pop(service, None)

    def part(self, service: str) -> float:
        """Return the part in the hedges of a service, 0 to 1.

        It is zero until the list of gateways has been read.
        """
        if not self._peers.is_listed:
            return 0
        return self._share(service).part

    def connections(self, service: str) -> int:
        """Return how many connections to each searcher may be opened."""
        if not self._peers.is_listed:
            return 1
        return self._share(service).connections(self._cap(service))

    def holders(self, service: str) -> upstream_share.Holders:
        """Return the gateways that may connect to searchers of a service."""
        return self._peers.shares.holders(
            self._places(service),
            self._cap(service),
        )

    def _share(self, service: str) -> upstream_share.Share:
        return self._peers.shares.of(self._places(service))

    def _places(self, service: str) -> frozenset[str]:
        return self._places_by_service.get(service, frozenset())

    def _cap(self, service: str) -> int:
        return self._cap_by_service.get(service, _FEWEST_CONNECTIONS)
