"""Admission control of one node: accepts or rejects each request at once."""

import random

from chivepond.decisions import admission, admission_limit, come_back
from chivepond.errors import quoting, shed
from chivepond.settings import search_service
from chivepond.wire import command_request, search_request

_COMMAND_CLASS = 'command'
_COMMAND_SHARE = 1
_MAX_CONCURRENT_COMMANDS = 256


class _ServiceGate:
    """Admission state and retry backoff of one service."""

    __slots__ = ('admission', 'backoff', 'limit')

    def __init__(
        self,
        rng: random.Random,
        limit: admission_limit.AdmissionLimit,
    ) -> None:
        self.limit = limit
        self.admission = admission.Admission(limit)
        self.backoff = come_back.ComeBack(rng)


class AdmissionGate:
    """Applies a separate admission limit to each service of the node.

    Separate limits keep an overload of one service from rejecting searches
    of another whose searchers are idle. Commands share one limit of fixed
    size: a slow platform lengthens them, and their duration says nothing
    about the load of the searchers.
    """

    __slots__ = ('_commands', '_gate_by_service', '_random')

    def __init__(self, rng: random.Random) -> None:
        """Start with no request in flight; ``rng`` draws retry delays."""
        self._random = rng
        self._commands = _ServiceGate(
            rng,
            admission_limit.AdmissionLimit(_MAX_CONCURRENT_COMMANDS),
        )
        self._gate_by_service: dict[str, _ServiceGate] = {}

    def enter(
        self,
        request: search_request.SearchRequest,
        service: search_service.SearchService,
    ) -> shed.Shed | None:
        """Admit a search, or return the error that rejects it.

        Returns None for an admitted search; the caller must then call
        ``leave`` exactly once, however the search ends.
        """
        gate = self._gate_by_service.get(request.service)
        if gate is None:
            gate = _ServiceGate(
                self._random,
                admission_limit.AdmissionLimit(),
            )
            self._gate_by_service[request.service] = gate
        share = _weight_share(request.request_class, service)
        if gate.admission.admit(request.caller, request.request_class, share):
            gate.backoff.admitted()
            return None
        gate.limit.refused()
        wait_ms = gate.backoff.refused_ms()
        return shed.Shed(
            message=f'{quoting.quoted(request.caller)} exceeds its share of'
            ' the admission limit',
            remedy=f'the search was not run; retry it in {wait_ms} ms',
            retry_after_ms=wait_ms,
        )

    def leave(
        self,
        request: search_request.SearchRequest,
        waited_share: float | None,
    ) -> None:
        """Release the slot of an admitted search.

        ``waited_share`` is the share (0 to 1) of the search's shards whose
        work queued for long; it adjusts the limit of the service. None
        leaves the limit unchanged.
        """
        gate = self._gate_by_service[request.service]
        if waited_share is not None:
            gate.limit.finished(waited_share, gate.admission.in_flight)
        gate.admission.release(request.caller, request.request_class)

    def admit_command(
        self,
        request: command_request.CommandRequest,
    ) -> shed.Shed | None:
        """Admit a command, or return the error that rejects it.

        Commands weigh as much as the heaviest class of searches, because a
        person waits for each of them. Returns None for an admitted command;
        the caller must then call ``release_command`` exactly once.
        """
        caller = request.caller
        gate = self._commands
        if gate.admission.admit(caller, _COMMAND_CLASS, _COMMAND_SHARE):
            gate.backoff.admitted()
            return None
        wait_ms = gate.backoff.refused_ms()
        return shed.Shed(
            message=f'{quoting.quoted(caller)} exceeds its share of the'
            ' admission limit',
            remedy=f'retry the command with the same key in {wait_ms} ms',
            retry_after_ms=wait_ms,
        )

    def release_command(self, request: command_request.CommandRequest) -> None:
        """Release the slot of an admitted command."""
        self._commands.admission.release(request.caller, _COMMAND_CLASS)


def _weight_share(
    request_class: str,
    service: search_service.SearchService,
) -> float:
    """Return the weight of a class over the heaviest weight, 0 to 1.

    An unknown class gets the lowest weight of the service.
    """
    weights = service.weight_by_class
    if not weights:
        return 1
    weight = weights.get(request_class, min(weights.values()))
    return weight / max(weights.values())
