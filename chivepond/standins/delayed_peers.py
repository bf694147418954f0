"""Simulates network delay between the nodes of data centres."""

import asyncio
import random
from typing import Any, TypeVar

import result

from chivepond.control import directory
from chivepond.entry import peers
from chivepond.errors import problem
from chivepond.standins import deployment_plan
from chivepond.transport import message_signer

Kind = TypeVar('Kind')

_MS_PER_S = 1000


class DelayedPeers(peers.Peers):
    """Delays requests to nodes of other data centres, and their replies."""

    __slots__ = ('_data_centre', '_jitter_ms', '_link_ms')

    def __init__(
        self,
        hosts: directory.Directory,
        signer: message_signer.MessageSigner | None,
        data_centre: str,
        plan: deployment_plan.DeploymentPlan,
    ) -> None:
        """Send from ``data_centre``, with the link delays of ``plan``."""
        super().__init__(hosts, signer)
        self._data_centre = data_centre
        self._link_ms = plan.link_ms
        self._jitter_ms = plan.link_jitter_ms

    async def post_to(
        self,
        kind: type[Kind],
        node_id: str,
        target: str,
        path: str,
        message: Any,
        timeout_s: float,
    ) -> result.Result[Kind, problem.Problem]:
        """Send to a node at a known address; return its typed answer.

        ``timeout_s`` includes both delays. Heartbeats use this method as
        well, so that the round trips they measure include the delays.
        """
        request_delay_s = float(0)
        reply_delay_s = float(0)
        if node_id.rpartition('-')[0] != self._data_centre:
            request_delay_s = self._link_delay_s()
            reply_delay_s = self._link_delay_s()
            await asyncio.sleep(request_delay_s)
        remaining_s = max(0, timeout_s - request_delay_s - reply_delay_s)
        answer = await super().post_to(
            kind,
            node_id,
            target,
            path,
            message,
            remaining_s,
        )
        await asyncio.sleep(reply_delay_s)
        return answer

    def _link_delay_s(self) -> float:
        jitter_ms = random.uniform(0, self._jitter_ms)
        return (self._link_ms + jitter_ms) / _MS_PER_S
