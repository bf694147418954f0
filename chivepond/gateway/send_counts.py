"""Counts the requests sent to each service, by the reason for the send."""

import asyncio
import enum

from chivepond.gateway import telemetry
from chivepond.observe import events

#: Delay of the log line after the first send that calls for one, in seconds.
_LOG_INTERVAL_S = 1.0


class SendKind(enum.StrEnum):
    """Why a request is sent to a searcher; the name is used in metrics."""

    #: The first send of a request.
    FIRST = 'first_sends'
    #: A send beyond the first one, which the hedge budget paid for.
    HEDGED = 'hedged_sends'
    #: Replaces a send that failed before a byte was sent.
    REPLACED = 'replaced_sends'
    #: The first send here of a request that another gateway reported as not
    #: sent.
    MOVED = 'moved_sends'


class SendCounts:
    """Counts sends by service and kind, for the metrics and the log."""

    __slots__ = (
        '_counts_by_service',
        '_is_log_due',
        '_logged_at',
        '_loop',
        '_telemetry',
    )

    def __init__(self, gateway_telemetry: telemetry.Telemetry) -> None:
        """Publish the counts through ``gateway_telemetry``."""
        self._telemetry = gateway_telemetry
        self._loop = asyncio.get_running_loop()
        self._logged_at = self._loop.time()
        self._is_log_due = False
        #: Sends since the last log line.
        self._counts_by_service: dict[str, dict[str, int]] = {}

    def add(self, service: str, kind: SendKind) -> None:
        """Count one send; all but first sends are logged soon afterwards."""
        self._telemetry.count(kind, service)
        counts = self._counts_by_service.setdefault(service, {})
        counts[kind] = counts.get(kind, 0) + 1
        if kind is not SendKind.FIRST and not self._is_log_due:
            self._is_log_due = True
            self._loop.call_later(_LOG_INTERVAL_S, self._log)

    def _log(self) -> None:
        now = self._loop.time()
        self._telemetry.emit(
            events.SENDS_BY_SERVICE,
            span_s=round(now - self._logged_at, 1),
            by_service=self._counts_by_service,
        )
        self._logged_at = now
        self._is_log_due = False
        self._counts_by_service = {}
