"""Plays patterns of load against variants of the decisions.

Run it as ``python -m chivepond.tools.decision_trials``. It prints figures
of a model with a clock of its own, not of a deployment, in a few seconds.
"""

import math
import random
import sys

from chivepond.decisions import admission, admission_limit, standing_queue
from chivepond.tools import queue_model

_ALPHAS = (1, 4, 16)
_LOADS = (0.7, 0.95, 3)
_PLACES = 100


class EndlessQueue(standing_queue.StandingQueue):
    """The variant without a bound."""

    __slots__ = ()

    def longest_wait_s(self, now: float) -> float:
        """Return that work may wait for ever."""
        return math.inf


def waiting_lines() -> list[str]:
    """Return the figures of one queue, bounded or not, by load."""
    lines = ['| load | variant | in time | p99 ms | refused in ms (p99) |']
    lines.append('| --- | --- | --- | --- | --- |')
    for load in _LOADS:
        for name, kind in (
            ('no bound', EndlessQueue),
            ('standing', standing_queue.StandingQueue),
        ):
            run = queue_model.run(load, kind(0), random.Random(1))
            lines.append(
                f'| {load} | {name} | {run.in_time_share:.3f} |'
                f' {run.p99_ms:.1f} | {run.refused_p99_ms:.1f} |',
            )
    return lines


def admission_lines() -> list[str]:
    """Return what a hot caller takes and leaves, by alpha."""
    lines = ['| alpha | hot caller alone | left for others |']
    lines.append('| --- | --- | --- |')
    for alpha in _ALPHAS:
        limit = admission_limit.AdmissionLimit(_PLACES)
        gate = admission.Admission(limit, alpha)
        taken = 0
        while gate.admit('hot', 'interactive', 1):
            taken += 1
        lines.append(f'| {alpha} | {taken} | {_PLACES - taken} |')
    return lines


def main() -> None:
    """Print all figures."""
    lines = [*waiting_lines(), '', *admission_lines(), '']
    sys.stdout.write('\n'.join(lines))


if __name__ == '__main__':
    main()
