"""Takes what the store tells of routes and searchers."""

from collections.abc import Callable

import result

from chivepond.decisions import switches
from chivepond.gateway import (
    closing,
    request_router,
    routing_table,
    searchers,
    telemetry,
    version_queue,
)
from chivepond.observe import events
from chivepond.platform import configuration_codec, searcher_codec, store_calls


class StoreUpdates(closing.Closing):
    """Decodes objects and hands them on; what can't be read is logged."""

    __slots__ = (
        '_is_listed',
        '_on_informed',
        '_searchers',
        '_telemetry',
        '_versions',
        '_router',
    )

    def __init__(
        self,
        known: searchers.Searchers,
        router: request_router.RequestRouter,
        events_log: telemetry.Telemetry,
        bound_s: float,
        on_informed: Callable[[], None],
        switched: switches.Switches,
    ) -> None:
        """Call ``on_informed`` after each piece of news.

        Each version is in force within ``bound_s`` seconds.
        """
        self._versions = version_queue.VersionQueue(
            router,
            known,
            bound_s,
            self._on_active,
            switched,
        )
        self._searchers = known
        self._router = router
        self._telemetry = events_log
        self._on_informed = on_informed
        self._is_listed = False

    def close(self) -> None:
        """Put no version in force any more."""
        self._versions.close()

    @property
    def is_informed(self) -> bool:
        """Whether both routes and searchers are known."""
        return self._is_listed and self._router.table is not None

    def take_searchers(self, found: list[store_calls.StoredObject]) -> None:
        """Take the whole list of searchers."""
        records = {}
        for stored in found:
            match searcher_codec.decode(stored.meta.name, stored.spec):
                case result.Ok(record):
                    records[record.searcher_id] = record
                case wrong:
                    self._refuse_entry(stored, str(wrong.unwrap_err()))
        self._searchers.replace(records)
        self._is_listed = True
        self._versions.look()
        self._on_informed()

    def take_searcher_change(self, change: store_calls.Change) -> None:
        """Take the news of one searcher."""
        name = change.object.meta.name
        if change.deleted:
            self._searchers.vanish(name)
            return
        match searcher_codec.decode(name, change.object.spec):
            case result.Ok(record):
                self._searchers.put(record)
                self._versions.look()
            case wrong:
                self._refuse_entry(change.object, str(wrong.unwrap_err()))
                self._searchers.vanish(name)

    def take_configurations(
        self,
        found: list[store_calls.StoredObject],
    ) -> None:
        """Take the whole list of configurations, which is one or none."""
        for stored in found:
            self._take_configuration(stored)

    def take_configuration_change(self, change: store_calls.Change) -> None:
        """Take a newer configuration; its removal changes nothing."""
        if not change.deleted:
            self._take_configuration(change.object)

    def _take_configuration(self, stored: store_calls.StoredObject) -> None:
        if stored.meta.name != store_calls.CONFIGURATION_NAME:
            return
        match configuration_codec.decode(stored.spec):
            case result.Ok(table):
                if self._versions.take(table):
                    self._telemetry.emit(
                        events.ROUTES_WAIT,
                        version=table.version,
                        revision=stored.meta.revision,
                        in_force=self._router.table.version,
                    )
            case wrong:
                self._telemetry.emit(
                    events.ROUTES_REFUSED,
                    revision=stored.meta.revision,
                    why=str(wrong.unwrap_err()),
                )

    def _on_active(self, table: routing_table.RoutingTable) -> None:
        self._searchers.shares.limit(table.connection_cap_by_service)
        self._telemetry.gauge('routes_version', table.version)
        self._telemetry.emit(events.ROUTES_IN_FORCE, version=table.version)
        self._on_informed()

    def _refuse_entry(
        self,
        stored: store_calls.StoredObject,
        why: str,
    ) -> None:
        self._telemetry.emit(
            events.SEARCHER_ENTRY_REFUSED,
            searcher=stored.meta.name,
            revision=stored.meta.revision,
            why=why,
        )
