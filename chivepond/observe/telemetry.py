"""Counts the requests of one node and logs their outcomes."""

import hmac
import time
from collections.abc import Callable

import result

from chivepond.control import configuration
from chivepond.errors import invalid, key_expired, problem
from chivepond.observe import (
    events,
    journal,
    request_cause,
    search_trace,
    service_counts,
)
from chivepond.settings import node_settings
from chivepond.wire import (
    command_answer,
    command_request,
    coverage,
    search_answer,
    search_request,
)

#: Label of requests for services that are not configured.
UNKNOWN = 'unknown'
SEARCH = 'search'
COMMAND = 'command'

_MAX_LISTED_SHARDS = 20
_MAX_ID_CHARS = 64
_MAX_KEY_CHARS = 80
_S_PER_MS = 0.001
_DIGEST_CHARS = 32

SearchOutcome = result.Result[search_answer.SearchAnswer, problem.Problem]
CommandOutcome = result.Result[command_answer.CommandAnswer, problem.Problem]


class Telemetry:
    """Counts and logs each request once, when it ends."""

    __slots__ = (
        '_clock',
        '_configuration',
        '_settings',
        'counts_by_service',
        'is_platform_unreachable',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        configured: configuration.Configuration,
        is_platform_unreachable: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Count requests; ``clock`` returns monotonic seconds."""
        self._settings = settings
        self._configuration = configured
        self._clock = clock
        self.is_platform_unreachable = is_platform_unreachable
        self.counts_by_service: dict[str, service_counts.ServiceCounts] = {}

    def now(self) -> float:
        """Return the time of the counts, in seconds."""
        return self._clock()

    def current_counts(self) -> dict[str, service_counts.ServiceCounts]:
        """Drop counts of services no longer configured; return the rest."""
        configured = self._configuration.document.search.by_service
        self.counts_by_service = {
            name: counts
            for name, counts in self.counts_by_service.items()
            if name in configured or name == UNKNOWN
        }
        return self.counts_by_service

    def search_done(
        self,
        request: search_request.SearchRequest,
        answer: SearchOutcome,
        trace: search_trace.SearchTrace,
        took_ms: float,
    ) -> None:
        """Count and log a search that was answered or refused.

        ``took_ms`` is its duration in milliseconds.
        """
        counts = self._counts_of(request.service)
        counts.attempts += trace.attempts
        match answer:
            case result.Ok(answered):
                self._count_answer(counts, SEARCH)
                counts.latency.observe(took_ms * _S_PER_MS)
                self._count_late(counts, request, answered.coverage, took_ms)
                self._count_coverage(counts, answered.coverage)
            case result.Err(error):
                class_label = self._class_label(request)
                self._count_refusal(counts, SEARCH, error, class_label)
        self._log_search(request, answer, trace, took_ms)

    def command_done(
        self,
        request: command_request.CommandRequest,
        answer: CommandOutcome,
    ) -> None:
        """Count and log a non-idempotent request."""
        counts = self._counts_of(request.service)
        fields: dict[str, object] = {
            'key': request.key[:_MAX_KEY_CHARS],
            'service': request.service[:_MAX_ID_CHARS],
            'node': self._settings.node_id,
            'revision': self._configuration.revision,
        }
        match answer:
            case result.Ok(answered):
                self._count_answer(counts, COMMAND)
                journal.log(
                    events.COMMAND_ANSWERED,
                    **fields
                    | {
                        'outcome': answered.outcome,
                        'replayed': answered.replayed,
                    },
                )
            case result.Err(error):
                self._count_refusal(counts, COMMAND, error, COMMAND)
                journal.log(
                    events.COMMAND_REFUSED,
                    **fields | {'kind': error.kind},
                )

    def _counts_of(self, service: str) -> service_counts.ServiceCounts:
        """Return the counts of a service; unknown services share one.

        Callers may send any name; separate counts for each would use an
        unbounded amount of memory and time series.
        """
        configured = self._configuration.service(service)
        name = UNKNOWN if configured is None else service
        counts = self.counts_by_service.get(name)
        if counts is None:
            counts = service_counts.ServiceCounts()
            self.counts_by_service[name] = counts
        return counts

    def _class_label(self, request: search_request.SearchRequest) -> str:
        service = self._configuration.service(request.service)
        if service is None:
            return UNKNOWN
        is_known = request.request_class in service.weight_by_class
        return request.request_class if is_known else UNKNOWN

    def _count_answer(
        self,
        counts: service_counts.ServiceCounts,
        operation: str,
    ) -> None:
        counts.by_outcome[operation, 'answered'] += 1
        counts.add(service_counts.REQUESTS, self._clock())
        if operation == SEARCH:
            counts.add(service_counts.ANSWERED, self._clock())

    def _count_late(
        self,
        counts: service_counts.ServiceCounts,
        request: search_request.SearchRequest,
        covered: coverage.Coverage,
        took_ms: float,
    ) -> None:
        service = self._configuration.service(request.service)
        if service is None or took_ms <= service.objectives.latency_ms:
            return
        cause = request_cause.of_coverage(covered)
        counts.add(f'latency {cause}', self._clock())

    def _count_coverage(
        self,
        counts: service_counts.ServiceCounts,
        covered: coverage.Coverage,
    ) -> None:
        counts.shards += covered.total
        counts.shards_covered += covered.covered
        for shard in covered.missing:
            reason = request_cause.reason(shard)
            counts.missing_by_reason[reason] += 1
        if covered.missing:
            cause = request_cause.of_coverage(covered)
            counts.add(f'coverage {cause}', self._clock())

    def _count_refusal(
        self,
        counts: service_counts.ServiceCounts,
        operation: str,
        error: problem.Problem,
        request_class: str,
    ) -> None:
        outcome = request_cause.outcome(error)
        counts.by_outcome[operation, outcome] += 1
        if isinstance(error, invalid.Invalid | key_expired.KeyExpired):
            return
        cause = request_cause.of_refusal(
            error,
            request_class,
            is_platform_unreachable=self.is_platform_unreachable(),
        )
        counts.add(service_counts.REQUESTS, self._clock())
        counts.add(f'availability {cause}', self._clock())

    def _log_search(
        self,
        request: search_request.SearchRequest,
        answer: SearchOutcome,
        trace: search_trace.SearchTrace,
        took_ms: float,
    ) -> None:
        fields = {
            'request_id': trace.request_id[:_MAX_ID_CHARS],
            'service': request.service[:_MAX_ID_CHARS],
            'node': self._settings.node_id,
            'revision': self._configuration.revision,
            'attempts': trace.attempts,
            'snapshot': trace.snapshot,
            'took_ms': took_ms,
        }
        if self._configuration.document.audit.query_digests:
            fields['query_digest'] = self._digest(request.query)
        match answer:
            case result.Ok(answered):
                journal.log(
                    events.SEARCH_ANSWERED,
                    **fields | _coverage_fields(answered.coverage),
                )
            case result.Err(error):
                journal.log(
                    events.SEARCH_REFUSED,
                    **fields | {'kind': error.kind},
                )

    def _digest(self, query: str) -> str:
        """Return a keyed digest; without a key, queries could be guessed."""
        key = self._settings.secret.encode()
        text = query.encode(errors='surrogatepass')
        return hmac.digest(key, text, 'sha256').hex()[:_DIGEST_CHARS]


def _coverage_fields(covered: coverage.Coverage) -> dict[str, object]:
    missing = [f'{shard.shard}:{shard.reason}' for shard in covered.missing]
    return {
        'total': covered.total,
        'covered': covered.covered,
        'missing': len(missing),
        'missing_shards': ','.join(missing[:_MAX_LISTED_SHARDS]),
    }
