"""Error budget burn rates over several pairs of windows.

The error budget is the share of requests that may miss an objective in 30
days; a burn rate of 1 spends it in exactly that time. Each pair of windows
fires from a threshold: a rate of 14.4 over 1 hour spends 2% of the budget,
6 over 6 hours 5%, and 1 over 3 days 10%. The short window, a twelfth of the
long one, must exceed the threshold too, so that an alert ends soon after its
cause.
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

WINDOW_PAIRS = (
    burn_pair.BurnPair(5 * _MINUTE_S, _HOUR_S, _FAST_RATE),
    burn_pair.BurnPair(_HALF_HOUR_S, _SIX_HOURS_S, 6),
    burn_pair.BurnPair(_SIX_HOURS_S, _THREE_DAYS_S, 1),
)
_WINDOWS = tuple(
    sorted(
        {
            length_s
            for pair in WINDOW_PAIRS
            for length_s in (pair.short_s, pair.long_s)
        }
    ),
)
_TOTAL_BY_OBJECTIVE: Mapping[str, str] = types.MappingProxyType(
    {
        'latency': service_counts.ANSWERED,
        'coverage': service_counts.ANSWERED,
        'availability': service_counts.REQUESTS,
    },
)

_CountsByWindow = dict[int, Counter[str]]


def collect(
    node_id: str,
    node_telemetry: telemetry.Telemetry,
    objectives_by_service: Mapping[str, service_objectives.Objectives],
) -> node_burn.NodeBurn:
    """Return the counts of one node for each configured service."""
    services = []
    for service, objectives in objectives_by_service.items():
        counts = node_telemetry.current_counts().get(service)
        windows = [
            window_counts.WindowCounts(
                window_s=window_s,
                count_by_name=(
                    counts.window(window_s, node_telemetry.now())
                    if counts
                    else {}
                ),
            )
            for window_s in _WINDOWS
        ]
        services.append(
            service_burn.ServiceBurn(
                service=service,
                target_by_objective={
                    objective: getattr(objectives, objective)
                    for objective in _TOTAL_BY_OBJECTIVE
                },
                windows=windows,
            ),
        )
    return node_burn.NodeBurn(node_id=node_id, services=services)


def report(nodes: Iterable[node_burn.NodeBurn]) -> list[burn_line.BurnLine]:
    """Return the burn report over the summed counts of all ``nodes``.

    One line for each service, objective and pair of windows, by service.
    """
    counts_by_service: dict[str, _CountsByWindow] = {}
    burn_by_service: dict[str, service_burn.ServiceBurn] = {}
    for node in nodes:
        for burn_of_service in node.services:
            merged = counts_by_service.setdefault(burn_of_service.service, {})
            burn_by_service[burn_of_service.service] = burn_of_service
            _add_counts(merged, burn_of_service)
    lines: list[burn_line.BurnLine] = []
    for service in sorted(burn_by_service):
        lines.extend(
            _lines(burn_by_service[service], counts_by_service[service])
        )
    return lines


def _lines(
    burn_of_service: service_burn.ServiceBurn,
    counts_by_window: _CountsByWindow,
) -> list[burn_line.BurnLine]:
    return [
        _line(burn_of_service, objective, pair, counts_by_window)
        for objective in _TOTAL_BY_OBJECTIVE
        for pair in WINDOW_PAIRS
        if objective in burn_of_service.target_by_objective
    ]


def _add_counts(
    merged: _CountsByWindow, burn_of_service: service_burn.ServiceBurn
) -> None:
    for window in burn_of_service.windows:
        totals = merged.setdefault(window.window_s, Counter())
        totals.update(window.count_by_name)


def _line(
    burn_of_service: service_burn.ServiceBurn,
    objective: str,
    pair: burn_pair.BurnPair,
    counts_by_window: _CountsByWindow,
) -> burn_line.BurnLine:
    target = burn_of_service.target_by_objective[objective]
    short_counts = counts_by_window.get(pair.short_s, Counter())
    long_counts = counts_by_window.get(pair.long_s, Counter())
    short_rate = _rate(short_counts, objective, target)
    long_rate = _rate(long_counts, objective, target)
    return burn_line.BurnLine(
        service=burn_of_service.service,
        objective=objective,
        short_s=pair.short_s,
        long_s=pair.long_s,
        short_rate=short_rate,
        long_rate=long_rate,
        threshold=pair.threshold,
        is_firing=min(short_rate, long_rate) >= pair.threshold,
        requests=long_counts[_TOTAL_BY_OBJECTIVE[objective]],
        cause=_main_cause(long_counts, objective),
    )


def _rate(counts: Counter[str], objective: str, target: float) -> float:
    total = counts[_TOTAL_BY_OBJECTIVE[objective]]
    if not total or target >= 1:
        return 0
    missed = sum(_misses(counts, objective).values())
    return round(missed / total / (1 - target), 2)


def _main_cause(counts: Counter[str], objective: str) -> str:
    misses = _misses(counts, objective)
    return misses.most_common(1)[0][0] if misses else ''


def _misses(counts: Counter[str], objective: str) -> Counter[str]:
    prefix = f'{objective} '
    return Counter(
        {
            name.removeprefix(prefix): count
            for name, count in counts.items()
            if name.startswith(prefix) and count
        },
    )
