"""Service-level burn by several windows and burn rates.

A budget is the share of requests that an objective lets miss in 30 days.
A burn rate of 1 spends it exactly in that time. Each pair of windows has a
rate from which it fires: 14.4 over 1 hour spends 2% of the budget, 6 over
6 hours 5%, 1 over 3 days 10%. The short window, a twelfth of the long one,
must burn as fast, so that a report ends soon after its cause has ended.
"""

import types
from collections import Counter
from collections.abc import Iterable, Mapping

from chivepond.observe import burn_pair, service_counts, telemetry
from chivepond.settings import service_objectives
from chivepond.wire import burn_line, node_burn, service_burn, window_counts

_MINUTE_S = 60
_HOUR_S = 60 * _MINUTE_S
_SIX_HOURS_S = 6 * _HOUR_S
_HALF_HOUR_S = _HOUR_S // 2
_DAY_S = 4 * _SIX_HOURS_S
_THREE_DAYS_S = 3 * _DAY_S
_FAST_RATE = 14.4

PAIRS = (
    burn_pair.BurnPair(5 * _MINUTE_S, _HOUR_S, _FAST_RATE),
    burn_pair.BurnPair(_HALF_HOUR_S, _SIX_HOURS_S, 6),
    burn_pair.BurnPair(_SIX_HOURS_S, _THREE_DAYS_S, 1),
)
_WINDOWS = tuple(
    sorted({one for pair in PAIRS for one in (pair.short_s, pair.long_s)}),
)
_TOTAL_BY_OBJECTIVE: Mapping[str, str] = types.MappingProxyType(
    {
        'latency': service_counts.ANSWERED,
        'coverage': service_counts.ANSWERED,
        'availability': service_counts.REQUESTS,
    },
)

_Counts = dict[int, Counter[str]]


def collect(
    node_id: str,
    told: telemetry.Telemetry,
    objectives_by_service: Mapping[str, service_objectives.Objectives],
) -> node_burn.NodeBurn:
    """Return the counts of one node, for the services of the document."""
    services = []
    for name, objectives in objectives_by_service.items():
        counts = told.current().get(name)
        windows = [
            window_counts.WindowCounts(
                window_s=window_s,
                count_by_name=(
                    counts.window(window_s, told.now()) if counts else {}
                ),
            )
            for window_s in _WINDOWS
        ]
        services.append(
            service_burn.ServiceBurn(
                service=name,
                target_by_objective={
                    objective: getattr(objectives, objective)
                    for objective in _TOTAL_BY_OBJECTIVE
                },
                windows=windows,
            ),
        )
    return node_burn.NodeBurn(node_id=node_id, services=services)


def report(nodes: Iterable[node_burn.NodeBurn]) -> list[burn_line.BurnLine]:
    """Return the lines of the report over the counts of all ``nodes``."""
    counts_by_service: dict[str, _Counts] = {}
    told_by_service: dict[str, service_burn.ServiceBurn] = {}
    for node in nodes:
        for told in node.services:
            merged = counts_by_service.setdefault(told.service, {})
            told_by_service[told.service] = told
            _merge(merged, told)
    lines: list[burn_line.BurnLine] = []
    for name in sorted(told_by_service):
        lines.extend(_lines(told_by_service[name], counts_by_service[name]))
    return lines


def _lines(
    told: service_burn.ServiceBurn,
    counts: _Counts,
) -> list[burn_line.BurnLine]:
    return [
        _line(told, objective, pair, counts)
        for objective in _TOTAL_BY_OBJECTIVE
        for pair in PAIRS
        if objective in told.target_by_objective
    ]


def _merge(merged: _Counts, told: service_burn.ServiceBurn) -> None:
    for window in told.windows:
        counted = merged.setdefault(window.window_s, Counter())
        counted.update(window.count_by_name)


def _line(
    told: service_burn.ServiceBurn,
    objective: str,
    pair: burn_pair.BurnPair,
    counts: _Counts,
) -> burn_line.BurnLine:
    target = told.target_by_objective[objective]
    over_short = counts.get(pair.short_s, Counter())
    over_long = counts.get(pair.long_s, Counter())
    short = _rate(over_short, objective, target)
    long = _rate(over_long, objective, target)
    return burn_line.BurnLine(
        service=told.service,
        objective=objective,
        short_s=pair.short_s,
        long_s=pair.long_s,
        short_rate=short,
        long_rate=long,
        threshold=pair.threshold,
        is_firing=min(short, long) >= pair.threshold,
        requests=over_long[_TOTAL_BY_OBJECTIVE[objective]],
        cause=_worst(over_long, objective),
    )


def _rate(counts: Counter[str], objective: str, target: float) -> float:
    total = counts[_TOTAL_BY_OBJECTIVE[objective]]
    if not total or target >= 1:
        return 0
    missed = sum(_misses(counts, objective).values())
    return round(missed / total / (1 - target), 2)


def _worst(counts: Counter[str], objective: str) -> str:
    missed = _misses(counts, objective)
    return missed.most_common(1)[0][0] if missed else ''


def _misses(counts: Counter[str], objective: str) -> Counter[str]:
    start = f'{objective} '
    return Counter(
        {
            name.removeprefix(start): count
            for name, count in counts.items()
            if name.startswith(start) and count
        },
    )
