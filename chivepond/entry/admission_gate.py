"""The gate of one node: lets requests in, or turns them away at once."""

import asyncio
import random

from chivepond.decisions import admission, admission_limit, come_back
from chivepond.errors import quoting, shed
from chivepond.settings import search_service
from chivepond.wire import (
    command_request,
    search_answer,
    search_request,
    shard_outcome,
)

_COMMAND = 'command'
_COMMAND_SHARE = 1


class AdmissionGate:
    """Keeps one admission for all services of the node."""

    __slots__ = ('_admission', '_come_back', '_in_flight', '_limit')

    def __init__(self, rng: random.Random) -> None:
        """Start with nothing in flight."""
        self._limit = admission_limit.AdmissionLimit()
        self._admission = admission.Admission(self._limit)
        self._come_back = come_back.ComeBack(rng)
        self._in_flight = 0

    def enter(
        self,
        request: search_request.SearchRequest,
        service: search_service.SearchService,
    ) -> shed.Shed | None:
        """Take a place for a search, or return its refusal.

        Who got no refusal calls ``leave`` once, however the search ends.
        """
        share = _share(request.request_class, service)
        if self._admission.admit(request.caller, request.request_class, share):
            self._in_flight += 1
            self._come_back.admitted()
            return None
        wait_ms = self._come_back.refused_ms()
        return shed.Shed(
            message=f'{quoting.quoted(request.caller)} is over its share',
            remedy=f'not run; send it again in {wait_ms} ms',
            retry_after_ms=wait_ms,
        )

    def leave(
        self,
        request: search_request.SearchRequest,
        answer: search_answer.SearchAnswer | None,
    ) -> None:
        """Give the place back, and learn from the answer if there is one."""
        if answer is not None:
            self._limit.finished(
                _shed_share(answer),
                self._in_flight,
                asyncio.get_running_loop().time(),
            )
        self._in_flight -= 1
        self._admission.release(request.caller, request.request_class)

    def enter_command(
        self,
        request: command_request.CommandRequest,
    ) -> shed.Shed | None:
        """Take a place for a command, or return its refusal.

        Commands weigh as much as the heaviest class of searches: a guest
        stands at the desk for each. Who got no refusal calls
        ``leave_command`` once.
        """
        caller = request.caller
        if self._admission.admit(caller, _COMMAND, _COMMAND_SHARE):
            self._in_flight += 1
            self._come_back.admitted()
            return None
        wait_ms = self._come_back.refused_ms()
        return shed.Shed(
            message=f'{quoting.quoted(caller)} is over its share',
            remedy=f'not run; send it again, same key, in {wait_ms} ms',
            retry_after_ms=wait_ms,
        )

    def leave_command(self, request: command_request.CommandRequest) -> None:
        """Give the place of a command back."""
        self._in_flight -= 1
        self._admission.release(request.caller, _COMMAND)


def _share(
    request_class: str,
    service: search_service.SearchService,
) -> float:
    """Return the weight over the heaviest; unknown classes are lightest."""
    weights = service.weight_by_class
    if not weights:
        return 1
    weight = weights.get(request_class, min(weights.values()))
    return weight / max(weights.values())


def _shed_share(answer: search_answer.SearchAnswer) -> float:
    coverage = answer.coverage
    lost = [one for one in coverage.missing if one.reason == shard_outcome.SHED]
    return len(lost) / max(1, coverage.total)
