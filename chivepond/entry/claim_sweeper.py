"""Deletes claims of request keys that are past the retention time."""

import asyncio
import time

import result

from chivepond.control import (
    claim_store,
    configuration,
    directory,
    request_key,
)
from chivepond.decisions import rendezvous
from chivepond.observe import events, journal
from chivepond.settings import node_settings

_MS_PER_S = 1000
_SWEEP_INTERVAL_S = 5

#: Keeps a sweep to about four calls a second on the platform.
_MAX_CLAIMS_PER_SWEEP = 18

#: The clocks of two hosts may differ by this much.
_MAX_CLOCK_SKEW_S = 30


class ClaimSweeper:
    """Deletes expired claims, on one live node of the deployment.

    The node is the one that ranks first by rendezvous hashing. Two nodes
    that both consider themselves first do no harm, because every write is
    conditional.
    """

    __slots__ = ('_claims', '_configuration', '_directory', '_settings')

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        config: configuration.Configuration,
        host_directory: directory.Directory,
        claims: claim_store.ClaimStore,
    ) -> None:
        """Delete from ``claims`` by the retention time of ``config``."""
        self._settings = settings
        self._configuration = config
        self._directory = host_directory
        self._claims = claims

    async def run(self) -> None:
        """Sweep every 5 s while this node ranks first, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if self._is_elected():
                await self.sweep()

    async def sweep(self) -> None:
        """Delete up to ``_MAX_CLAIMS_PER_SWEEP`` claims past the retention.

        Once a claim is deleted, its key could run a second time: a node may
        have been paused since it checked the age of the key, or the retention
        time may have been raised. So the sweep raises the claim floor on the
        platform before it deletes a claim, and an entry reads the floor after
        it has created its own claim. If the old claim was deleted by then,
        the key is not above the floor and the entry does not run it.
        """
        retention_s = self._configuration.document.audit.claim_retention_s
        cutoff_ms = (time.time() - retention_s - _MAX_CLOCK_SKEW_S) * _MS_PER_S
        oldest_claims = await self._claims.oldest(_MAX_CLAIMS_PER_SWEEP)
        expired = [
            stored_claim
            for stored_claim in oldest_claims.unwrap_or([])
            if _issued_ms(stored_claim) <= cutoff_ms
        ]
        if not expired:
            return
        newest_ms = max(_issued_ms(stored_claim) for stored_claim in expired)
        match await self._claims.raise_floor(newest_ms):
            case result.Ok(_):
                for stored_claim in expired:
                    await self._claims.delete(stored_claim)
                journal.log(events.CLAIMS_SWEPT, claims=len(expired))

    def _is_elected(self) -> bool:
        live_node_ids = [
            node_id
            for node_ids in self._directory.view.live_by_data_centre.values()
            for node_id in node_ids
        ]
        ranked = rendezvous.ranked('claim-sweep', live_node_ids)
        return ranked[:1] == [self._settings.node_id]


def _issued_ms(stored_claim: claim_store.HeldClaim) -> int:
    return request_key.issued_ms(stored_claim.claim.key).unwrap()
