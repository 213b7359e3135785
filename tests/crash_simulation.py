"""Simulates workers that crash when they start a task, and come back later."""

from __future__ import annotations

from random import Random

from attrs import frozen

from fuchsiadale.decision.workflow.messages import (
    EndKind,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerEntry,
)
from fuchsiadale.decision.workflow.names import TaskName
from tests.simulated_worker import SentOrder, SimulatedWorker
from tests.workflow_builders import make_entry
from tests.workflow_simulation import LEASE_LAPSE_S, ClusterSimulation

CRASHED_WORKERS = 3
"""Workers crashed under a task from which its further starts are counted."""

MAX_FURTHER_STARTS = 2
"""Starts of a task allowed after that; the platform's bound is broken by one more."""

RETURN_DELAYS_S = (1.0, 2.0, 4.0, LEASE_LAPSE_S + 1.0)
"""Seconds after a crash at which a worker may be back."""


@frozen
class Crash:
    """A worker that has crashed and is not back yet.

    `returns_s` is on the simulation's clock.
    """

    returns_s: float
    is_replaced: bool


class CrashSimulation(ClusterSimulation):
    """Adds deadly tasks, which crash the worker that starts them.

    The worker comes back under the same id with a new start time, or as a new worker
    at its address, which the owner learns from the list of workers or from a poll.

    Parameters
    ----------
    random : Random
        Chooses when and how a worker comes back.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._crashes: dict[str, Crash] = {}
        self._recorded_entries: dict[str, WorkerEntry] = {}
        self._worker_count = 0
        self.deadly_tasks: set[TaskName] = set()
        self.further_starts: dict[TaskName, int] = {}
        super().__init__()
        self._worker_count = len(self.entries)

    @property
    def worker_ids(self) -> list[str]:
        """Ids of the workers that the owner knows."""
        return list(self.scheduler.workers)

    def register_workers(self) -> None:
        """Let a new owner learn of the recorded and of the registered workers."""
        self.scheduler.restore_workers(self._recorded_entries.values())
        self.read_worker_list()

    def read_worker_list(self) -> None:
        """Let the owner read the registrations; a crashed worker may be missing."""
        self.scheduler.update_registrations(
            entry
            for entry in self.entries.values()
            if not self._is_unregistered(entry.worker_id)
        )
        self.scheduler.remove_gone_workers()
        self.send_orders(self.scheduler.pop_orders())

    def record_progress(self) -> None:
        """Record the progress of jobs, and the workers with their runs."""
        super().record_progress()
        workers = self.scheduler.workers
        self._recorded_entries = {name: w.entry for name, w in workers.items()}

    def poll(self, worker_id: str, is_answered: bool) -> None:
        """Poll a worker; a crashed one does not answer, or another one does."""
        if worker_id not in self.scheduler.workers:
            return
        if worker_id not in self.workers:
            self.scheduler.mark_worker_replaced(worker_id)
            self.send_orders(self.scheduler.pop_orders())
        elif worker_id in self._crashes:
            lease_end_s = self.clock.now() + LEASE_LAPSE_S
            self.scheduler.extend_lease(worker_id, lease_end_s)
            self.scheduler.mark_worker_unresponsive(worker_id)
        else:
            super().poll(worker_id, is_answered)

    def deliver_order(self, index: int, is_answered: bool) -> None:
        """Deliver an order to its worker, unless the worker has crashed."""
        if not self.sent_orders:
            return
        position = index % len(self.sent_orders)
        sent = self.sent_orders[position]
        order = sent.order
        assert isinstance(order, StartRun | StopRun)
        if self._is_up(order.worker_id):
            super().deliver_order(position, is_answered)
            return
        self.sent_orders.pop(position)
        if sent.epoch != self.epoch:
            return
        if isinstance(order, StartRun):
            outcome = StartOutcome.UNKNOWN
            self.send_orders(self.scheduler.note_start_outcome(order, outcome))
        elif self.scheduler.may_still_run(order):
            self.sent_orders.append(sent)

    def execute_start(self, sent: SentOrder, order: StartRun) -> StartOutcome:
        """Start a run as a worker does; a deadly task crashes it before it answers."""
        if not self._is_up(order.worker_id):
            return StartOutcome.UNKNOWN
        outcome = super().execute_start(sent, order)
        is_running = (order.task, order.run) in self.workers[order.worker_id].running
        if not is_running or order.task not in self.deadly_tasks:
            return outcome
        self._check_further_starts(order.task)
        self._crash(order.worker_id)
        return StartOutcome.UNKNOWN

    def end_run(self, worker_id: str, index: int, kind: EndKind) -> None:
        """End one of a worker's runs, unless the worker has crashed."""
        if self._is_up(worker_id):
            super().end_run(worker_id, index, kind)

    def restart_worker(self, worker_id: str) -> None:
        """Restart a worker, unless it has crashed."""
        if self._is_up(worker_id):
            super().restart_worker(worker_id)

    def advance_time(self, seconds: float) -> None:
        """Advance the clock; workers whose time has come are back."""
        super().advance_time(seconds)
        for worker_id, crash in list(self._crashes.items()):
            if crash.returns_s > self.clock.now():
                continue
            del self._crashes[worker_id]
            if crash.is_replaced:
                self._replace_worker(worker_id)
            else:
                self.restart_worker(worker_id)

    def _is_up(self, worker_id: str) -> bool:
        return worker_id in self.workers and worker_id not in self._crashes

    def _is_unregistered(self, worker_id: str) -> bool:
        crash = self._crashes.get(worker_id)
        return crash is not None and crash.is_replaced

    def _crash(self, worker_id: str) -> None:
        self.lose_runs(worker_id)
        self._crashes[worker_id] = Crash(
            self.clock.now() + self._random.choice(RETURN_DELAYS_S),
            self._random.random() < 0.5,
        )

    def _replace_worker(self, worker_id: str) -> None:
        """Let a new worker appear at the address of a crashed one."""
        former = self.entries.pop(worker_id)
        del self.workers[worker_id]
        entry = make_entry(self._worker_count, address=former.address)
        self._worker_count += 1
        self.entries[entry.worker_id] = entry
        self.workers[entry.worker_id] = SimulatedWorker(entry.worker_id, entry.capacity)

    def _check_further_starts(self, task: TaskName) -> None:
        """Check how often a task starts after it has crashed workers."""
        if len(self.crashed_under.get(task, ())) < CRASHED_WORKERS:
            return
        count = self.further_starts.get(task, 0) + 1
        self.further_starts[task] = count
        assert count <= MAX_FURTHER_STARTS, "started again beyond its crashes"
