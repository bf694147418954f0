"""What callers of gateways were promised, checked on what they got."""

import collections
import time

from chivepond.gateway import outcome
from chivepond.platform import headers
from chivepond.soak import searcher_ledger, violation

#: Answers by which a gateway says that a request did not run.
_NOT_RUN = frozenset((408, 421, 429, 503))
_OK = 200
TOP_COUNT = 7
LEAST_SHARE = 0.6


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


def _greatest(shards: list[str], request_id: bytes) -> bytes:
    found = [
        record
        for shard in shards
        for record in searcher_ledger.records(shard, request_id)
    ]
    return b''.join(sorted(found, reverse=True)[:TOP_COUNT])
