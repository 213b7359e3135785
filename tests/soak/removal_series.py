"""Owners and workers that are lost for good, owners that are cut off, store outages.

Each lasting task must run again in time, and no task may run twice at the same time.
"""

from __future__ import annotations

import asyncio
from base64 import b64decode
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from signal import SIGSTOP

from attrs import define, field

from fuchsiadale.cell.fencing_tokens import TOKENS_PER_EPOCH
from tests.soak.absence_series import REMOVAL_DELAY_S
from tests.soak.clients import LASTING_CPU_MILLIS, JobClients
from tests.soak.fleet import Fleet
from tests.soak.nodes import Node
from tests.soak.proxy import ProxyMode
from tests.soak.workers import CAPACITY_CPU_MILLIS, Run, Worker, register_worker

MAX_GAP_S = 9.0
"""Longest time in which a lasting task may have no run, in seconds.

It counts from the task's last run, the last loss of an owner, the last end of a cut or
of an outage, and the last moment without room for the task, whichever is latest.
"""

ROOM_FACTOR = 2
"""Capacity that one worker must have left for a lasting task, as a multiple of it."""

REPLACEMENT_RANGE_S = (2.0, 4.0)
"""Shortest and longest time from a loss to the start of the replacement, in seconds."""

CUT_RANGE_S = (6.0, 12.0)
"""Shortest and longest time for which an owner is cut off, in seconds."""

OUTAGE_S = 7.0
"""Seconds for which the store is down."""

SECOND_LOSS_RANGE_S = (3.0, 8.0)
"""Shortest and longest time between the losses of two owners, in seconds."""

PAUSE_RANGE_S = (3.0, 5.0)
"""Shortest and longest time from the recovery to the next faults, in seconds."""

MAX_WORKERS_AT_ONCE = 3
RECOVERY_TIMEOUT_S = 30.0
"""Seconds after the faults in which the series waits for all lasting tasks to run."""

LOGGED_GAP_S = 2.0
"""Seconds without a run from which the gap of a lasting task is logged."""

CHECK_INTERVAL_S = 0.02
OUTAGE_MODES = (ProxyMode.OPEN, ProxyMode.REFUSE, ProxyMode.SILENT)
"""How the proxies of the store behave while it answers every request with an error."""


@define(eq=False)
class RemovalSeries:
    """Removes owners and workers, and cuts owners off, one after the other.

    Attributes
    ----------
    fleet : Fleet
        The nodes, the workers and the store; the nodes have peer proxies.
    random : Random
        Decides on the order of the faults, whom they hit and when.
    clients : JobClients
        Know the lasting jobs, and receive the violated guarantees.
    """

    fleet: Fleet
    random: Random
    clients: JobClients
    _log: Callable[[str], None] = field(default=print, init=False)
    _lost_nodes: set[Node] = field(factory=set, init=False)
    _lost_workers: set[Worker] = field(factory=set, init=False)
    _has_disturbance: bool = field(default=False, init=False)
    _calm_from_s: float = field(default=0.0, init=False)
    _last_run_s: dict[str, float] = field(factory=dict, init=False)
    _overdue_tasks: set[str] = field(factory=set, init=False)

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Inject faults for a time; return once the lasting tasks have recovered.

        Parameters
        ----------
        total_s : float
            Time during which faults are started, in seconds.
        log : callable
            Called with a line on each fault as it begins, and on each long gap between
            two runs of a lasting task.
        """
        self._log = log
        loop = asyncio.get_running_loop()
        self._calm_from_s, end_s = loop.time(), loop.time() + total_s
        watch = asyncio.create_task(self._watch_tasks())
        await self._wait_for_runs(self.clients.workload.lasting_job_count)
        faults: list[Callable[[], Awaitable[None]]] = []
        while loop.time() < end_s:
            if not faults:
                faults = [
                    self._lose_owner_and_workers,
                    self._cut_owner_and_workers,
                    self._take_store_down,
                    self._lose_two_owners,
                ]
                self.random.shuffle(faults)
            await faults.pop()()
            await self._wait_for_runs()
            await asyncio.sleep(self.random.uniform(*PAUSE_RANGE_S))
        watch.cancel()

    async def _lose_owner_and_workers(self) -> None:
        """Lose the owner and some workers at one moment, and replace all of them."""
        owner_index = await self._find_owner()
        losses = [self._lose_node(owner_index)]
        losses += [self._lose_worker(index) for index in self._draw_workers()]
        await asyncio.gather(*losses)

    async def _lose_two_owners(self) -> None:
        """Lose an owner with some workers, and then its successor."""
        interval_s = self.random.uniform(*SECOND_LOSS_RANGE_S)
        first = asyncio.create_task(self._lose_owner_and_workers())
        await asyncio.sleep(interval_s)
        await asyncio.gather(first, self._lose_node(await self._find_owner()))

    async def _lose_node(self, index: int) -> None:
        """Make a node silent for good, and start another one in its place.

        The process stays stopped until the end of the test, so that no connection ends.
        """
        loop = asyncio.get_running_loop()
        node, targets = self.fleet.targets.nodes[index], self.fleet.targets
        self._log(f"loss of the owner {node.name}")
        self._lost_nodes.add(node)
        node.signal_process(SIGSTOP)
        self.fleet.cut_ips.add(node.ip)
        targets.store_proxies[index].mode = ProxyMode.SILENT
        self._calm_from_s = max(self._calm_from_s, loop.time())
        await asyncio.sleep(self.random.uniform(*REPLACEMENT_RANGE_S))
        await self.fleet.add_node(index)
        self._log(f"{targets.nodes[index].name} replaces {node.name}")

    async def _lose_worker(self, index: int) -> None:
        """Crash a worker for good, and start another one in its place."""
        targets = self.fleet.targets
        worker, proxy = targets.workers[index], targets.worker_proxies[index]
        self._log(f"loss of {worker.worker_id}, runs: {sorted(worker.runs)}")
        self._lost_workers.add(worker)
        worker.crash()
        proxy.silence()
        proxy.mode = ProxyMode.SILENT
        replacement_delay_s = self.random.uniform(*REPLACEMENT_RANGE_S)
        await asyncio.sleep(replacement_delay_s)
        await self.fleet.add_worker(index)
        self._log(f"{targets.workers[index].worker_id} replaces {worker.worker_id}")
        await asyncio.sleep(REMOVAL_DELAY_S - replacement_delay_s)
        await self.fleet.store.write_row("servers", worker.worker_id, None)

    async def _cut_owner_and_workers(self) -> None:
        """Cut the owner and some workers off from all others and from the store.

        The owner and these workers reach each other. The registrations of the workers
        are removed after `REMOVAL_DELAY_S`.
        """
        targets, store = self.fleet.targets, self.fleet.store
        index = await self._find_owner()
        node, proxy = targets.nodes[index], targets.store_proxies[index]
        indexes = self._draw_workers()
        workers = [targets.workers[index] for index in indexes]
        duration_s = self.random.uniform(*CUT_RANGE_S)
        runs = {worker.worker_id: sorted(worker.runs) for worker in workers}
        self._log(f"cut of the owner {node.name}, {duration_s:.1f} s, with {runs}")
        self._has_disturbance = True
        proxy.mode = ProxyMode.SILENT
        self.fleet.cut_ips.add(node.ip)
        owner_token = max(worker.fencing_token for worker in targets.workers)
        for worker in targets.workers:
            worker.is_reached = partial(
                _is_reached, owner_token // TOKENS_PER_EPOCH, worker in workers
            )
        await asyncio.sleep(REMOVAL_DELAY_S)
        for worker in workers:
            await store.write_row("servers", worker.worker_id, None)
        await asyncio.sleep(duration_s - REMOVAL_DELAY_S)
        proxy.mode = ProxyMode.OPEN
        self.fleet.cut_ips.remove(node.ip)
        for worker in targets.workers:
            worker.is_reached = None
        for index in indexes:
            address = targets.worker_addresses[index]
            await register_worker(store, targets.workers[index], address)
        self._log(f"end of the cut of {node.name}")
        self._has_disturbance = False

    async def _take_store_down(self) -> None:
        """Take the store down for all nodes; check that no run ends by that."""
        mode = self.random.choice(OUTAGE_MODES)
        runs = self._list_runs()
        self._log(f"outage of the store, proxies {mode.value}, {len(runs)} runs")
        self._has_disturbance = True
        self.fleet.store.is_unavailable = True
        for proxy in self.fleet.targets.store_proxies:
            proxy.mode = mode
            if mode is ProxyMode.REFUSE:
                proxy.reset()
        await asyncio.sleep(OUTAGE_S)
        self.fleet.store.is_unavailable = False
        for proxy in self.fleet.targets.store_proxies:
            proxy.mode = ProxyMode.OPEN
        self._log("end of the outage of the store")
        self._has_disturbance = False
        await asyncio.sleep(PAUSE_RANGE_S[0])
        specifications = self.clients.observer.specifications
        self.clients.observer.problems += [
            f"{run.task_name} {run.end_kind} by an outage of the store"
            for run in runs
            if run.end_kind == "lapsed"
            or (run.end_kind == "stopped" and specifications[run.task_name].is_lasting)
        ]

    async def _find_owner(self) -> int:
        """Return the index of the node that owns the cell; wait for one not lost."""
        while True:
            row = b64decode(self.fleet.store.read_value("control", "owner"))
            for index, node in enumerate(self.fleet.targets.nodes):
                if f"{node.ip}:".encode() in row and node not in self._lost_nodes:
                    return index
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _draw_workers(self) -> list[int]:
        """Return the indexes of some workers, of which one has a lasting run."""
        lasting_tasks = self._list_lasting_tasks()
        workers = self.fleet.targets.workers
        indexes = self.random.sample(range(len(workers)), len(workers))
        indexes.sort(key=lambda index: not lasting_tasks & workers[index].runs.keys())
        return indexes[: self.random.randint(1, MAX_WORKERS_AT_ONCE)]

    def _list_lasting_tasks(self) -> set[str]:
        return {
            task_name
            for task_name in self.clients.observer.specifications
            if task_name.partition(".")[0] in self.clients.lasting_jobs
        }

    def _list_runs(self) -> list[Run]:
        return [
            run for worker in self.fleet.targets.workers for run in worker.runs.values()
        ]

    async def _wait_for_runs(self, job_count: int = 0) -> None:
        """Wait until all lasting tasks run, of at least `job_count` jobs.

        Gives up after `RECOVERY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + RECOVERY_TIMEOUT_S
        while loop.time() < deadline_s:
            running_tasks = {run.task_name for run in self._list_runs()}
            is_complete = len(self.clients.lasting_jobs) >= job_count
            if is_complete and self._list_lasting_tasks() <= running_tasks:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _watch_tasks(self) -> None:
        """Record each lasting task without a run for too long, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now_s = loop.time()
            if self._has_disturbance or not self._has_room():
                self._calm_from_s = now_s
            running_tasks = {run.task_name for run in self._list_runs()}
            for task_name in self._list_lasting_tasks():
                last_run_s = self._last_run_s.setdefault(task_name, now_s)
                if task_name in running_tasks:
                    if now_s - last_run_s > LOGGED_GAP_S:
                        self._log(f"gap of {task_name}, {now_s - last_run_s:.1f} s")
                    self._last_run_s[task_name] = now_s
                    self._overdue_tasks.discard(task_name)
                elif now_s - max(last_run_s, self._calm_from_s) > MAX_GAP_S:
                    self._record_overdue(task_name, now_s - last_run_s)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _record_overdue(self, task_name: str, gap_s: float) -> None:
        if task_name in self._overdue_tasks:
            return
        self._overdue_tasks.add(task_name)
        self._log(f"{task_name} is overdue")
        self.clients.observer.problems.append(
            f"{task_name} has had no run for {gap_s:.1f} s, {MAX_GAP_S:.0f} s of them "
            "since the last loss of an owner and with room for it"
        )

    def _has_room(self) -> bool:
        """Return whether a worker that was not lost has room for a lasting task."""
        return any(
            worker not in self._lost_workers
            and CAPACITY_CPU_MILLIS
            - sum(run.cpu_millis for run in worker.runs.values())
            >= ROOM_FACTOR * LASTING_CPU_MILLIS
            for worker in self.fleet.targets.workers
        )


def _is_reached(owner_epoch: int, is_inside: bool, token: int) -> bool:
    """Return whether a cut with the owner inside lets an order through."""
    return (token // TOKENS_PER_EPOCH == owner_epoch) == is_inside
