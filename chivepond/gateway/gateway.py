"""One gateway, from its start to the end of its planned stop."""

import asyncio
import contextlib
import types
from typing import Self

import result

from chivepond.decisions import second_send_budget
from chivepond.gateway import (
    answer,
    budgets,
    caller_connection,
    caller_request,
    kind_reader,
    listener,
    requests_way,
    routing_table,
    searchers,
    service_ask,
    stragglers,
)
from chivepond.platform import configuration_codec, searcher_codec, store_calls
from chivepond.settings import gateway_settings
from chivepond.transport import address

_OK = 200
_UNAVAILABLE = 503
#: How many gateways share the caps while it is not known how many there are.
_ASSUMED_GATEWAYS = 10
#: How long after the signal new connections still come, in seconds: the
#: balancer asks once a second, and two answers in a row take a gateway out.
_BALANCER_LAG_S = 3.0
#: What is kept of the grace for the end of the process, in seconds.
_END_S = 0.5
_POLL_S = 0.05


class Gateway:
    """Reads the store, serves callers, and stops without cutting any."""

    __slots__ = (
        '_front',
        '_has_searchers',
        '_is_stopping',
        '_open',
        '_readers',
        '_readiness',
        '_searchers',
        '_settings',
        '_tools',
        '_way',
    )

    def __init__(self, settings: gateway_settings.GatewaySettings) -> None:
        """Start nothing yet."""
        self._settings = settings
        self._open = contextlib.AsyncExitStack()
        self._is_stopping = False
        self._has_searchers = False
        self._searchers = searchers.Searchers(
            settings.data_centre,
            settings.region_by_data_centre,
        )
        self._tools = service_ask.AskTools(
            searchers=self._searchers,
            budgets=budgets.Budgets(
                second_send_budget.BudgetLimits(
                    share=settings.second_send_share,
                    burst=settings.second_send_burst,
                    span_s=settings.second_send_span_s,
                ),
                _ASSUMED_GATEWAYS,
            ),
            stragglers=stragglers.Stragglers(),
        )
        self._way = requests_way.RequestsWay(self._tools)
        self._front = self._listener(settings.callers, self._way.serve)
        self._readiness = self._listener(settings.readiness, self._tell_ready)
        self._readers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Listen, and begin to read the store."""
        self._open.enter_context(self._searchers)
        self._open.enter_context(self._tools.stragglers)
        await self._open.enter_async_context(self._front)
        await self._open.enter_async_context(self._readiness)
        store = address.parse(self._settings.store).unwrap()
        self._readers = [
            asyncio.create_task(reader.run())
            for reader in (
                kind_reader.KindReader(
                    store_calls.SEARCHERS,
                    store,
                    self._take_searchers,
                    self._take_searcher_change,
                ),
                kind_reader.KindReader(
                    store_calls.CONFIGURATION,
                    store,
                    self._take_configurations,
                    self._take_configuration_change,
                ),
            )
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End what is left."""
        for reader in self._readers:
            reader.cancel()
        await self._open.aclose()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer shall send callers here."""
        is_informed = self._way.table is not None and self._has_searchers
        return is_informed and not self._is_stopping

    async def stop(self) -> None:
        """Stop as planned: no request that was read is cut.

        Answers carry the notice that their connection ends. Idle connections
        close when the balancer sends no more, at the latest when the grace
        is nearly over.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._is_stopping = True
        await asyncio.sleep(_BALANCER_LAG_S)
        self._front.stop_listening()
        self._front.close_idle()
        ends_at = began + self._settings.stop_grace_s - _END_S
        while self._front.connections and loop.time() < ends_at:
            self._front.close_idle()
            await asyncio.sleep(_POLL_S)

    def _listener(
        self, place: str, serve: caller_connection.Serve
    ) -> listener.Listener:
        return listener.Listener(
            address.parse(place).unwrap(),
            caller_connection.Service(
                serve=serve,
                limits=self._limits,
                is_stopping=self._tell_stopping,
            ),
        )

    def _limits(self) -> routing_table.CallerLimits:
        table = self._way.table
        if table is None:
            return routing_table.DEFAULT_LIMITS
        return table.limits

    def _tell_stopping(self) -> bool:
        return self._is_stopping

    async def _tell_ready(
        self,
        request: caller_request.CallerRequest,
    ) -> answer.Answer:
        if self.is_ready:
            return answer.Answer(_OK, [], b'ready\n')
        return answer.refusal(_UNAVAILABLE, 'not ready')

    def _take_searchers(self, found: list[store_calls.StoredObject]) -> None:
        records = {}
        for stored in found:
            match searcher_codec.decode(stored.meta.name, stored.spec):
                case result.Ok(record):
                    records[record.searcher_id] = record
        self._searchers.replace(records)
        self._has_searchers = True

    def _take_searcher_change(self, change: store_calls.Change) -> None:
        name = change.object.meta.name
        decoded = searcher_codec.decode(name, change.object.spec)
        match decoded:
            case result.Ok(record) if not change.deleted:
                self._searchers.put(record)
            case _:
                self._searchers.vanish(name)

    def _take_configurations(
        self,
        found: list[store_calls.StoredObject],
    ) -> None:
        for stored in found:
            self._take_configuration(stored)

    def _take_configuration_change(self, change: store_calls.Change) -> None:
        if not change.deleted:
            self._take_configuration(change.object)

    def _take_configuration(self, stored: store_calls.StoredObject) -> None:
        if stored.meta.name != store_calls.CONFIGURATION_NAME:
            return
        match configuration_codec.decode(stored.spec):
            case result.Ok(table):
                self._way.put_in_force(table)
                self._searchers.share_caps(
                    table.connection_cap_by_service,
                    _ASSUMED_GATEWAYS,
                )
