"""The searchers that are registered, and what is believed of each."""

import asyncio
import types
from collections.abc import Iterator, Mapping
from typing import Self

from chivepond.decisions import searcher_choice
from chivepond.gateway import searcher_link, searcher_record

#: How long a searcher whose entry vanished stays the last choice, in
#: seconds: entries that lapse while the store is away are back within two
#: seconds, and one that left serves for longer than that.
_HOLD_S = 2.0


class Searchers:
    """Links by searcher, kept in step with the list of the store."""

    __slots__ = (
        '_caps',
        '_gateways',
        '_here',
        '_ids_by_service',
        '_link_by_id',
        '_loop',
        '_region_by_data_centre',
        '_removal_by_id',
    )

    def __init__(
        self,
        here: str,
        region_by_data_centre: Mapping[str, str],
    ) -> None:
        """Start empty, in the data centre ``here``."""
        self._here = here
        self._region_by_data_centre = region_by_data_centre
        self._loop = asyncio.get_running_loop()
        self._link_by_id: dict[str, searcher_link.SearcherLink] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._removal_by_id: dict[str, asyncio.TimerHandle] = {}
        self._caps: Mapping[str, int] = {}
        self._gateways = 1

    def __enter__(self) -> Self:
        """Return the searchers."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all links."""
        for searcher_id in list(self._link_by_id):
            self._remove(searcher_id)

    def share_caps(self, caps: Mapping[str, int], gateways: int) -> None:
        """Share the caps of services out among ``gateways``."""
        self._caps = caps
        self._gateways = gateways
        for link in self._link_by_id.values():
            link.limit(self._cap(link.record))

    def replace(
        self,
        record_by_id: Mapping[str, searcher_record.SearcherRecord],
    ) -> None:
        """Take a whole list."""
        for searcher_id in list(self._link_by_id):
            if searcher_id not in record_by_id:
                self.vanish(searcher_id)
        for record in record_by_id.values():
            self.put(record)

    def put(self, record: searcher_record.SearcherRecord) -> None:
        """Take what a searcher told; older news than is known is passed over.

        Guards against a report of an earlier life that lands after the
        searcher has started again: it would take a sound searcher out.
        """
        known = self._link_by_id.get(record.searcher_id)
        if known is not None:
            if _order(record) < _order(known.record):
                return
            if record.life == known.record.life and _same_place(record, known):
                self._keep(record.searcher_id)
                known.record = record
                return
            self._remove(record.searcher_id)
        self._add(record)

    def vanish(self, searcher_id: str) -> None:
        """Take the news that an entry is gone."""
        known = self._link_by_id.get(searcher_id)
        if known is None or searcher_id in self._removal_by_id:
            return
        if known.record.is_leaving:
            self._remove(searcher_id)
            return
        self._removal_by_id[searcher_id] = self._loop.call_later(
            _HOLD_S,
            self._remove,
            searcher_id,
        )

    def link(self, searcher_id: str) -> searcher_link.SearcherLink | None:
        """Return the link of one searcher."""
        return self._link_by_id.get(searcher_id)

    def candidates(self, service: str) -> Iterator[searcher_choice.Candidate]:
        """Return the searchers of a service that may be asked."""
        region = self._region_by_data_centre.get(self._here)
        for searcher_id in self._ids_by_service.get(service, ()):
            link = self._link_by_id[searcher_id]
            record = link.record
            if record.is_leaving:
                continue
            its_region = self._region_by_data_centre.get(record.data_centre)
            yield searcher_choice.Candidate(
                searcher_id=searcher_id,
                standing=link.standing,
                is_in_data_centre=record.data_centre == self._here,
                is_in_region=its_region == region,
                is_last_choice=searcher_id in self._removal_by_id,
            )

    def choose(
        self,
        service: str,
        tried: set[str],
        *,
        is_idempotent: bool,
    ) -> searcher_link.SearcherLink | None:
        """Return the best searcher that was not tried yet."""
        chosen = searcher_choice.choose(
            (
                one
                for one in self.candidates(service)
                if one.searcher_id not in tried
            ),
            self._loop.time(),
            is_idempotent=is_idempotent,
        )
        return chosen and self._link_by_id[chosen.searcher_id]

    def _add(self, record: searcher_record.SearcherRecord) -> None:
        link = searcher_link.SearcherLink(record, self._cap(record))
        self._link_by_id[record.searcher_id] = link
        same = self._ids_by_service.setdefault(record.service, set())
        same.add(record.searcher_id)

    def _remove(self, searcher_id: str) -> None:
        self._keep(searcher_id)
        link = self._link_by_id.pop(searcher_id)
        link.__exit__(None, None, None)
        service = link.record.service
        self._ids_by_service[service].discard(searcher_id)
        if not self._ids_by_service[service]:
            self._ids_by_service.pop(service)

    def _keep(self, searcher_id: str) -> None:
        removal = self._removal_by_id.pop(searcher_id, None)
        if removal is not None:
            removal.cancel()

    def _cap(self, record: searcher_record.SearcherRecord) -> int:
        cap = self._caps.get(record.service, 1)
        return max(1, cap // self._gateways)


def _order(record: searcher_record.SearcherRecord) -> tuple[int, int]:
    return (record.born_ms, record.sequence)


def _same_place(
    record: searcher_record.SearcherRecord,
    known: searcher_link.SearcherLink,
) -> bool:
    here = (record.address, record.service)
    return here == (known.record.address, known.record.service)
