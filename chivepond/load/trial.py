"""Runs one scenario and measures it."""

import asyncio
import contextlib
import gc
import os
import time
from collections.abc import Iterator

from chivepond.load import (
    direct_callers,
    fault_schedule,
    generator,
    outcome,
    process_usage,
    recorder,
    scenario,
    standin_counts,
    trial_figures,
    trial_plan,
)
from chivepond.load import callers as load_callers
from chivepond.standins import embedded
from chivepond.transport import address

_MS_PER_S = 1000
_NOT_RUN_KINDS = frozenset(('not_run', 'shed', 'key_expired'))
_THIS_PROCESS = 'this process'


class Trial:
    """One run of one variant, on its own deployment."""

    __slots__ = (
        '_deployment',
        '_pid_by_name',
        '_plan',
        '_recorder',
        '_scenario',
        '_seed',
    )

    def __init__(
        self,
        plan: trial_plan.TrialPlan,
        seed: int,
        pids: list[int],
    ) -> None:
        """Measure this process and the processes ``pids``."""
        self._plan = plan
        self._scenario: scenario.Scenario = plan.scenario
        self._seed = seed
        self._pid_by_name = {str(pid): pid for pid in pids}
        self._pid_by_name[_THIS_PROCESS] = os.getpid()
        self._recorder = recorder.Recorder(
            self._scenario.seconds,
            self._scenario.warm_up_s,
        )
        self._deployment: embedded.EmbeddedDeployment | None = None

    async def run(self) -> trial_figures.TrialFigures:
        """Start the deployment, apply the load and return the figures."""
        async with contextlib.AsyncExitStack() as stack:
            if not self._scenario.addresses:
                self._deployment = await stack.enter_async_context(
                    embedded.EmbeddedDeployment(self._scenario.deployment),
                )
            callers = await stack.enter_async_context(self._callers())
            stack.enter_context(_frozen_heap())
            return await self._apply_load(callers)

    def _callers(
        self,
    ) -> load_callers.Callers | direct_callers.DirectCallers:
        if self._deployment is None:
            targets = [
                address.parse(text).unwrap()
                for text in self._scenario.addresses
            ]
            return load_callers.Callers(targets, self._scenario.timeout_s)
        if self._scenario.route == 'direct':
            return direct_callers.DirectCallers(self._deployment)
        return load_callers.Callers(
            [
                self._deployment.caller_address(node_id)
                for node_id in self._deployment.node_by_id
            ],
            self._scenario.timeout_s,
        )

    async def _apply_load(
        self,
        callers: load_callers.Callers,
    ) -> trial_figures.TrialFigures:
        started_at = time.monotonic()
        before = standin_counts.StandinCounts.read(self._deployment)
        usage_before = self._usage()
        faults = asyncio.create_task(self._run_faults(callers))
        await generator.Generator(
            self._scenario,
            callers,
            self._recorder,
            self._seed,
        ).run()
        faults.cancel()
        elapsed_s = time.monotonic() - started_at
        return self._build_figures(before, usage_before, elapsed_s)

    async def _run_faults(self, callers: load_callers.Callers) -> None:
        if self._deployment is not None and self._scenario.faults:
            await fault_schedule.FaultSchedule(
                self._deployment,
                callers,
                self._scenario.balancer_lag_s,
            ).run(self._scenario.faults)

    def _usage(self) -> dict[str, process_usage.ProcessUsage]:
        return {
            name: process_usage.ProcessUsage.read(pid)
            for name, pid in self._pid_by_name.items()
        }

    def _build_figures(
        self,
        before: standin_counts.StandinCounts,
        usage_before: dict[str, process_usage.ProcessUsage],
        elapsed_s: float,
    ) -> trial_figures.TrialFigures:
        after = standin_counts.StandinCounts.read(self._deployment)
        usage_after = self._usage()
        cpu_s = (
            usage_after[_THIS_PROCESS].cpu_s - usage_before[_THIS_PROCESS].cpu_s
        )
        sub_query_count = after.sub_queries - before.sub_queries
        searches = max(1, len(self._recorder.outcomes))
        return trial_figures.TrialFigures(
            variant=self._plan.name,
            streams={
                config.name: self._recorder.figures(config.name)
                for config in self._scenario.streams
            },
            lag_p99_ms=self._recorder.lag_p99_ms(),
            cpu=cpu_s / elapsed_s,
            cpu_ms_per_sub_query=cpu_s * _MS_PER_S / max(1, sub_query_count),
            memory_mb=usage_after[_THIS_PROCESS].memory_mb,
            sub_queries_per_s=sub_query_count / elapsed_s,
            extra_load=self._extra_load(sub_query_count),
            shed_per_search=(after.shed - before.shed) / searches,
            platform_calls_per_s=(
                (after.platform_calls - before.platform_calls) / elapsed_s
            ),
            doubled=sum(runs > 1 for runs in after.runs_by_key.values()),
            lost=self._count_lost(after.runs_by_key),
            cpu_by_process={
                name: (usage.cpu_s - usage_before[name].cpu_s) / elapsed_s
                for name, usage in usage_after.items()
            },
            memory_mb_by_process={
                name: usage.memory_mb for name, usage in usage_after.items()
            },
        )

    def _extra_load(self, sub_query_count: int) -> float:
        expected = self._recorder.expected_sub_queries()
        return (
            sub_query_count / expected - 1
            if sub_query_count and expected
            else 0
        )

    def _count_lost(self, runs_by_key: dict[str, int]) -> int:
        if self._deployment is None:
            return 0
        commands = [
            command for command in self._recorder.outcomes if command.key
        ]
        missing_runs = sum(
            command.kind == outcome.ANSWERED and command.key not in runs_by_key
            for command in commands
        )
        unexpected_runs = sum(
            command.kind in _NOT_RUN_KINDS and command.key in runs_by_key
            for command in commands
        )
        return missing_runs + unexpected_runs


@contextlib.contextmanager
def _frozen_heap() -> Iterator[None]:
    """Exclude the objects of the deployment from garbage collection.

    Otherwise a full collection walks the objects of every stand-in and node
    in this process, far more than a single host has. Its pauses show as
    generator lag and as latencies of 60 to 80 ms.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
