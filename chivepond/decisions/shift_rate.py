"""How fast load moves to a target that has just become the best one.

Load pattern: the whole load of a data centre moves at once because a network
partition heals, a data centre is lost, or its owners drain. All entry nodes
notice within the same second. Without a limit the target immediately gets the
load that it can serve at most when warm, while its caches are cold and its
limits and hedge delay are adapted to less load. Its queues build up, the load
moves on to the next target, and that one is overloaded in turn.

Each target has a level, the share of the load meant for it that it may get.
The level rises linearly while load is meant for the target, from a tenth to
all in 4.5 s, like the slow start of a searcher and for the same reasons. Load
that exceeds the level goes to the next target that may take it, such as the
previous one; if no target may, it is spread evenly over all of them, since no
request is rejected to keep the rate. The level falls ten times more slowly
while the load is meant for others: a target that gets less than a tenth of the
load, such as retries only, does not count as one that carries it. The first
target after an idle period displaces no load, so it may have all of it.

This rate does not apply when a searcher changes its owner: two owners at once
would exceed its slots. Within an owner, the weights of ``slow_start`` limit
how fast load moves to a replica that is new, restarted or back from ejection.
In ``tests/test_shift_rate.py`` a cold data centre that gets all load at once
has a 99th percentile above the bound of 250 ms; at this rate it is below.
"""

import random
from collections.abc import Sequence

_MIN_LEVEL = 0.1
_RISE_PER_S = 0.2
_FALL_PER_S = 0.02
_MAX_STEP_S = 1
_IDLE_RESET_S = 30


class ShiftRate:
    """Picks targets by name; times are seconds of one clock.

    Names are those of data centres, so that the state stays small.
    """

    __slots__ = ('_chosen_at', '_level_by_target', '_random')

    def __init__(self, rng: random.Random) -> None:
        """Start with no target at any level."""
        self._random = rng
        self._chosen_at = float(0)
        self._level_by_target: dict[str, float] = {}

    def choose(self, targets: Sequence[str], now: float) -> str:
        """Return the target of one search; ``targets`` has the best first."""
        elapsed_s = now - self._chosen_at
        self._chosen_at = now
        if elapsed_s > _IDLE_RESET_S or not self._level_by_target:
            self._level_by_target = {targets[0]: 1}
            return targets[0]
        step_s = min(elapsed_s, _MAX_STEP_S)
        for name, level in self._level_by_target.items():
            lowered = level - step_s * _FALL_PER_S
            self._level_by_target[name] = max(_MIN_LEVEL, lowered)
        for target in targets:
            if self._random.random() < self._raise_level(target, step_s):
                return target
        return self._random.choice(targets)

    def _raise_level(self, target: str, step_s: float) -> float:
        level = self._level_by_target.get(target, _MIN_LEVEL)
        raised = min(1, level + step_s * (_RISE_PER_S + _FALL_PER_S))
        self._level_by_target[target] = raised
        return raised
