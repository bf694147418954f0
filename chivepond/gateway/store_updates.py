"""Applies the store's updates of routes and searchers."""

import asyncio
from collections.abc import Callable, Iterable

import result

from chivepond.decisions import switches
from chivepond.gateway import (
    closeable,
    replica,
    request_router,
    routing_table,
    searcher_record,
    searchers,
    telemetry,
    version_queue,
)
from chivepond.observe import events
from chivepond.platform import configuration_codec, searcher_codec, store_calls


class StoreUpdates(closeable.Closeable):
    """Decodes objects and applies them; logs those that can't be decoded."""

    __slots__ = (
        '_has_searcher_list',
        '_on_update',
        '_searchers',
        '_telemetry',
        '_versions',
        '_router',
        'configuration_replica',
    )

    def __init__(
        self,
        searcher_registry: searchers.Searchers,
        router: request_router.RequestRouter,
        gateway_telemetry: telemetry.Telemetry,
        bound_s: float,
        on_update: Callable[[], None],
        mechanism_switches: switches.Switches,
    ) -> None:
        """Call ``on_update`` after each list of searchers and new version.

        Each version becomes active within ``bound_s`` seconds.
        """
        self._versions = version_queue.VersionQueue(
            router,
            searcher_registry,
            bound_s,
            self._on_active,
            mechanism_switches,
        )
        self._searchers = searcher_registry
        self._router = router
        self._telemetry = gateway_telemetry
        self._on_update = on_update
        self._has_searcher_list = False
        #: The replica that configurations come from, if there is one.
        self.configuration_replica: replica.Replica | None = None

    def close(self) -> None:
        """Discard the version that waits to become active."""
        self._versions.close()

    @property
    def has_initial_state(self) -> bool:
        """Whether a routing table and a list of searchers were received."""
        return self._has_searcher_list and self._router.table is not None

    def replace_searchers(
        self, stored_objects: list[store_calls.StoredObject]
    ) -> None:
        """Replace all searchers by the listed ones."""
        records = {}
        for stored in stored_objects:
            match searcher_codec.decode(stored.meta.name, stored.spec):
                case result.Ok(record):
                    records[record.searcher_id] = record
                case failure:
                    self._log_refused_entry(stored, str(failure.unwrap_err()))
        self._searchers.replace(records)
        self._locate(records.values())
        self._searchers.shares.locations.retain(set(records), _now())
        self._has_searcher_list = True
        self._versions.recheck()
        self._on_update()

    def apply_searcher_change(self, change: store_calls.WatchEvent) -> None:
        """Add, replace or remove one searcher."""
        name = change.object.meta.name
        if change.deleted:
            self._remove(name)
            return
        match searcher_codec.decode(name, change.object.spec):
            case result.Ok(record):
                self._searchers.put(record)
                self._locate([record])
                self._versions.recheck()
            case failure:
                self._log_refused_entry(
                    change.object, str(failure.unwrap_err())
                )
                self._remove(name)

    def apply_configurations(
        self,
        stored_objects: list[store_calls.StoredObject],
    ) -> None:
        """Apply the listed configuration; there is at most one."""
        for stored in stored_objects:
            self._apply_configuration(stored)

    def apply_configuration_change(
        self, change: store_calls.WatchEvent
    ) -> None:
        """Apply a changed configuration; ignore its deletion."""
        if not change.deleted:
            self._apply_configuration(change.object)

    def _locate(
        self, records: Iterable[searcher_record.SearcherRecord]
    ) -> None:
        locations = self._searchers.shares.locations
        for record in records:
            locations.put(
                record.searcher_id, record.service, record.data_centre, _now()
            )

    def _remove(self, searcher_id: str) -> None:
        self._searchers.deregister(searcher_id)
        self._searchers.shares.locations.remove(searcher_id, _now())

    def _apply_configuration(self, stored: store_calls.StoredObject) -> None:
        if stored.meta.name != store_calls.CONFIGURATION_NAME:
            return
        match configuration_codec.decode(stored.spec):
            case result.Ok(table):
                if self._versions.offer(table, self._configuration_age_s()):
                    self._telemetry.emit(
                        events.ROUTES_WAIT,
                        version=table.version,
                        revision=stored.meta.revision,
                        in_force=self._router.table.version,
                    )
            case failure:
                self._telemetry.emit(
                    events.ROUTES_REFUSED,
                    revision=stored.meta.revision,
                    why=str(failure.unwrap_err()),
                )

    def _configuration_age_s(self) -> float:
        known = self.configuration_replica
        return 0 if known is None else known.age_s(_now())

    def _on_active(self, table: routing_table.RoutingTable) -> None:
        self._searchers.shares.limit(table.connection_cap_by_service)
        self._telemetry.gauge('routes_version', table.version)
        self._telemetry.emit(events.ROUTES_IN_FORCE, version=table.version)
        self._on_update()

    def _log_refused_entry(
        self,
        stored: store_calls.StoredObject,
        reason: str,
    ) -> None:
        self._telemetry.emit(
            events.SEARCHER_ENTRY_REFUSED,
            searcher=stored.meta.name,
            revision=stored.meta.revision,
            why=reason,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
