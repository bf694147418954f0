"""The registered searchers, with their channels and health."""

import asyncio
import math
from collections.abc import Iterator, Mapping

from chivepond.decisions import (
    change_time,
    searcher_choice,
    switches,
    usual_latency,
)
from chivepond.gateway import (
    closeable,
    health_log,
    peer_channel,
    peers,
    registered_searcher,
    replica,
    reply_buffers,
    searcher_record,
    telemetry,
    upstream_shares,
)
from chivepond.observe import events
from chivepond.settings import mechanism
from chivepond.transport import address

#: Seconds for which a searcher without an entry remains the last choice at
#: most: entries that expire while the store is unavailable return by then.
_REMOVAL_DELAY_S = 2.0
#: Part of the time within which a removal must take effect that is left for
#: requests on their way, and for confirmations that were late, in seconds.
_REMOVAL_MARGIN_S = 0.5
_Candidates = list[searcher_choice.Candidate]


class Searchers(closeable.Closeable):
    """Channels to searchers, updated from the entries in the store."""

    __slots__ = (
        '_candidates_by_service',
        '_health_log',
        '_id_by_address',
        '_ids_by_service',
        '_leaving_bound_s',
        '_loop',
        '_misdirected',
        '_removal_by_id',
        '_searcher_by_id',
        '_switches',
        '_telemetry',
        '_usual_latency_by_service',
        'own_data_centre',
        'region_by_data_centre',
        'replica',
        'reply_buffers',
        'shares',
    )

    def __init__(
        self,
        own_data_centre: str,
        region_by_data_centre: Mapping[str, str],
        peer_gateways: peers.Peers,
        gateway_telemetry: telemetry.Telemetry,
        mechanism_switches: switches.Switches,
        leaving_bound_s: float = math.inf,
    ) -> None:
        """Start without searchers, in the data centre ``own_data_centre``.

        A searcher gets no request more than ``leaving_bound_s`` seconds after
        its entry was removed.
        """
        self._leaving_bound_s = leaving_bound_s
        #: The replica that the entries come from, if there is one.
        self.replica: replica.Replica | None = None
        #: The memory of replies in progress, if it is limited.
        self.reply_buffers: reply_buffers.ReplyBuffers | None = None
        self.own_data_centre = own_data_centre
        self.region_by_data_centre = region_by_data_centre
        self._loop = asyncio.get_running_loop()
        self._searcher_by_id: dict[
            str, registered_searcher.RegisteredSearcher
        ] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._removal_by_id: dict[str, asyncio.TimerHandle] = {}
        self._id_by_address: dict[address.Address, str] = {}
        #: Searcher processes at whose address another searcher replied.
        self._misdirected: set[tuple[str, int]] = set()
        self.shares = upstream_shares.UpstreamShares(
            peer_gateways, mechanism_switches
        )
        self._switches = mechanism_switches
        self._candidates_by_service: dict[str, _Candidates] = {}
        self._usual_latency_by_service: dict[
            str, usual_latency.UsualLatency
        ] = {}
        self._telemetry = gateway_telemetry
        self._health_log = health_log.of_searchers(gateway_telemetry)

    def close(self) -> None:
        """Close all channels."""
        for searcher_id in list(self._searcher_by_id):
            self._remove(searcher_id)

    @property
    def count(self) -> int:
        """The number of known searchers."""
        return len(self._searcher_by_id)

    @property
    def connections(self) -> int:
        """The number of open connections to searchers."""
        return sum(
            searcher.channel.connections
            for searcher in self._searcher_by_id.values()
        )

    def set_regions(self, region_by_data_centre: Mapping[str, str]) -> None:
        """Set the region of each data centre."""
        self.region_by_data_centre = region_by_data_centre
        self._candidates_by_service.clear()

    def replace(
        self,
        record_by_id: Mapping[str, searcher_record.SearcherRecord],
    ) -> None:
        """Replace the searchers by a list from the store."""
        for searcher_id in list(self._searcher_by_id):
            if searcher_id not in record_by_id:
                self.deregister(searcher_id)
        for record in record_by_id.values():
            self.put(record)

    def put(self, record: searcher_record.SearcherRecord) -> None:
        """Add or update a searcher; ignore a record older than the current one.

        Guards against a report of a previous process that arrives after the
        searcher has restarted: it would remove a healthy searcher.
        """
        if record.incarnation in self._misdirected or self._is_superseded(
            record
        ):
            return
        searcher = self._searcher_by_id.get(record.searcher_id)
        if searcher is not None:
            if searcher.is_newer_than(record):
                return
            if searcher.is_same_process(record):
                self._cancel_removal(record.searcher_id)
                self._log_leaving(searcher.record, record)
                searcher.record = record
                if record.is_leaving:
                    searcher.channel.drain()
                self._candidates_by_service.pop(record.service, None)
                return
            self._remove(record.searcher_id)
        self._add(record)

    def deregister(self, searcher_id: str) -> None:
        """Remove a searcher whose entry is gone, after a delay.

        The delay is shorter where the entry may have been gone for a while.
        Removes the searcher at once if it is leaving or the delay is switched
        off.
        """
        self._misdirected = {
            incarnation
            for incarnation in self._misdirected
            if incarnation[0] != searcher_id
        }
        searcher = self._searcher_by_id.get(searcher_id)
        if searcher is None or searcher_id in self._removal_by_id:
            return
        is_delayed = self._switches.is_on(mechanism.Mechanism.LAST_CHOICE)
        if searcher.record.is_leaving or not is_delayed:
            self._remove(searcher_id)
            return
        self._removal_by_id[searcher_id] = self._loop.call_later(
            self._removal_delay_s(),
            self._remove,
            searcher_id,
        )
        self._candidates_by_service.pop(searcher.record.service, None)

    def drop_misdirected(self, searcher_id: str) -> None:
        """Remove a searcher at whose address another searcher replied.

        Guards against repeated requests to an address that was reassigned:
        the searcher that now runs there rejects each one, and each uses up the
        retry budget of a service that is not at fault. 152 requests for one
        dead searcher were seen in ten seconds.
        """
        searcher = self._searcher_by_id.get(searcher_id)
        if searcher is not None:
            self._misdirected.add(searcher.record.incarnation)
            self._remove(searcher_id)

    def is_listed(self, service: str) -> bool:
        """Tell whether a service has a searcher that is not leaving."""
        return any(
            not self._searcher_by_id[searcher_id].record.is_leaving
            for searcher_id in self._ids_by_service.get(service, ())
        )

    def candidates(self, service: str) -> _Candidates:
        """Return the searchers of a service that are not leaving.

        The list is cached until one of them changes: each shard request of a
        search reads it five times.
        """
        cached = self._candidates_by_service.get(service)
        if cached is None:
            cached = list(self._build_candidates(service))
            if cached:
                self._candidates_by_service[service] = cached
        return cached

    def states(self, now: float) -> Iterator[str]:
        """Yield the state of each searcher as its metrics label."""
        for searcher in self._searcher_by_id.values():
            yield searcher.state(now)

    def channel(self, searcher_id: str) -> peer_channel.PeerChannel:
        """Return the channel to a known searcher, with its limit updated."""
        searcher = self._searcher_by_id[searcher_id]
        searcher.channel.limit(self.shares.connections(searcher.record.service))
        return searcher.channel

    def reject_waiters(self, left_s: float) -> None:
        """Reject requests that wait for a connection and can't be served.

        Those are the ones whose reply is not expected within ``left_s``.
        """
        for searcher in self._searcher_by_id.values():
            searcher.channel.reject_waiters(left_s)

    async def is_reachable(self, searcher_id: str) -> bool:
        """Tell whether a searcher accepts connections; true if unknown."""
        searcher = self._searcher_by_id.get(searcher_id)
        return searcher is None or await searcher.channel.is_reachable()

    def _removal_delay_s(self) -> float:
        if self.replica is None:
            return _REMOVAL_DELAY_S
        return change_time.max_delay_s(
            _REMOVAL_DELAY_S,
            self.replica.age_s(self._loop.time()),
            self._leaving_bound_s,
            _REMOVAL_MARGIN_S,
        )

    def _build_candidates(
        self,
        service: str,
    ) -> Iterator[searcher_choice.Candidate]:
        region = self.region_by_data_centre.get(self.own_data_centre)
        for searcher_id in self._ids_by_service.get(service, ()):
            searcher = self._searcher_by_id[searcher_id]
            record = searcher.record
            if record.is_leaving:
                continue
            searcher_region = self.region_by_data_centre.get(record.data_centre)
            yield searcher.candidate(
                is_in_data_centre=record.data_centre == self.own_data_centre,
                is_in_region=searcher_region == region,
                is_last_choice=searcher_id in self._removal_by_id,
            )

    def _is_superseded(self, record: searcher_record.SearcherRecord) -> bool:
        """Tell whether a searcher that started later has the same address.

        Removes the searcher at that address if it did not start later.
        """
        current_id = self._id_by_address.get(record.address, record.searcher_id)
        searcher = self._searcher_by_id.get(current_id)
        if searcher is None or current_id == record.searcher_id:
            return False
        if searcher.record.born_ms > record.born_ms:
            return True
        self._remove(current_id)
        return False

    def _add(self, record: searcher_record.SearcherRecord) -> None:
        self._searcher_by_id[record.searcher_id] = (
            registered_searcher.RegisteredSearcher(
                record,
                peer_channel.PeerChannel(
                    registered_searcher.peer_endpoint_of(
                        record, self.reply_buffers
                    ),
                    self.shares.connections(record.service),
                    self._health_log,
                    self._usual_latency(record.service),
                ),
            )
        )
        self._id_by_address[record.address] = record.searcher_id
        self._telemetry.emit(
            events.SEARCHER_LEARNED,
            searcher=record.searcher_id,
            service=record.service,
            address=str(record.address),
            data_centre=record.data_centre,
            is_leaving=record.is_leaving,
            born_ms=record.born_ms,
        )
        service_ids = self._ids_by_service.setdefault(record.service, set())
        service_ids.add(record.searcher_id)
        self._update_data_centres(record.service)

    def _usual_latency(self, service: str) -> usual_latency.UsualLatency:
        return self._usual_latency_by_service.setdefault(
            service,
            usual_latency.UsualLatency(),
        )

    def _remove(self, searcher_id: str) -> None:
        self._cancel_removal(searcher_id)
        searcher = self._searcher_by_id.pop(searcher_id)
        searcher.channel.close()
        self._telemetry.emit(
            events.SEARCHER_GONE,
            searcher=searcher_id,
            service=searcher.record.service,
            in_flight=searcher.channel.health.in_flight,
        )
        self._id_by_address.pop(searcher.record.address)
        service = searcher.record.service
        self._ids_by_service[service].discard(searcher_id)
        self._update_data_centres(service)
        if not self._ids_by_service[service]:
            self._ids_by_service.pop(service)
            self._usual_latency_by_service.pop(service, None)

    def _update_data_centres(self, service: str) -> None:
        """Update the data centres of a service."""
        self._candidates_by_service.pop(service, None)
        data_centres = (
            self._searcher_by_id[searcher_id].record.data_centre
            for searcher_id in self._ids_by_service[service]
        )
        self.shares.set_data_centres(service, frozenset(data_centres))

    def _log_leaving(
        self,
        previous: searcher_record.SearcherRecord,
        record: searcher_record.SearcherRecord,
    ) -> None:
        if record.is_leaving and not previous.is_leaving:
            self._telemetry.emit(
                events.SEARCHER_LEAVING,
                searcher=record.searcher_id,
                service=record.service,
                sequence=record.sequence,
            )

    def _cancel_removal(self, searcher_id: str) -> None:
        removal = self._removal_by_id.pop(searcher_id, None)
        if removal is not None:
            removal.cancel()
