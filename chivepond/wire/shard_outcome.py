"""Outcomes of one shard of a search."""

OK = 'ok'
LATE = 'late'
SHED = 'shed'
NO_REPLICA = 'no_replica'
WITHDRAWN = 'withdrawn'
UNREACHABLE = 'unreachable'
DRAINING = 'draining'
COLD = 'cold'
CANCELLED = 'cancelled'
