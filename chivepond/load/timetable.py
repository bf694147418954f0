"""Brings about the faults of a trial when they are due."""

import asyncio

from chivepond.load import callers as load_callers
from chivepond.load import fault_step
from chivepond.standins import embedded


class Timetable:
    """Plays fault steps on an embedded deployment."""

    __slots__ = ('_balancer_lag_s', '_callers', '_deployed')

    def __init__(
        self,
        deployed: embedded.EmbeddedDeployment,
        callers: load_callers.Callers,
        balancer_lag_s: float,
    ) -> None:
        """Let the balancer learn of lost entry hosts after its lag."""
        self._deployed = deployed
        self._callers = callers
        self._balancer_lag_s = balancer_lag_s

    async def run(self, steps: list[fault_step.FaultStep]) -> None:
        """Take the steps in order."""
        started_at = _now()
        for step in sorted(steps, key=lambda one: one.at_s):
            elapsed_s = _now() - started_at
            await asyncio.sleep(max(0, step.at_s - elapsed_s))
            self._take(step)

    def _take(self, step: fault_step.FaultStep) -> None:
        match step:
            case fault_step.FaultStep(what='searcher'):
                standin = self._deployed.searcher_by_id[step.target]
                standin.apply_faults(step.searcher)
            case fault_step.FaultStep(what='platform'):
                self._deployed.platform.faults = step.platform
            case fault_step.FaultStep(what='node'):
                self._cut_off(step.target)
            case fault_step.FaultStep(what='data_centre'):
                self._cut_off_all(step.target)

    def _cut_off_all(self, data_centre: str) -> None:
        for node_id, made in self._deployed.node_by_id.items():
            if made.settings.data_centre == data_centre:
                self._cut_off(node_id)

    def _cut_off(self, node_id: str) -> None:
        cut = self._deployed.node_by_id[node_id]
        target = cut.caller_server.address
        cut.abort()
        asyncio.get_running_loop().call_later(
            self._balancer_lag_s,
            self._callers.leave,
            target,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
