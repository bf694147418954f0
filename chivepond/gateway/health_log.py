"""Logs when the remote end of a channel is ejected, and when it recovers."""

from chivepond.gateway import telemetry
from chivepond.observe import event, events


class HealthLog:
    """Emits an event when an exchange changes whether a name is ejected."""

    __slots__ = (
        '_distrusted',
        '_distrusted_event',
        '_kind',
        '_telemetry',
        '_trusted_event',
    )

    def __init__(
        self,
        gateway_telemetry: telemetry.Telemetry,
        kind: str,
        distrusted_event: event.Event,
        trusted_event: event.Event,
    ) -> None:
        """Emit the given events; ``kind`` labels the metrics."""
        self._telemetry = gateway_telemetry
        self._kind = kind
        self._distrusted_event = distrusted_event
        self._trusted_event = trusted_event
        self._distrusted: set[str] = set()

    def update(self, name: str, reason: str, *, is_ejected: bool) -> None:
        """Emit an event if ``is_ejected`` has changed for ``name``.

        ``reason`` says how the last exchange ended.
        """
        if is_ejected == (name in self._distrusted):
            return
        if is_ejected:
            self._distrusted.add(name)
            self._telemetry.emit(self._distrusted_event, name=name, why=reason)
        else:
            self._distrusted.discard(name)
            self._telemetry.emit(self._trusted_event, name=name)

    def record_aborted(self, name: str, reason: str) -> None:
        """Emit an event for a reply that was aborted, and count it."""
        self._telemetry.count('replies_aborted', self._kind)
        self._telemetry.emit(events.REPLY_ABORTED, name=name, why=reason)

    def forget(self, name: str) -> None:
        """Drop the state of a name that is no longer registered."""
        self._distrusted.discard(name)

    def record_wait(self, wait_s: float) -> None:
        """Record the seconds that a request waited for a connection."""
        self._telemetry.record_connection_wait(self._kind, wait_s)


def of_searchers(gateway_telemetry: telemetry.Telemetry) -> HealthLog:
    """Return the health log of searchers."""
    return HealthLog(
        gateway_telemetry,
        'searcher',
        events.SEARCHER_DISTRUSTED,
        events.SEARCHER_TRUSTED,
    )


def of_peers(gateway_telemetry: telemetry.Telemetry) -> HealthLog:
    """Return the health log of other gateways."""
    return HealthLog(
        gateway_telemetry, 'gateway', events.PEER_LOST, events.PEER_FOUND
    )
