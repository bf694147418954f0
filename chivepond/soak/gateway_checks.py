"""What callers of gateways were promised, checked on what they got."""

import bisect
import collections
import time

from chivepond.gateway import outcome
from chivepond.platform import headers
from chivepond.soak import gateway_process, searcher_ledger, violation

#: Answers by which a gateway says that a request did not run.
_NOT_RUN = frozenset((408, 421, 429, 503))
_OK = 200
TOP_COUNT = 7
LEAST_SHARE = 0.6
#: Searchers of one shard that may run one request.
MOST_ATTEMPTS = 2
#: Requests that may run once more often: their gateway was killed between.
_FEW = 3
#: Second sends as a share of the requests, and the span that is looked at,
#: in seconds; the defaults of the settings.
_SHARE = 0.2
_SPAN_S = 10.0


class GatewayChecks:
    """Takes what callers got; keeps what broke a promise."""

    __slots__ = ('_began', '_ledger', '_refused', 'statuses', 'violations')

    def __init__(self, ledger: searcher_ledger.SearcherLedger) -> None:
        """Compare with what ``ledger`` ran."""
        self._began = time.monotonic()
        self._ledger = ledger
        self._refused: set[bytes] = set()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.violations: list[violation.Violation] = []

    def broken(self, promise: str, seen: str) -> None:
        """Keep a broken promise."""
        at_s = time.monotonic() - self._began
        self.violations.append(violation.Violation(promise, seen, at_s))

    def search(
        self,
        request_id: bytes,
        shards: tuple[str, ...],
        reply: outcome.Reply,
    ) -> None:
        """Check a gathered answer against the records of its parts."""
        self._count(reply)
        if reply.status != _OK:
            return
        told = reply.headers.get(headers.PART_SIGNATURES) or b''
        signed = [one.decode() for one in told.split(b', ')]
        known = {
            searcher_ledger.signature(shard, request_id): shard
            for shard in shards
        }
        is_own = known.keys() >= set(signed)
        if len(set(signed)) != len(signed) or not is_own:
            self.broken('whole own answers', f'{request_id!r}: {signed}')
            return
        parts = [known[one] for one in signed]
        self._coverage(request_id, len(parts), len(shards), reply)
        if reply.body != _greatest(parts, request_id):
            self.broken('the greatest records', repr(request_id))

    def single(
        self,
        request_id: bytes,
        service: str,
        reply: outcome.Reply,
        *,
        is_idempotent: bool,
    ) -> None:
        """Check the answer of one searcher."""
        self._count(reply)
        own = b''.join(searcher_ledger.records(service, request_id))
        if reply.status == _OK and reply.body != own:
            self.broken('whole own answers', repr(request_id))
        if reply.status in _NOT_RUN and not is_idempotent:
            self._refused.add(request_id)

    def at_the_end(self, stamps: str) -> None:
        """Check what holds over the whole run."""
        for (service, request_id), runs in self._ledger.runs.items():
            if service != stamps:
                continue
            if runs > 1:
                self.broken('at most once', f'{request_id!r}: {runs} runs')
            if request_id in self._refused:
                self.broken('not run means not run', repr(request_id))
        self._attempts()
        if self._ledger.late_arrivals:
            seen = repr(self._ledger.late_arrivals[:_FEW])
            self.broken('a leaving searcher gets nothing new', seen)
        for service, arrivals in self._ledger.arrivals_by_service.items():
            self._second_sends(service, arrivals)

    def _attempts(self) -> None:
        over = [
            request_id
            for (_, request_id), runs in self._ledger.runs.items()
            if runs > MOST_ATTEMPTS
        ]
        if len(over) > _FEW:
            self.broken('attempts within bounds', repr(over[:_FEW]))

    def _second_sends(
        self,
        service: str,
        arrivals: list[searcher_ledger.Arrival],
    ) -> None:
        """Check that repeats of any span stay within share and burst."""
        seen: set[bytes] = set()
        firsts: list[float] = []
        repeats: list[float] = []
        for one in arrivals:
            (repeats if one.request_id in seen else firsts).append(one.at)
            seen.add(one.request_id)
        for begin in repeats:
            spent = _within(repeats, begin)
            allowed = gateway_process.BURST + _SHARE * max(
                _within(firsts, begin),
                _within(firsts, begin - _SPAN_S / 2),
                _within(firsts, begin - _SPAN_S),
            )
            if spent > allowed:
                seen_text = f'{service}: {spent} of {allowed:.0f}'
                self.broken('second sends within the budget', seen_text)
                return

    def _coverage(
        self,
        request_id: bytes,
        parts: int,
        shards: int,
        reply: outcome.Reply,
    ) -> None:
        missing = int(reply.headers.get(headers.MISSING_SHARDS) or b'0')
        if parts + missing != shards:
            self.broken('true coverage', f'{request_id!r}: {missing} missing')
        if parts < LEAST_SHARE * shards:
            self.broken('least coverage', f'{request_id!r}: {parts}')

    def _count(self, reply: outcome.Reply) -> None:
        self.statuses[reply.status] += 1


def _within(moments: list[float], begin: float) -> int:
    first = bisect.bisect_left(moments, begin)
    return bisect.bisect_left(moments, begin + _SPAN_S) - first


def _greatest(shards: list[str], request_id: bytes) -> bytes:
    found = [
        record
        for shard in shards
        for record in searcher_ledger.records(shard, request_id)
    ]
    return b''.join(sorted(found, reverse=True)[:TOP_COUNT])
