"""Capacity and timing of a stand-in searcher."""

import msgspec


class SearcherProfile(msgspec.Struct, forbid_unknown_fields=True):
    """Capacity and timing of a searcher; times are in milliseconds.

    A batch holds one slot until its last entry is done. Each entry of a
    batch of ``n`` takes ``work_ms * (1 + batch_marginal * (n - 1))``. One
    entry in ``straggler_one_in`` takes ``straggler_factor`` times as long;
    zero means none. Work takes ``cold_factor`` times as long for
    ``cold_start_ms`` after the start. Up to ``backlog`` batches and commands
    wait for one of the ``slots``.
    """

    searcher_id: str
    service: str
    slots: int = 2
    backlog: int = 0
    connections: int = 25
    connect_ms: float = 0
    work_ms: float = 4
    batch_marginal: float = 0.1
    straggler_one_in: int = 0
    straggler_factor: float = 10
    cold_start_ms: float = 0
    cold_factor: float = 5
    records_per_shard: int = 20
    seed: int = 1
