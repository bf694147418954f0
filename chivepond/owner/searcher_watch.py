"""Fires the state transitions of the searchers of one owner."""

import random

from chivepond.control import directory
from chivepond.decisions import ejection, slow_start
from chivepond.owner import searcher_queue, searcher_state
from chivepond.transport import exchange
from chivepond.wire import searcher_health

_PROBE_INTERVAL_S = 5
_PROBE_TIMEOUT_S = 0.2
_SERVING_CONFIRM_S = 30


class SearcherWatch:
    """Ejects failing searchers by service, and probes draining ones."""

    __slots__ = ('_directory', '_ejection_by_service', '_random')

    def __init__(
        self,
        hosts: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Use the host directory of this node."""
        self._directory = hosts
        self._random = rng
        self._ejection_by_service: dict[str, ejection.Ejection] = {}

    def observe(
        self,
        service: str,
        searcher_id: str,
        has_failed: bool,
    ) -> None:
        """Count one sub-query of a searcher as succeeded or failed."""
        service_ejection = self._ejection_by_service.get(service)
        if service_ejection is None:
            service_ejection = ejection.Ejection(self._random)
            self._ejection_by_service[service] = service_ejection
        service_ejection.observe(searcher_id, has_failed)

    async def update_states(
        self,
        queues: list[searcher_queue.SearcherQueue],
        now: float,
    ) -> None:
        """Fire due transitions, probe, and close idle connections."""
        listed = self._directory.view.searcher_by_id
        ejected_ids: set[str] = set()
        for service_ejection in self._ejection_by_service.values():
            ejected_ids |= service_ejection.look(now)
        for queue in queues:
            searcher_id = queue.host.host_id
            if searcher_id in listed:
                _update_state(queue.state, searcher_id in ejected_ids, now)
            else:
                self._mark_gone(queue)
            await _probe(queue, now)
            await queue.close_idle_connections(now)

    def _mark_gone(self, queue: searcher_queue.SearcherQueue) -> None:
        if queue.state.state != searcher_state.GONE:
            queue.state.leave()
            service_ejection = self._ejection_by_service.get(queue.host.service)
            if service_ejection is not None:
                service_ejection.forget(queue.host.host_id)


def _update_state(
    state: searcher_state.SearcherState,
    is_ejected: bool,
    now: float,
) -> None:
    """Fire the trigger for a listed searcher if its state changes."""
    match state.state:
        case searcher_state.COLD | searcher_state.READY if is_ejected:
            state.eject()
        case searcher_state.EJECTED if not is_ejected:
            state.restart(now)
        case searcher_state.GONE:
            state.restart(now)
        case searcher_state.COLD if slow_start.is_warm(
            state.warm_up_started_at, now
        ):
            state.warmed()


async def _probe(queue: searcher_queue.SearcherQueue, now: float) -> None:
    """Check whether a searcher that reported a drain serves again.

    A searcher that cancels its drain gets no work, so no reply would report
    it, and the replica would be lost for good. The health endpoint lags: it
    is trusted only after it has reported service for 30 seconds while the
    platform lists the searcher as live. One that really leaves is gone by
    then.
    """
    state = queue.state
    is_draining = state.state == searcher_state.DRAINING
    if not is_draining or queue.host.state != 'live':
        return
    if now - state.probed_at < _PROBE_INTERVAL_S:
        return
    state.probed_at = now
    health = await exchange.get(
        searcher_health.SearcherHealth,
        queue.command_client,
        '/v1/health',
        _PROBE_TIMEOUT_S,
    )
    if not _is_serving(health.unwrap_or(None)):
        state.serving_since = now
    elif now - state.serving_since >= _SERVING_CONFIRM_S:
        state.restart(now)


def _is_serving(health: searcher_health.SearcherHealth | None) -> bool:
    return health is not None and health.state != 'draining'
