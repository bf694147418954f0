"""The health of one searcher, estimated by one gateway from its exchanges.

Load pattern: searchers pause for 200 ms every few seconds, become slow for
seconds, fail a share of their requests while their health check passes, or
stop replying. Health checks and reported load are delayed; the outcome of the
last exchanges is not. Without this each request would run into the fault
itself, which costs a hedge and its budget for each request during a fault.
"""

import enum
import math

from chivepond.decisions import usual_latency

#: Minimum weight of a new exchange in the averages. A fault is forgotten after
#: ten exchanges, which is a second of one gateway's requests to a searcher.
_MIN_SAMPLE_WEIGHT = 0.2
#: An average of this age, in seconds, weighs 0.37 beside a new exchange, so
#: that a searcher that is queried once in several seconds counts as slow as
#: its last reply. Of 95 requests, with two of four searchers ten times as
#: slow, 35 to 39 were late with a constant weight of 0.2; with this rule 11 to
#: 14 are.
_SAMPLE_AGE_S = 1.5
#: A reply that exceeds the usual latency by more than this was not delayed by
#: a pause, in seconds: the longest pause of a healthy searcher and the queue
#: behind it.
_MAX_PAUSE_S = 0.4
#: A request that is cancelled after this time counts as failed, in seconds:
#: twice the longest pause of a healthy searcher.
_SILENCE_FAILURE_S = 0.4
#: A sample is capped at this many times the usual latency, so that a single
#: pause moves no request to another region, and two slow replies do.
_MAX_SAMPLE_FACTOR = 3.0
#: A reply slower than usual by this factor may have been delayed by a pause.
_PAUSE_FACTOR = 2.0
#: A reply that is overdue by this factor of the usual latency, and by at least
#: this many seconds, indicates a pause: the slowest hundredth of replies of a
#: healthy searcher takes twice the usual time.
_OVERDUE_FACTOR = 2.5
_MIN_OVERDUE_S = 0.05
#: Consecutive failures after which a searcher is distrusted. A single one is
#: as likely a reply lost in the network.
USUAL_FAILURES = 2
#: Initial and maximum time for which a searcher is distrusted, in seconds.
_DISTRUST_S = 0.5
_MAX_DISTRUST_S = 1.5
#: Half-life of the excess of a bad average over the usual one of its service,
#: in seconds, so that a searcher without requests is tried again.
_DECAY_HALF_LIFE_S = 2.0
#: Weight of the failure share in the expected latency: a searcher that fails
#: every request counts as slower by this many times its latency.
_FAILURE_COST_FACTOR = 8.0
#: A lower failure share counts as zero: 24 successful replies after a failure.
_MIN_FAILURE_SHARE = 0.001
#: How long a reported queue length is valid, in seconds.
_QUEUE_REPORT_TTL_S = 0.5


class HealthState(enum.IntEnum):
    """How suitable a searcher is; lower is better."""

    USABLE = 0
    #: A reply is overdue: the searcher is probably paused.
    OVERDUE = 1
    #: It had several consecutive failures and is due for another attempt.
    ON_TRIAL = 2
    #: It had several consecutive failures.
    DISTRUSTED = 3


class UpstreamHealth:
    """Latency, failures and requests in flight; times are in seconds."""

    __slots__ = (
        '_distrusted_until',
        '_failure_share',
        '_failure_threshold',
        '_failures_in_row',
        '_latency_s',
        '_queue_length',
        '_queue_length_at',
        '_sent_at_by_attempt',
        '_slots',
        '_updated_at',
        '_usual',
    )

    def __init__(
        self,
        slots: int,
        failures: int = USUAL_FAILURES,
        usual: usual_latency.UsualLatency | None = None,
    ) -> None:
        """Start at the usual latency of the service.

        ``slots`` is the number of requests that the searcher runs at once. It
        is distrusted after ``failures`` consecutive failures. ``usual`` is
        shared by all searchers of a service.
        """
        self._usual = usual or usual_latency.UsualLatency()
        self._failure_threshold = failures
        self._slots = slots
        self._latency_s: float | None = None
        self._failure_share: float = 0
        self._failures_in_row = 0
        self._distrusted_until: float = 0
        self._updated_at: float = 0
        self._sent_at_by_attempt: dict[int, float] = {}
        self._queue_length = 0
        self._queue_length_at: float = 0

    @property
    def is_ejected(self) -> bool:
        """Whether it had too many consecutive failures to be preferred."""
        return self._failures_in_row >= self._failure_threshold

    @property
    def in_flight(self) -> int:
        """The number of requests of this gateway in flight there."""
        return len(self._sent_at_by_attempt)

    def record_queue_length(self, queue_length: int, now: float) -> None:
        """Record its reported queue length, over all gateways."""
        self._queue_length = queue_length
        self._queue_length_at = now

    def is_queued(self, now: float) -> bool:
        """Tell whether a recent report had a queue as long as its slots."""
        is_recent = now - self._queue_length_at < _QUEUE_REPORT_TTL_S
        return is_recent and self._queue_length >= self._slots

    def sent(self, attempt: int, now: float) -> None:
        """Record that the request of an attempt was sent."""
        self._sent_at_by_attempt[attempt] = now

    def record_cancelled(self, attempt: int, now: float) -> bool:
        """Record a cancelled request; tell whether it counts as failed.

        Guards against a searcher that stops replying: every search stops
        waiting for it before a timeout, so no failure would be recorded and
        each search would wait for it up to its target latency. A request that
        is cancelled early says nothing about the searcher.
        """
        sent_at = self._sent_at_by_attempt.get(attempt, now)
        is_silent = now - sent_at > _SILENCE_FAILURE_S
        if is_silent:
            self.failed(attempt, now)
        self._sent_at_by_attempt.pop(attempt, None)
        return is_silent

    def replied(self, attempt: int, now: float) -> None:
        """Record a successful reply and its latency."""
        sent_at = self._sent_at_by_attempt.pop(attempt, now)
        estimated_s = self._estimated_s(now)
        duration_s = now - sent_at
        self._usual.learn(duration_s)
        weight = self._sample_weight(now)
        if duration_s < estimated_s + _MAX_PAUSE_S:
            weight = min(weight, _max_weight_if_paused(duration_s, estimated_s))
            duration_s = min(duration_s, _MAX_SAMPLE_FACTOR * estimated_s)
        self._latency_s = estimated_s + weight * (duration_s - estimated_s)
        self.record_success(now)

    def record_success(self, now: float) -> None:
        """Record a successful reply whose latency is not meaningful."""
        self._failure_share = (
            1 - _MIN_SAMPLE_WEIGHT
        ) * self._decayed_failure_share(now)
        self._failures_in_row = 0
        self._updated_at = now

    def failed(self, attempt: int, now: float) -> None:
        """Record a failure; several consecutive ones distrust it for a time."""
        self._sent_at_by_attempt.pop(attempt, None)
        self._failure_share = _MIN_SAMPLE_WEIGHT + (
            1 - _MIN_SAMPLE_WEIGHT
        ) * self._decayed_failure_share(now)
        self._updated_at = now
        self._failures_in_row += 1
        excess_failures = self._failures_in_row - self._failure_threshold
        if excess_failures >= 0:
            self._distrusted_until = now + min(
                _MAX_DISTRUST_S,
                _DISTRUST_S * 2 ** min(excess_failures, 8),
            )

    def state(self, now: float) -> HealthState:
        """Return its current health state."""
        if self.is_ejected:
            is_on_trial = now >= self._distrusted_until and not self.in_flight
            return (
                HealthState.ON_TRIAL if is_on_trial else HealthState.DISTRUSTED
            )
        if self._is_overdue(now):
            return HealthState.OVERDUE
        return HealthState.USABLE

    def expected_s(self, now: float) -> float:
        """Return the expected duration of one more request, in seconds."""
        expected_s = self._estimated_s(now) * (1 + self.in_flight / self._slots)
        return expected_s * (
            1 + _FAILURE_COST_FACTOR * self._decayed_failure_share(now)
        )

    def _is_overdue(self, now: float) -> bool:
        if not self._sent_at_by_attempt:
            return False
        oldest_sent_at = next(iter(self._sent_at_by_attempt.values()))
        overdue_s = self._estimated_s(now) * _OVERDUE_FACTOR
        return now - oldest_sent_at > max(_MIN_OVERDUE_S, overdue_s)

    def _estimated_s(self, now: float) -> float:
        """Return its latency; an excess decays to the usual one."""
        service_latency_s = self._usual.seconds
        if self._latency_s is None:
            return service_latency_s
        excess_s = self._latency_s - service_latency_s
        if excess_s <= 0:
            return self._latency_s
        return service_latency_s + excess_s * self._decay(now)

    def _sample_weight(self, now: float) -> float:
        is_first = self._latency_s is None
        age_s = math.inf if is_first else now - self._updated_at
        return max(_MIN_SAMPLE_WEIGHT, 1 - math.exp(-age_s / _SAMPLE_AGE_S))

    def _decayed_failure_share(self, now: float) -> float:
        if self._failure_share < _MIN_FAILURE_SHARE:
            return 0
        return self._failure_share * self._decay(now)

    def _decay(self, now: float) -> float:
        return 0.5 ** (max(0, now - self._updated_at) / _DECAY_HALF_LIFE_S)


def _max_weight_if_paused(duration_s: float, estimated_s: float) -> float:
    """Return the maximum weight of a reply that a pause may have delayed."""
    return _MIN_SAMPLE_WEIGHT if duration_s > _PAUSE_FACTOR * estimated_s else 1
