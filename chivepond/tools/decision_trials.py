"""Simulates load patterns against variants of the decision rules.

Run it as ``python -m chivepond.tools.decision_trials``. It prints the
results of a discrete-event simulation with a virtual clock, not of a
deployment, and takes a few seconds.
"""

import itertools
import random
import statistics
import sys

from chivepond.decisions import admission, admission_limit
from chivepond.tools import queue_model

_ALPHAS = (1, 4, 16)
_LOADS = (0.7, 0.85, 0.95, 3)
_SEEDS = 3
_DEADLINES_S = (0.25, 3)
_WAIT_SHARES = (1, 0.1, 0.2, 0.5)
_CONCURRENCY_LIMIT = 100


def queue_table() -> list[str]:
    """Return a Markdown table of one simulated queue.

    Rows are deadlines and wait shares, columns are loads relative to the
    capacity. Each cell has the fraction of the capacity that is served
    before the deadline, the 99th percentile latency of the served requests,
    and the median and 99th percentile of the time to a refusal, in
    milliseconds. Each figure is the median over the seeds.
    """
    header_cells = ' | '.join(str(load) for load in _LOADS)
    lines = [f'| deadline s | share | {header_cells} |']
    separator = '| --- ' * (len(_LOADS) + 2)
    lines.append(f'{separator}|')
    for deadline_s, wait_share in itertools.product(_DEADLINES_S, _WAIT_SHARES):
        cells = ' | '.join(
            _queue_cell(load, deadline_s, wait_share) for load in _LOADS
        )
        lines.append(f'| {deadline_s} | {wait_share} | {cells} |')
    return lines


def _queue_cell(load: float, deadline_s: float, wait_share: float) -> str:
    runs = [
        queue_model.run(
            load,
            deadline_s,
            wait_share,
            random.Random(seed),
        )
        for seed in range(_SEEDS)
    ]
    in_time = statistics.median(run.in_time_share for run in runs)
    p99_ms = statistics.median(run.p99_ms for run in runs)
    refused_median_ms = statistics.median(run.refused_median_ms for run in runs)
    refused_p99_ms = statistics.median(run.refused_p99_ms for run in runs)
    return (
        f'{in_time:.3f}, {p99_ms:.0f}, {refused_median_ms:.0f},'
        f' {refused_p99_ms:.0f}'
    )


def admission_table() -> list[str]:
    """Return a Markdown table of how many slots a hot caller gets by alpha."""
    lines = ['| alpha | hot caller alone | left for others |']
    lines.append('| --- | --- | --- |')
    for alpha in _ALPHAS:
        limit = admission_limit.AdmissionLimit(_CONCURRENCY_LIMIT)
        controller = admission.Admission(limit, alpha)
        admitted = 0
        while controller.admit('hot', 'interactive', 1):
            admitted += 1
        lines.append(
            f'| {alpha} | {admitted} | {_CONCURRENCY_LIMIT - admitted} |'
        )
    return lines


def main() -> None:
    """Print all tables."""
    lines = [*queue_table(), '', *admission_table(), '']
    sys.stdout.write('\n'.join(lines))


if __name__ == '__main__':
    main()
