"""Sends requests when they are due, whatever became of earlier ones."""

import asyncio
import random

import result

from chivepond.load import arrival, arrivals, outcome, recorder, scenario
from chivepond.load import callers as load_callers

_MS_PER_S = 1000
_ENTRIES = 5040


class Generator:
    """Open-loop load: latency counts from the time a request was due.

    Guards against coordinated omission: a stalled system would otherwise
    hold its own load back, and the requests that it kept waiting would not
    be counted. Here they are due all the same.
    """

    __slots__ = ('_callers', '_recorder', '_rng', '_started_at', '_told')

    def __init__(
        self,
        told: scenario.Scenario,
        callers: load_callers.Callers,
        record: recorder.Recorder,
        seed: int,
    ) -> None:
        """Send the streams of a scenario; a seed gives the same arrivals."""
        self._told = told
        self._callers = callers
        self._recorder = record
        self._rng = random.Random(seed)
        self._started_at = float(0)

    async def run(self) -> None:
        """Send all that is due, and wait for the last outcome."""
        self._started_at = _now()
        async with asyncio.TaskGroup() as group:
            for due in self.schedule():
                await asyncio.sleep(max(0, due.due_s - self._elapsed_s()))
                late_s = self._elapsed_s() - due.due_s
                self._recorder.sent(due.due_s, late_s)
                group.create_task(self._send(due))

    def schedule(self) -> list[arrival.Arrival]:
        """Return all arrivals of the trial, in order."""
        due = [
            arrival.Arrival(
                due_s=due_s,
                stream=one,
                caller=f'{one.name}-{self._rng.randrange(one.callers)}',
                entry=self._rng.randrange(_ENTRIES),
            )
            for one in self._told.streams
            for due_s in arrivals.times(one, self._told.seconds, self._rng)
        ]
        return sorted(due, key=lambda one: one.due_s)

    def _elapsed_s(self) -> float:
        return _now() - self._started_at

    async def _send(self, due: arrival.Arrival) -> None:
        delay_s = due.stream.delay_ms / _MS_PER_S
        await asyncio.sleep(delay_s)
        if due.stream.sends == 'commands':
            ended = await self._command(due)
        else:
            ended = await self._search(due)
        await asyncio.sleep(delay_s)
        ended.took_s = self._elapsed_s() - due.due_s
        self._recorder.ended(ended)

    async def _search(self, due: arrival.Arrival) -> outcome.Outcome:
        answer = await self._callers.search(due)
        ended = outcome.Outcome(due.stream.name, due.due_s)
        match answer:
            case result.Ok(given):
                ended.total = given.coverage.total
                ended.covered = given.coverage.covered
            case _:
                ended.kind = answer.unwrap_err().kind
        return ended

    async def _command(self, due: arrival.Arrival) -> outcome.Outcome:
        ended = outcome.Outcome(due.stream.name, due.due_s)
        ended.key = self._callers.fresh_key()
        answer = await self._callers.command(due, ended.key)
        match answer:
            case result.Ok(given):
                is_done = given.outcome == 'done'
                ended.kind = outcome.ANSWERED if is_done else given.outcome
            case _:
                ended.kind = answer.unwrap_err().kind
        return ended


def _now() -> float:
    return asyncio.get_running_loop().time()
