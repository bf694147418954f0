"""Starts and stops the readers of the store's kinds together."""

import asyncio
import functools
from collections.abc import Callable, Mapping

from chivepond.gateway import (
    background_task,
    closeable,
    kind_reader,
    replica,
    store_retry,
    telemetry,
)
from chivepond.transport import address


class StoreReaders(closeable.Closeable):
    """Runs one reader per kind between start and close."""

    __slots__ = (
        '_is_fresh',
        '_watch_allowed',
        '_readers',
        '_replica_by_kind',
        '_store',
        '_tasks',
        '_telemetry',
        '_watch_s',
    )

    def __init__(
        self,
        store: address.Address,
        replica_by_kind: Mapping[str, replica.Replica],
        gateway_telemetry: telemetry.Telemetry,
        watch_s: Callable[[str], float],
        is_fresh: Callable[[], bool],
    ) -> None:
        """Start no reader; a watch waits for ``watch_s(kind)`` seconds.

        ``is_fresh`` tells whether another gateway currently keeps the replicas
        fresh.
        """
        self._store = store
        self._replica_by_kind = replica_by_kind
        self._telemetry = gateway_telemetry
        self._watch_s = watch_s
        self._is_fresh = is_fresh
        self._readers: list[kind_reader.KindReader] = []
        self._tasks: list[asyncio.Task[None]] = []
        #: Set while the readers may watch, and not only read their first list.
        self._watch_allowed = asyncio.Event()

    def close(self) -> None:
        """Stop all readers."""
        self._watch_allowed.clear()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._readers.clear()

    @property
    def is_failing(self) -> bool:
        """Whether the last call of any reader failed."""
        return any(reader.is_failing for reader in self._readers)

    def start_watching(self) -> None:
        """Start the readers, and let them watch for changes."""
        self.start_listing()
        self._watch_allowed.set()

    def start_listing(self) -> None:
        """Start the readers, which list their kinds; lists may be stale."""
        if self._tasks:
            return
        retry = store_retry.StoreRetry()
        self._readers = [
            kind_reader.KindReader(
                kind,
                self._store,
                kind_replica,
                self._telemetry,
                functools.partial(self._watch_s, kind),
                retry,
                self._is_fresh,
                self._watch_allowed,
            )
            for kind, kind_replica in self._replica_by_kind.items()
        ]
        self._tasks = [
            asyncio.create_task(
                background_task.run(
                    reader.run, f'reader of {kind}', self._telemetry
                )
            )
            for kind, reader in zip(
                self._replica_by_kind, self._readers, strict=True
            )
        ]
