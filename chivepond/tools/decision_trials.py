"""Plays patterns of load against variants of the decisions.

Run it as ``python -m chivepond.tools.decision_trials``. It prints figures
of a model with a clock of its own, not of a deployment, in a few seconds.
"""

import math
import random
import statistics
import sys

from chivepond.decisions import admission, admission_limit, standing_queue
from chivepond.tools import queue_model

_ALPHAS = (1, 4, 16)
_LOADS = (0.7, 0.85, 0.95, 3)
_SEEDS = 5
_BOUNDS = (
    (math.inf, math.inf),
    (0.1, 0.02),
    (0.1, 0.05),
    (0.25, 0.02),
    (0.25, 0.05),
    (0.25, 0.1),
)
_PLACES = 100


def waiting_lines() -> list[str]:
    """Return the figures of one queue by bound on waiting and by load.

    Each cell has the share of the capacity served in time, and the 99th
    percentiles in milliseconds of those served and of the refusals; each
    is the median of the seeds.
    """
    heads = ' | '.join(str(load) for load in _LOADS)
    lines = [f'| interval s | target s | {heads} |']
    rule = '| --- ' * (len(_LOADS) + 2)
    lines.append(f'{rule}|')
    for interval_s, target_s in _BOUNDS:
        cells = ' | '.join(
            _waiting_cell(load, interval_s, target_s) for load in _LOADS
        )
        lines.append(f'| {interval_s} | {target_s} | {cells} |')
    return lines


def _waiting_cell(load: float, interval_s: float, target_s: float) -> str:
    runs = [
        queue_model.run(
            load,
            standing_queue.StandingQueue(0, interval_s, target_s),
            random.Random(seed),
        )
        for seed in range(_SEEDS)
    ]
    share = statistics.median(one.in_time_share for one in runs)
    p99_ms = statistics.median(one.p99_ms for one in runs)
    refused_ms = statistics.median(one.refused_p99_ms for one in runs)
    return f'{share:.3f}, {p99_ms:.0f}, {refused_ms:.0f}'


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
