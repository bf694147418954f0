"""Checks the guarantees to gateway callers on the replies they received."""

import collections
import time

from chivepond.gateway import outcome
from chivepond.platform import headers
from chivepond.soak import (
    gateway_process,
    searcher_ledger,
    second_sends,
    violation,
)

#: Statuses with which a gateway reports that a request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
#: Records of a gathered answer.
TOP_COUNT = 7
#: Least share of the shards that a gathered answer covers.
MIN_COVERAGE = 0.6
#: How often a request may run on the searchers of one shard.
MAX_ATTEMPTS = 2
#: Requests that may run more often than ``MAX_ATTEMPTS``, because their
#: gateway was killed between two attempts. Also the number of examples that a
#: violation lists.
_TOLERATED_REQUESTS = 3
#: Share and window are the defaults of the gateway settings.
_BUDGET = second_sends.Budget(
    share=0.2, burst=gateway_process.SECOND_SEND_BURST, window_s=10
)


class GatewayChecks:
    """Checks the replies that callers received, and collects violations."""

    __slots__ = (
        '_started_at',
        '_ledger',
        '_not_run_ids',
        'statuses',
        'violations',
    )

    def __init__(self, ledger: searcher_ledger.SearcherLedger) -> None:
        """Compare replies with the runs that ``ledger`` counts."""
        self._started_at = time.monotonic()
        self._ledger = ledger
        self._not_run_ids: set[bytes] = set()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.violations: list[violation.Violation] = []

    def add_violation(self, guarantee: str, observed: str) -> None:
        """Add a violation, timed from the start of the soak."""
        at_s = time.monotonic() - self._started_at
        self.violations.append(violation.Violation(guarantee, observed, at_s))

    def check_gathered(
        self,
        request_id: bytes,
        shards: tuple[str, ...],
        reply: outcome.Reply,
    ) -> None:
        """Check a gathered reply against the records of its parts.

        ``shards`` are the shards that the route gathers from.
        """
        self._count_status(reply)
        if reply.status != _OK:
            return
        signatures = reply.headers.get(headers.PART_SIGNATURES) or b''
        part_signatures = [part.decode() for part in signatures.split(b', ')]
        shard_by_signature = {
            searcher_ledger.signature(shard, request_id): shard
            for shard in shards
        }
        has_known_parts = shard_by_signature.keys() >= set(part_signatures)
        if (
            len(set(part_signatures)) != len(part_signatures)
            or not has_known_parts
        ):
            self.add_violation(
                'a caller gets exactly its own answer',
                f'{request_id!r}: {part_signatures}',
            )
            return
        parts = [shard_by_signature[part] for part in part_signatures]
        self._check_coverage(request_id, len(parts), len(shards), reply)
        if reply.body != _top_records(parts, request_id):
            self.add_violation(
                'a gathered answer holds the top records', repr(request_id)
            )

    def check_single(
        self,
        request_id: bytes,
        service: str,
        reply: outcome.Reply,
        *,
        is_idempotent: bool,
    ) -> None:
        """Check the reply to a request that one searcher serves."""
        self._count_status(reply)
        expected_body = b''.join(searcher_ledger.records(service, request_id))
        if reply.status == _OK and reply.body != expected_body:
            self.add_violation(
                'a caller gets exactly its own answer', repr(request_id)
            )
        if reply.status in _NOT_RUN_STATUSES and not is_idempotent:
            self._not_run_ids.add(request_id)

    def check_totals(self, stamp_service: str) -> None:
        """Check the guarantees over the whole run, after the last reply.

        ``stamp_service`` is the service of the non-idempotent requests.
        """
        for (service, request_id), runs in self._ledger.runs.items():
            if service != stamp_service:
                continue
            if runs > 1:
                self.add_violation(
                    'a non-idempotent request runs at most once',
                    f'{request_id!r}: {runs} runs',
                )
            if request_id in self._not_run_ids:
                self.add_violation(
                    'a request reported as not run has not run',
                    repr(request_id),
                )
        self._check_attempts()
        if self._ledger.arrivals_after_drain:
            examples = repr(
                self._ledger.arrivals_after_drain[:_TOLERATED_REQUESTS]
            )
            self.add_violation(
                'a draining searcher gets no new request', examples
            )
        for service, arrivals in self._ledger.arrivals_by_service.items():
            self._check_second_sends(service, arrivals)

    def _check_attempts(self) -> None:
        exceeded_ids = [
            request_id
            for (_, request_id), runs in self._ledger.runs.items()
            if runs > MAX_ATTEMPTS
        ]
        if len(exceeded_ids) > _TOLERATED_REQUESTS:
            self.add_violation(
                'attempts stay within the limit',
                repr(exceeded_ids[:_TOLERATED_REQUESTS]),
            )

    def _check_second_sends(
        self,
        service: str,
        arrivals: list[searcher_ledger.Arrival],
    ) -> None:
        """Check the second sends in every window against the budget.

        The budget is the burst plus a share of the first sends of the window.
        First sends are counted in this window and in windows that begin half
        and one window earlier; the greatest count applies.
        """
        first_send_times, repeat_send_times = second_sends.split(arrivals)
        request_times = self._ledger.request_times_by_service[service]
        for start in repeat_send_times:
            repeat_count = second_sends.count_in_window(
                repeat_send_times, start, _BUDGET.window_s
            )
            allowed = _BUDGET.allowed(first_send_times, start)
            if repeat_count > allowed:
                by_requests = _BUDGET.allowed(request_times, start)
                observed = (
                    f'{service}: {repeat_count} sent, allowed {allowed:.0f}, '
                    f'or {by_requests:.0f} by the requests of clients'
                )
                self.add_violation(
                    'second sends stay within the budget', observed
                )
                return

    def _check_coverage(
        self,
        request_id: bytes,
        parts: int,
        shards: int,
        reply: outcome.Reply,
    ) -> None:
        missing = int(reply.headers.get(headers.MISSING_SHARDS) or b'0')
        if parts + missing != shards:
            self.add_violation(
                'the reported coverage is correct',
                f'{request_id!r}: {missing} missing',
            )
        if parts < MIN_COVERAGE * shards:
            self.add_violation(
                'coverage reaches the minimum', f'{request_id!r}: {parts}'
            )

    def _count_status(self, reply: outcome.Reply) -> None:
        self.statuses[reply.status] += 1


def _top_records(shards: list[str], request_id: bytes) -> bytes:
    candidates = [
        record
        for shard in shards
        for record in searcher_ledger.records(shard, request_id)
    ]
    return b''.join(sorted(candidates, reverse=True)[:TOP_COUNT])
