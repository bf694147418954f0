"""Runs one scenario once."""

import asyncio
import contextlib
import gc
import os
import time
from collections.abc import Iterator

from chivepond.load import (
    bench_counts,
    direct_callers,
    generator,
    outcome,
    process_usage,
    recorder,
    scenario,
    timetable,
    trial_figures,
    trial_plan,
)
from chivepond.load import callers as load_callers
from chivepond.standins import embedded
from chivepond.transport import address

_MS_PER_S = 1000
_NOT_RUN_KINDS = frozenset(('not_run', 'shed', 'key_expired'))
_OWN = 'this process'


class Trial:
    """One run of one variant, on a bench of its own."""

    __slots__ = ('_deployed', '_pids', '_plan', '_recorder', '_seed', '_told')

    def __init__(
        self,
        plan: trial_plan.TrialPlan,
        seed: int,
        pids: list[int],
    ) -> None:
        """Count the processes ``pids`` besides this one."""
        self._plan = plan
        self._told: scenario.Scenario = plan.scenario
        self._seed = seed
        self._pids = {str(pid): pid for pid in pids}
        self._pids[_OWN] = os.getpid()
        self._recorder = recorder.Recorder(
            self._told.seconds,
            self._told.warm_up_s,
        )
        self._deployed: embedded.EmbeddedDeployment | None = None

    async def run(self) -> trial_figures.TrialFigures:
        """Set the bench up, load it, and return what was seen."""
        async with contextlib.AsyncExitStack() as stack:
            if not self._told.addresses:
                self._deployed = await stack.enter_async_context(
                    embedded.EmbeddedDeployment(self._told.deployment),
                )
            callers = await stack.enter_async_context(self._callers())
            stack.enter_context(_frozen_heap())
            return await self._load(callers)

    def _callers(
        self,
    ) -> load_callers.Callers | direct_callers.DirectCallers:
        if self._deployed is None:
            targets = [
                address.parse(text).unwrap() for text in self._told.addresses
            ]
            return load_callers.Callers(targets, self._told.timeout_s)
        if self._told.route == 'direct':
            return direct_callers.DirectCallers(self._deployed)
        return load_callers.Callers(
            [
                self._deployed.caller_address(node_id)
                for node_id in self._deployed.node_by_id
            ],
            self._told.timeout_s,
        )

    async def _load(
        self,
        callers: load_callers.Callers,
    ) -> trial_figures.TrialFigures:
        started_at = time.monotonic()
        before = bench_counts.BenchCounts.of(self._deployed)
        used = self._usage()
        faults = asyncio.create_task(self._play_faults(callers))
        await generator.Generator(
            self._told,
            callers,
            self._recorder,
            self._seed,
        ).run()
        faults.cancel()
        took_s = time.monotonic() - started_at
        return self._figures(before, used, took_s)

    async def _play_faults(self, callers: load_callers.Callers) -> None:
        if self._deployed is not None and self._told.faults:
            await timetable.Timetable(
                self._deployed,
                callers,
                self._told.balancer_lag_s,
            ).run(self._told.faults)

    def _usage(self) -> dict[str, process_usage.ProcessUsage]:
        return {
            name: process_usage.ProcessUsage.of(pid)
            for name, pid in self._pids.items()
        }

    def _figures(
        self,
        before: bench_counts.BenchCounts,
        used: dict[str, process_usage.ProcessUsage],
        took_s: float,
    ) -> trial_figures.TrialFigures:
        after = bench_counts.BenchCounts.of(self._deployed)
        now = self._usage()
        cpu_s = now[_OWN].cpu_s - used[_OWN].cpu_s
        begun = after.sub_queries - before.sub_queries
        searches = max(1, len(self._recorder.outcomes))
        return trial_figures.TrialFigures(
            variant=self._plan.name,
            streams={
                one.name: self._recorder.figures(one.name)
                for one in self._told.streams
            },
            lag_p99_ms=self._recorder.lag_p99_ms(),
            cpu=cpu_s / took_s,
            cpu_ms_per_sub_query=cpu_s * _MS_PER_S / max(1, begun),
            memory_mb=now[_OWN].memory_mb,
            sub_queries_per_s=begun / took_s,
            extra_load=self._extra_load(begun),
            shed_per_search=(after.shed - before.shed) / searches,
            platform_calls_per_s=(
                (after.platform_calls - before.platform_calls) / took_s
            ),
            doubled=sum(runs > 1 for runs in after.runs_by_key.values()),
            lost=self._lost(after.runs_by_key),
            cpu_by_process={
                name: (usage.cpu_s - used[name].cpu_s) / took_s
                for name, usage in now.items()
            },
            memory_mb_by_process={
                name: usage.memory_mb for name, usage in now.items()
            },
        )

    def _extra_load(self, begun: int) -> float:
        needed = self._recorder.needed()
        return begun / needed - 1 if begun and needed else 0

    def _lost(self, runs_by_key: dict[str, int]) -> int:
        if self._deployed is None:
            return 0
        commands = [one for one in self._recorder.outcomes if one.key]
        never_ran = sum(
            one.kind == outcome.ANSWERED and one.key not in runs_by_key
            for one in commands
        )
        ran_after_all = sum(
            one.kind in _NOT_RUN_KINDS and one.key in runs_by_key
            for one in commands
        )
        return never_ran + ran_after_all


@contextlib.contextmanager
def _frozen_heap() -> Iterator[None]:
    """Keep the bench itself out of the garbage collector's full passes.

    Guards against pauses that show as a late generator and as latencies of
    60 to 80 ms: a full pass walks the objects of every stand-in and node of
    the process, of which no single host would have that many.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
