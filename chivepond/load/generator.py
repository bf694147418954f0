"""Sends requests on schedule, independently of earlier responses."""

import asyncio
import random

import result

from chivepond.load import arrival, arrival_times, outcome, recorder, scenario
from chivepond.load import callers as load_callers

_MS_PER_S = 1000
# Divisible by every number of entry hosts from 1 to 10.
_ENTRY_NUMBERS = 5040


class Generator:
    """Open-loop load generator; latency is measured from the due time.

    This avoids coordinated omission: in a closed loop a stalled system
    slows down its own load, and the requests that would have waited are
    never sent or measured. Here they are sent on schedule.
    """

    __slots__ = ('_callers', '_recorder', '_rng', '_scenario', '_started_at')

    def __init__(
        self,
        trial_scenario: scenario.Scenario,
        callers: load_callers.Callers,
        trial_recorder: recorder.Recorder,
        seed: int,
    ) -> None:
        """Send the streams of a scenario; a seed determines all arrivals."""
        self._scenario = trial_scenario
        self._callers = callers
        self._recorder = trial_recorder
        self._rng = random.Random(seed)
        self._started_at = float(0)

    async def run(self) -> None:
        """Send all requests on schedule and wait for the last outcome."""
        self._started_at = _now()
        async with asyncio.TaskGroup() as group:
            for planned in self.schedule():
                await asyncio.sleep(max(0, planned.due_s - self._elapsed_s()))
                lag_s = self._elapsed_s() - planned.due_s
                self._recorder.record_lag(planned.due_s, lag_s)
                group.create_task(self._send(planned))

    def schedule(self) -> list[arrival.Arrival]:
        """Return all arrivals of the trial, ordered by due time."""
        scheduled = [
            arrival.Arrival(
                due_s=due_s,
                stream=config,
                caller=f'{config.name}-{self._rng.randrange(config.callers)}',
                entry_number=self._rng.randrange(_ENTRY_NUMBERS),
            )
            for config in self._scenario.streams
            for due_s in arrival_times.times(
                config, self._scenario.seconds, self._rng
            )
        ]
        return sorted(scheduled, key=lambda planned: planned.due_s)

    def _elapsed_s(self) -> float:
        return _now() - self._started_at

    async def _send(self, planned: arrival.Arrival) -> None:
        delay_s = planned.stream.delay_ms / _MS_PER_S
        await asyncio.sleep(delay_s)
        if planned.stream.sends == 'commands':
            request_outcome = await self._command(planned)
        else:
            request_outcome = await self._search(planned)
        await asyncio.sleep(delay_s)
        request_outcome.took_s = self._elapsed_s() - planned.due_s
        self._recorder.record_outcome(request_outcome)

    async def _search(self, planned: arrival.Arrival) -> outcome.Outcome:
        response = await self._callers.search(planned)
        request_outcome = outcome.Outcome(planned.stream.name, planned.due_s)
        match response:
            case result.Ok(answer):
                request_outcome.total = answer.coverage.total
                request_outcome.covered = answer.coverage.covered
            case _:
                request_outcome.kind = response.unwrap_err().kind
        return request_outcome

    async def _command(self, planned: arrival.Arrival) -> outcome.Outcome:
        request_outcome = outcome.Outcome(planned.stream.name, planned.due_s)
        request_outcome.key = self._callers.new_key()
        response = await self._callers.command(planned, request_outcome.key)
        match response:
            case result.Ok(answer):
                is_done = answer.outcome == 'done'
                request_outcome.kind = (
                    outcome.ANSWERED if is_done else answer.outcome
                )
            case _:
                request_outcome.kind = response.unwrap_err().kind
        return request_outcome


def _now() -> float:
    return asyncio.get_running_loop().time()
