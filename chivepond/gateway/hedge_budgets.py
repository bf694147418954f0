"""Hedge budgets: how many second sends each service may receive."""

import asyncio

from chivepond.decisions import hedge_budget
from chivepond.gateway import upstream_shares


class HedgeBudgets:
    """Hedge budgets by service, each divided among the gateways."""

    __slots__ = ('_budget_by_service', '_limits', '_loop', '_shares')

    def __init__(
        self,
        limits: hedge_budget.BudgetLimits,
        shares: upstream_shares.UpstreamShares,
    ) -> None:
        """Use the parts of each burst that ``shares`` grants."""
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._shares = shares
        self._budget_by_service: dict[
            str,
            hedge_budget.HedgeBudget,
        ] = {}

    def apply_limits(self, limits: hedge_budget.BudgetLimits) -> None:
        """Apply new limits; second sends that were spent still count."""
        self._limits = limits
        for budget in self._budget_by_service.values():
            budget.limits = limits

    def count_request(self, service: str) -> None:
        """Count a request to a service, which adds to its budget."""
        self._service_budget(service).count_request(self._loop.time())

    def uncount_request(self, service: str) -> None:
        """Take back a request that was not sent to any searcher."""
        self._service_budget(service).uncount_request(self._loop.time())

    def spend(self, service: str, deadline: float) -> bool:
        """Spend one second send; return whether the budget allowed it.

        ``deadline`` is that of the request, in seconds on the loop's clock.
        """
        return self._service_budget(service).spend(
            self._loop.time(), self._shares.burst_grant(service), deadline
        )

    def left(self, service: str) -> float:
        """Return how many second sends a service has left."""
        return self._service_budget(service).remaining(
            self._loop.time(), self._shares.burst_grant(service)
        )

    def left_by_service(self) -> dict[str, float]:
        """Return the second sends left of each service with a budget."""
        return {
            service: self.left(service) for service in self._budget_by_service
        }

    def _service_budget(self, service: str) -> hedge_budget.HedgeBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = hedge_budget.HedgeBudget(self._limits)
            self._drop_idle_budgets()
            self._budget_by_service[service] = budget
        return budget

    def _drop_idle_budgets(self) -> None:
        now = self._loop.time()
        self._budget_by_service = {
            service: budget
            for service, budget in self._budget_by_service.items()
            if not budget.is_idle(now)
        }
