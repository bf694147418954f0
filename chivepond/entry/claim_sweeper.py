"""Removes the claims of keys that are too old to be accepted."""

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
_TURN_S = 5

#: At most this many claims a turn: four calls a second on the platform.
_LIMIT = 18

#: Clocks of two hosts may differ by this much.
_SKEW_S = 30


class ClaimSweeper:
    """Sweeps on one node of the deployment, the first in hash order.

    Two nodes that both think they are the first do no harm: every step is
    conditional.
    """

    __slots__ = ('_claims', '_configuration', '_directory', '_settings')

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        configured: configuration.Configuration,
        hosts: directory.Directory,
        claims: claim_store.ClaimStore,
    ) -> None:
        """Sweep ``claims`` by the retention that is in force."""
        self._settings = settings
        self._configuration = configured
        self._directory = hosts
        self._claims = claims

    async def run(self) -> None:
        """Take a turn every few seconds, until cancelled."""
        while True:
            await asyncio.sleep(_TURN_S)
            if self._is_first():
                await self.sweep()

    async def sweep(self) -> None:
        """Remove a few of the claims that are past the retention.

        Guards against a key that runs again once its claim is gone: a node
        that was paused since it checked the key's age, or a retention that
        was raised meanwhile, shows as a second run. The floor is raised on
        the platform before a claim goes, and an entry reads it after it has
        made its claim: if the old claim was gone by then, the floor tells.
        """
        retention_s = self._configuration.document.audit.claim_retention_s
        horizon_ms = (time.time() - retention_s - _SKEW_S) * _MS_PER_S
        listed = await self._claims.oldest(_LIMIT)
        due = [
            held
            for held in listed.unwrap_or([])
            if _issued_ms(held) <= horizon_ms
        ]
        if not due:
            return
        newest_ms = max(_issued_ms(held) for held in due)
        match await self._claims.raise_floor(newest_ms):
            case result.Ok(_):
                for held in due:
                    await self._claims.delete(held)
                journal.log(events.CLAIMS_SWEPT, claims=len(due))

    def _is_first(self) -> bool:
        live = [
            node_id
            for node_ids in self._directory.view.live_by_data_centre.values()
            for node_id in node_ids
        ]
        ranked = rendezvous.ranked('claim-sweep', live)
        return ranked[:1] == [self._settings.node_id]


def _issued_ms(held: claim_store.HeldClaim) -> int:
    return request_key.issued_ms(held.claim.key).unwrap()
