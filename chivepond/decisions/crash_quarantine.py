"""Rejection of requests that crash the searchers that run them.

Load pattern: a request crashes each searcher that starts to run it and is
retried under a new request id through any gateway. If forwarded, it takes down
all replicas of all shards each time, and every other search fails until they
are back.
"""

import dataclasses

#: Matching requests, and crashed searchers, after which further requests are
#: rejected. A request that merely ran beside a crashing one has few of both.
_MIN_REQUESTS = 2
_MIN_CRASHES = 3
#: How long matching requests are rejected and crashes are remembered, in
#: seconds.
_QUARANTINE_S = 600.0
#: How many request ids a record holds.
_MAX_REMEMBERED_REQUESTS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class CrashRecord:
    """The crashes during requests with the same fingerprint."""

    #: Number of crashed searchers by request id.
    crashes_by_request: dict[str, int]
    #: Time of the most recent crash, in Unix seconds.
    seen_at: float

    def is_expired(self, now: float) -> bool:
        """Tell whether the record may be dropped at ``now``."""
        return now >= self.seen_at + _QUARANTINE_S

    def rejects(self, now: float) -> bool:
        """Tell whether requests with this fingerprint are rejected."""
        if self.is_expired(now) or len(self.crashes_by_request) < _MIN_REQUESTS:
            return False
        return sum(self.crashes_by_request.values()) >= _MIN_CRASHES

    def retry_after_s(self, now: float) -> float:
        """Return the retry delay of a rejected request, in seconds."""
        return min(_QUARANTINE_S, max(0, self.seen_at + _QUARANTINE_S - now))


def merged(*records: CrashRecord) -> CrashRecord:
    """Merge the records of several gateways for the same fingerprint.

    Gateways that forwarded the same request each saw different searchers. For
    each request id the highest count is used.
    """
    crashes_by_request: dict[str, int] = {}
    for record in records:
        for request_id, crashes in record.crashes_by_request.items():
            previous = crashes_by_request.get(request_id, 0)
            crashes_by_request[request_id] = max(previous, crashes)
    retained = list(crashes_by_request.items())[:_MAX_REMEMBERED_REQUESTS]
    return CrashRecord(
        dict(retained),
        max(record.seen_at for record in records),
    )
