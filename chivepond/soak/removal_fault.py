"""A searcher that leaves while the gateway that reads the store is cut off."""

import asyncio
import time
from collections.abc import Callable

from chivepond.platform import store_calls
from chivepond.soak import gateway_checks, loopback_proxy, searcher_ledger
from chivepond.standins import routed_store

#: The service of non-idempotent requests, one of whose searchers leaves.
SERVICE = 'stamps'
_SEARCHER_ID = f's-{SERVICE}-0'
#: Requests for several searchers may pass through the gateway that is cut off.
_GATHERED = 'search'
#: Seconds in which all gateways have read the latest change.
_UPDATE_S = 1.5
#: Seconds without another fault before and after the removal.
_FAULT_FREE_S = 4.0
_EXAMPLES = 3


class RemovalFault:
    """Removes the entry of a searcher that goes on serving.

    The first gateway by name reads the store for all, and can't just then.
    """

    __slots__ = (
        '_configure',
        '_cut_gateway',
        '_gateway_by_request_id',
        '_ledger',
        '_store',
        'proxy_by_gateway',
    )

    def __init__(
        self,
        store: routed_store.RoutedStore,
        ledger: searcher_ledger.SearcherLedger,
        configure: Callable[[], None],
    ) -> None:
        """Remove from ``store``; ``configure`` writes a new configuration."""
        self._store = store
        self._ledger = ledger
        self._configure = configure
        self._cut_gateway = ''
        self._gateway_by_request_id: dict[bytes, str] = {}
        #: The proxy between each gateway and the store.
        self.proxy_by_gateway: dict[str, loopback_proxy.LoopbackProxy] = {}

    def record_request(
        self, kind: str, request_id: bytes, gateway: str
    ) -> None:
        """Record the gateway to which a client sends a request."""
        if kind != _GATHERED:
            self._gateway_by_request_id[request_id] = gateway

    async def run(self) -> None:
        """Remove the entry, and wait until all gateways must know of it."""
        await asyncio.sleep(_FAULT_FREE_S)
        self._cut_gateway = min(self.proxy_by_gateway)
        proxy = self.proxy_by_gateway[self._cut_gateway]
        self._configure()
        await asyncio.sleep(_UPDATE_S)
        proxy.apply_fault(loopback_proxy.ProxyFault.SILENT)
        self._store.remove(store_calls.SEARCHERS, _SEARCHER_ID)
        removed_at_by_id = self._ledger.removed_at_by_searcher_id
        removed_at_by_id[_SEARCHER_ID] = time.monotonic()
        await asyncio.sleep(_FAULT_FREE_S)
        proxy.apply_fault(loopback_proxy.ProxyFault.NONE)
        removed_at_by_id.pop(_SEARCHER_ID)

    def check(self, checks: gateway_checks.GatewayChecks) -> None:
        """Check the requests of the gateways that could read the store."""
        late_arrivals = [
            (searcher_id, request_id)
            for searcher_id, request_id in self._ledger.arrivals_after_removal
            if self._gateway_by_request_id.get(request_id, self._cut_gateway)
            != self._cut_gateway
        ]
        if late_arrivals:
            checks.add_violation(
                'a removed searcher gets no new request',
                repr(late_arrivals[:_EXAMPLES]),
            )
