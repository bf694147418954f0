"""Applies the faults of a trial on schedule."""

import asyncio

from chivepond.load import callers as load_callers
from chivepond.load import fault_step
from chivepond.standins import embedded


class FaultSchedule:
    """Applies scheduled faults to an embedded deployment."""

    __slots__ = ('_balancer_lag_s', '_callers', '_deployment')

    def __init__(
        self,
        deployment: embedded.EmbeddedDeployment,
        callers: load_callers.Callers,
        balancer_lag_s: float,
    ) -> None:
        """Set up a schedule.

        The balancer stops sending to a lost entry host after
        ``balancer_lag_s``.
        """
        self._deployment = deployment
        self._callers = callers
        self._balancer_lag_s = balancer_lag_s

    async def run(self, steps: list[fault_step.FaultStep]) -> None:
        """Apply the steps, each at its time after the start of this call."""
        started_at = _now()
        for step in sorted(steps, key=lambda step: step.at_s):
            elapsed_s = _now() - started_at
            await asyncio.sleep(max(0, step.at_s - elapsed_s))
            self._apply(step)

    def _apply(self, step: fault_step.FaultStep) -> None:
        match step:
            case fault_step.FaultStep(what='searcher'):
                standin = self._deployment.searcher_by_id[step.target]
                standin.apply_faults(step.searcher)
            case fault_step.FaultStep(what='platform'):
                self._deployment.platform.faults = step.platform
            case fault_step.FaultStep(what='node'):
                self._abort_node(step.target)
            case fault_step.FaultStep(what='data_centre'):
                self._abort_data_centre(step.target)

    def _abort_data_centre(self, data_centre: str) -> None:
        for node_id, running_node in self._deployment.node_by_id.items():
            if running_node.settings.data_centre == data_centre:
                self._abort_node(node_id)

    def _abort_node(self, node_id: str) -> None:
        lost_node = self._deployment.node_by_id[node_id]
        target = lost_node.caller_server.address
        lost_node.abort()
        asyncio.get_running_loop().call_later(
            self._balancer_lag_s,
            self._callers.remove_target,
            target,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
