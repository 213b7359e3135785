"""Workers that cannot be reached for some seconds, and come back with the same id.

Their runs lose their leases meanwhile, and their registrations are removed. As long as
a worker has not restarted, none of this is a crash.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field

from tests.soak.clients import JobClients
from tests.soak.faults import FaultTargets
from tests.soak.proxy import ProxyMode
from tests.soak.workers import Run, register_worker

INTERVAL_RANGE_S = (2.0, 5.0)
"""Shortest and longest time between the starts of two absences, in seconds."""

DURATION_RANGE_S = (7.0, 9.0)
"""Shortest and longest time for which a worker cannot be reached, in seconds."""

REMOVAL_DELAY_S = 4.5
"""Seconds of silence after which the registration is removed: three heartbeats."""

MAX_RETURN_DELAY_S = 2.0
"""Longest time from the end of an absence to the registration, in seconds."""

PROMPT_RETURN_PROBABILITY = 0.3
"""Probability that the registration is back when the absence ends."""

RESTART_PROBABILITY = 0.15
"""Probability that the worker crashes and restarts during its absence."""

RESTART_DURATION_S = 0.8
"""Seconds from the crash of an absent worker to its next incarnation."""

MAX_ABSENT_SHARE = 0.4
"""Share of the workers that may be absent for another one to be cut off as well.

An absence that follows the start of a run is not limited.
"""

MAX_WORKERS_AT_ONCE = 3
ABSENCE_MODES = (
    ProxyMode.REFUSE,
    ProxyMode.SILENT,
    ProxyMode.DROP_CALLS,
    ProxyMode.DROP_ANSWERS,
)
MAX_SPREAD_S = 0.7
"""Longest time between two absences that are spread out, in seconds."""

MAX_AGE_S = 0.3
"""Longest time from the start of a run to an absence that follows it, in seconds."""

FOLLOWED_RUNS = 5
"""Number of runs of one lasting task of which each is followed by an absence."""

START_TIMEOUT_S = 12.0
"""Seconds in which a task must start a run for an absence to follow it."""

CHECK_INTERVAL_S = 0.02
RECOVERY_TIMEOUT_S = 30.0
"""Seconds after the last absence in which each lasting task must have a run."""


@define(eq=False)
class AbsenceSeries:
    """Cuts workers off from the nodes and from the store again and again.

    Attributes
    ----------
    targets : FaultTargets
        The workers, the proxies in front of them and the store.
    random : Random
        Decides which workers are cut off, when and how.
    clients : JobClients
        Know the lasting jobs, and receive the violated guarantees.
    """

    targets: FaultTargets
    random: Random
    clients: JobClients
    _absent: set[int] = field(factory=set, init=False)
    _absences: set[asyncio.Task[None]] = field(factory=set, init=False)
    _end_s: float = field(default=0.0, init=False)

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Cut workers off for a time; return once the lasting tasks have recovered.

        Parameters
        ----------
        total_s : float
            Time during which workers are cut off, in seconds.
        log : callable
            Called with a line on each absence as it begins.
        """
        loop = asyncio.get_running_loop()
        self._end_s = loop.time() + total_s
        series = [asyncio.create_task(self._cut_after_starts(log))]
        while loop.time() < self._end_s:
            kind = self.random.choice(
                (self._cut_one, self._cut_several, self._cut_spread_out)
            )
            series.append(asyncio.create_task(kind(log)))
            await asyncio.sleep(self.random.uniform(*INTERVAL_RANGE_S))
        await asyncio.gather(*series)
        await asyncio.gather(*self._absences)
        await self._check_lasting_tasks()

    async def _cut_one(self, log: Callable[[str], None]) -> None:
        self._cut(self.random.randrange(len(self.targets.workers)), log)

    async def _cut_several(self, log: Callable[[str], None]) -> None:
        for index in self._draw_workers():
            self._cut(index, log)

    async def _cut_spread_out(self, log: Callable[[str], None]) -> None:
        for index in self._draw_workers():
            self._cut(index, log)
            await asyncio.sleep(self.random.uniform(0.0, MAX_SPREAD_S))

    async def _cut_after_starts(self, log: Callable[[str], None]) -> None:
        """Cut off the worker of a lasting task, and those that start it afterwards."""
        loop = asyncio.get_running_loop()
        while loop.time() < self._end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            runs = self._find_lasting_runs()
            if not runs:
                continue
            task_name, index = self.random.choice(runs)
            self._cut(index, log, is_limited=False)
            for _ in range(FOLLOWED_RUNS):
                index = await self._wait_for_start(task_name)
                if index is None:
                    break
                await asyncio.sleep(self.random.uniform(0.0, MAX_AGE_S))
                self._cut(index, log, is_limited=False)

    def _find_lasting_runs(self) -> list[tuple[str, int]]:
        """Return the lasting tasks that have runs, and the indexes of their workers."""
        return sorted(
            (run.task_name, index)
            for job_id in self.clients.lasting_jobs
            for index in range(len(self.targets.workers))
            for run in self._list_runs(index, job_id)
            if index not in self._absent
        )

    async def _wait_for_start(self, task_name: str) -> int | None:
        """Return the worker with a fresh run of a task, if there is one in time."""
        loop = asyncio.get_running_loop()
        end_s = min(loop.time() + START_TIMEOUT_S, self._end_s)
        while loop.time() < end_s:
            for index in set(range(len(self.targets.workers))) - self._absent:
                runs = self._list_runs(index, task_name)
                if any(run.started_s > loop.time() - MAX_AGE_S for run in runs):
                    return index
            await asyncio.sleep(CHECK_INTERVAL_S)
        return None

    def _draw_workers(self) -> list[int]:
        count = self.random.randint(2, MAX_WORKERS_AT_ONCE)
        return self.random.sample(range(len(self.targets.workers)), count)

    def _cut(
        self, index: int, log: Callable[[str], None], is_limited: bool = True
    ) -> None:
        """Start the absence of a worker, unless it or too many others are absent."""
        mode = self.random.choice(ABSENCE_MODES)
        duration_s = self.random.uniform(*DURATION_RANGE_S)
        return_delay_s = self.random.uniform(0.0, MAX_RETURN_DELAY_S)
        if self.random.random() < PROMPT_RETURN_PROBABILITY:
            return_delay_s = 0.0
        is_restarting = self.random.random() < RESTART_PROBABILITY
        crash_delay_s = self.random.uniform(0.0, duration_s - RESTART_DURATION_S)
        max_absent = MAX_ABSENT_SHARE * len(self.targets.workers)
        is_one_too_many = is_limited and len(self._absent) >= max_absent
        if index in self._absent or is_one_too_many:
            return
        runs = [f"{run.task_name}/{run.run_number}" for run in self._list_runs(index)]
        log(
            f"absence of worker-{index}, {mode.value}, {duration_s:.1f} s, registered "
            f"{return_delay_s:.1f} s later, restarts: {is_restarting}, runs: {runs}"
        )
        self._absent.add(index)
        steps = [self._keep_away(index, mode, duration_s, return_delay_s)]
        if is_restarting:
            steps.append(self._restart(index, crash_delay_s))
        self._absences |= {asyncio.create_task(step) for step in steps}

    async def _keep_away(
        self, index: int, mode: ProxyMode, duration_s: float, return_delay_s: float
    ) -> None:
        """Cut a worker off; its registration comes back as it was, unless it restarts.

        A worker that is cut off in one direction does not reach the store either, as
        its heartbeats need the store's answers.
        """
        worker, proxy = self.targets.workers[index], self.targets.worker_proxies[index]
        proxy.mode = mode
        if mode is ProxyMode.REFUSE:
            proxy.reset()
        await asyncio.sleep(REMOVAL_DELAY_S)
        await self.targets.store.write_row("servers", worker.worker_id, None)
        await asyncio.sleep(duration_s - REMOVAL_DELAY_S)
        proxy.mode = ProxyMode.OPEN
        await asyncio.sleep(return_delay_s)
        address = self.targets.worker_addresses[index]
        await register_worker(self.targets.store, worker, address)
        self._absent.discard(index)

    async def _restart(self, index: int, crash_delay_s: float) -> None:
        worker = self.targets.workers[index]
        await asyncio.sleep(crash_delay_s)
        worker.crash()
        self.targets.worker_proxies[index].silence()
        await asyncio.sleep(RESTART_DURATION_S)
        worker.start_incarnation()

    async def _check_lasting_tasks(self) -> None:
        """Wait for a run of each lasting task; record the tasks without one."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + RECOVERY_TIMEOUT_S
        observer = self.clients.observer
        waiting_tasks = {
            task_name
            for task_name in observer.specifications
            if task_name.partition(".")[0] in self.clients.lasting_jobs
        }
        while waiting_tasks and loop.time() < deadline_s:
            for worker in self.targets.workers:
                waiting_tasks -= worker.runs.keys()
            await asyncio.sleep(CHECK_INTERVAL_S)
        observer.problems += [
            f"{task_name} had no run in {RECOVERY_TIMEOUT_S:.0f} s after the last "
            "absence"
            for task_name in sorted(waiting_tasks)
        ]

    def _list_runs(self, index: int, prefix: str = "") -> list[Run]:
        """Return the runs of a worker whose task names have a prefix."""
        return [
            run
            for run in self.targets.workers[index].runs.values()
            if run.task_name.startswith(prefix)
        ]
