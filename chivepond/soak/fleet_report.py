"""What a fleet soak measured at the searchers, and what gateways logged."""

import collections
import contextlib
import dataclasses
import json
import pathlib
from collections.abc import Iterator, Sequence

from chivepond.gateway import send_counts
from chivepond.observe import events
from chivepond.soak import searcher_ledger, second_sends


_EXAMPLES = 3
_PAID_KIND = send_counts.SendKind.HEDGED
#: Longest time from a send to its line in the log file, in seconds.
_LOG_DELAY_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceReport:
    """The second sends of one service."""

    service: str
    #: The window that uses the largest share of its budget, by arrivals.
    worst_window: second_sends.Window
    #: Arrivals beyond the first of each request.
    extra_arrivals: int
    #: Identifiers of requests with more extra arrivals than the budget paid
    #: for.
    unpaid_requests: list[str]
    #: The sends that gateways logged, by kind.
    sends_by_kind: collections.Counter[str]

    def __str__(self) -> str:
        """Return one line for the console."""
        window = self.worst_window
        return (
            f'{self.service}: worst window {window.sent} of '
            f'{window.allowed:.0f} ({window.used_share:.2f}), '
            f'{self.extra_arrivals} extra arrivals, '
            f'{len(self.unpaid_requests)} requests unpaid, '
            f'such as {self.unpaid_requests[:_EXAMPLES]}, '
            f'sends {dict(self.sends_by_kind)}'
        )


def of_services(
    ledger: searcher_ledger.SearcherLedger,
    budget: second_sends.Budget,
    log_folder: pathlib.Path,
    silenced_at: Sequence[float],
) -> list[ServiceReport]:
    """Return a report on each service, from arrivals and logs.

    Requests are not checked for unpaid arrivals if a gateway was killed or
    paused, at one of the monotonic times ``silenced_at``, before it had written
    its log.
    """
    kinds_by_send = _kinds_by_send(log_folder)
    unlogged_ids = {
        arrival.request_id
        for arrivals in ledger.arrivals_by_service.values()
        for arrival in arrivals
        if _is_unlogged(arrival.at, silenced_at)
    }
    return [
        _of_service(service, ledger, budget, kinds_by_send, unlogged_ids)
        for service in sorted(ledger.arrivals_by_service)
    ]


def _of_service(
    service: str,
    ledger: searcher_ledger.SearcherLedger,
    budget: second_sends.Budget,
    kinds_by_send: dict[tuple[str, str], list[str]],
    unlogged_ids: set[bytes],
) -> ServiceReport:
    arrivals = ledger.arrivals_by_service[service]
    _, repeat_times = second_sends.split(arrivals)
    arrivals_by_id = collections.Counter(
        arrival.request_id.decode()
        for arrival in arrivals
        if arrival.request_id not in unlogged_ids
    )
    unpaid_requests = [
        request
        for request, count in arrivals_by_id.items()
        if count > kinds_by_send[service, request].count(_PAID_KIND) + 1
    ]
    return ServiceReport(
        service,
        second_sends.worst_window(
            repeat_times, ledger.request_times_by_service[service], budget
        ),
        len(repeat_times),
        unpaid_requests,
        collections.Counter(
            kind
            for (sent_service, _), kinds in kinds_by_send.items()
            if sent_service == service
            for kind in kinds
        ),
    )


def _is_unlogged(at: float, silenced_at: Sequence[float]) -> bool:
    return any(
        silenced - _LOG_DELAY_S < at < silenced + _LOG_DELAY_S
        for silenced in silenced_at
    )


def _kinds_by_send(
    log_folder: pathlib.Path,
) -> dict[tuple[str, str], list[str]]:
    """Return the kinds of the sends by service and request."""
    kinds_by_send: dict[tuple[str, str], list[str]] = collections.defaultdict(
        list
    )
    for path in log_folder.glob('*.log'):
        for line in _lines(path):
            if line.get('event') == events.REQUEST_SENT.number:
                kinds_by_send[line['service'], line['request']].append(
                    line['kind']
                )
    return kinds_by_send


def _lines(path: pathlib.Path) -> Iterator[dict]:
    for line in path.read_text().splitlines():
        # The last line of a process that was killed may be cut off.
        with contextlib.suppress(json.JSONDecodeError):
            yield json.loads(line)
