"""Distributes requests in proportion to weights (weighted round robin).

Load pattern: a service is replaced by another one a tenth at a time. Random
choice leaves a gateway with few requests far off the weights; turns keep each
service within a request of its share. Each gateway starts at a random position
of the cycle: otherwise many gateways with a request or two each would all
start with the heaviest name, and the others would get none.
"""

from collections.abc import Callable, Mapping

#: Number of turns among which a gateway starts: a cycle of weights in
#: hundredths.
_MAX_SKIPPED_TURNS = 100


class WeightedShare:
    """Takes turns so that each name gets its share of any run of turns."""

    __slots__ = ('_credit_by_name', 'weight_by_name')

    def __init__(
        self,
        weight_by_name: Mapping[str, float],
        rng: Callable[[], float],
    ) -> None:
        """Start at a random turn; ``rng`` returns numbers from 0 to 1."""
        self.weight_by_name = weight_by_name
        self._credit_by_name: dict[str, float] = dict.fromkeys(
            weight_by_name,
            0,
        )
        for _ in range(int(rng() * _MAX_SKIPPED_TURNS)):
            self.take()

    def take(self) -> str:
        """Return the name that has the next turn."""
        credit_by_name = self._credit_by_name
        for name, weight in self.weight_by_name.items():
            credit_by_name[name] += weight
        chosen = max(credit_by_name, key=credit_by_name.__getitem__)
        credit_by_name[chosen] -= sum(self.weight_by_name.values())
        return chosen
