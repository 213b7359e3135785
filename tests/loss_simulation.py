"""Simulates an owner, its workers and their losses, with the delays of all calls."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from attrs import evolve

from fuchsiadale.cell.order_dispatcher import STOP_RETRY_DELAY_S
from fuchsiadale.cell.owner import (
    PLAN_DELAY_S,
    TICK_INTERVAL_S,
)
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.cell.worker_clock import lease_expiry_delay_s
from fuchsiadale.cell.worker_link import (
    CALL_TIMEOUT_S,
    IDLE_POLL_WAIT_S,
    MAX_START_ATTEMPTS,
    POLL_TIMEOUT_MARGIN_S,
    POLL_WAIT_S,
    RETRY_DELAY_S,
)
from fuchsiadale.cell.worker_list_reader import WORKER_LIST_INTERVAL_S
from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.decision.workflow.job_progress import collect_progress
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    Order,
    ReportedEnd,
    ReportedRun,
    RequestAdvice,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerEntry,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.specification import JobRecord
from tests.live_worker import CALL_S, COMMIT_S, EVICTION_S, LiveWorker
from tests.workflow_builders import (
    LANES,
    make_entry,
    make_record,
    make_step,
)

MAX_LEASE_S = TimeBounds().max_lease_s


class LossSimulation:
    """An owner that polls workers and sends them orders, event by event.

    Parameters
    ----------
    workers : iterable of WorkerEntry
        Registrations of the workers.
    configuration : CellConfiguration
        Configuration of the cell.

    Attributes
    ----------
    workers : dict of str to LiveWorker
        The workers as they are, by id.
    starts : list of (float, StartRun)
        Starts that workers have executed, and when.
    gaps : dict of TaskName to list of float
        Seconds from each loss of the worker of a task until its next start.
    deadly_tasks : set of TaskName
        Tasks that crash each worker that starts them, which is replaced later.
    crash_delay_s : float
        Seconds from their start to the crash.
    return_s : float
        Seconds from the crash until another worker is at the address.
    """

    def __init__(
        self, workers: Iterable[WorkerEntry], configuration: CellConfiguration
    ) -> None:
        self.clock = ManualClock(100.0)
        self.workers = {entry.worker_id: LiveWorker(entry) for entry in workers}
        self.starts: list[tuple[float, StartRun]] = []
        self.gaps: dict[TaskName, list[float]] = {}
        self.deadly_tasks: set[TaskName] = set()
        self.crash_delay_s = 0.0
        self.return_s = 1.0
        self._configuration = configuration
        self._lost_since_s: dict[TaskName, float] = {}
        self._events: list[tuple[float, int, int, Callable[[], None]]] = []
        self._event_count = 0
        self._epoch = 1
        self._records: dict[str, JobRecord] = {}
        self._recorded: dict[str, tuple[list[tuple[TaskName, int]], int]] = {}
        self._small_job_number = 1000
        self._begin_epoch()
        self._read_worker_list()
        self._tick()

    def run_for(self, seconds: float) -> None:
        """Process the events of some time."""
        until_s = self.clock.now() + seconds
        while self._events and self._events[0][0] <= until_s:
            at_s, _, epoch, action = heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now()))
            if epoch == 0 or epoch == self._epoch > 0:
                action()
        self.clock.advance(until_s - self.clock.now())

    def accept(self, record: JobRecord) -> None:
        """Store a job and pass it to the owner."""
        self._records[record.job_id] = record
        self.scheduler.accept(record, 0.0)
        self._request_plan()

    def accept_often(self, queue: str, every_s: float, lasts_s: float) -> None:
        """Accept small jobs in intervals, each of which ends by itself."""
        self._small_job_number += 1
        step = make_step(cpu_millis=100)
        record = make_record(self._small_job_number, step, queue=queue)
        self.accept(record)
        self._after(lasts_s, lambda: self._end_runs_of(record.job_id), 0)
        self._after(every_s, lambda: self.accept_often(queue, every_s, lasts_s), 0)

    def crash(self, worker_ids: Iterable[str], is_silent: bool = False) -> None:
        """Let workers crash; their tasks have lost their runs."""
        for worker_id in worker_ids:
            worker = self.workers[worker_id]
            worker.lost_s, worker.is_silent = self.clock.now(), is_silent
            for task, _ in worker.runs:
                self._lost_since_s.setdefault(task, self.clock.now())
            worker.runs.clear()
            if not is_silent:
                self._fail_poll(worker, worker.poll_number, CALL_S)

    def replace(self, worker_id: str) -> str:
        """Let another worker answer at the address of a lost one; return its id."""
        former = self.workers[worker_id]
        former.is_replaced = True
        number = len(self.workers)
        address, capacity = former.entry.address, former.entry.capacity
        entry = make_entry(number, address=address, capacity=capacity)
        self.workers[entry.worker_id] = LiveWorker(entry)
        return entry.worker_id

    def restart(self, worker_id: str) -> None:
        """Let a lost worker be back under its id, without its runs."""
        worker = self.workers[worker_id]
        worker.started_ms += 1
        worker.entry = evolve(worker.entry, started_ms=worker.started_ms)
        worker.lost_s = None
        worker.ends.clear()

    def take_over(self, after_s: float, lease_ends_s: float) -> None:
        """Lose the owner, and let another recover from the store later.

        Parameters
        ----------
        after_s : float
            Seconds until the next owner recovers.
        lease_ends_s : float
            When the runs of the lost owner have ended if no lease is renewed.
        """
        former, recorded, epoch = self.scheduler, self._recorded, self._epoch
        self._epoch = -1
        self.run_for(after_s)
        self._epoch = epoch + 1
        self._begin_epoch()
        for job_id, record in self._records.items():
            progress = collect_progress(former.jobs[job_id])
            self.scheduler.recover(record, progress, 0.0)
        entries = [self.workers[worker_id].entry for worker_id in recorded]
        added = self.scheduler.restore_workers(entries)
        for worker_id, (runs, started_ms) in recorded.items():
            self.scheduler.restore_runs(worker_id, runs, lease_ends_s, started_ms)
        for worker in added:
            self._poll(worker.entry.worker_id, is_first=True)
        self._read_worker_list()
        self._tick()

    def list_workers_of(self, job_id: str) -> list[str]:
        """Return the ids of the workers that have runs of a job."""
        return [
            worker_id
            for worker_id, worker in self.workers.items()
            if any(task.step.job_id == job_id for task, _ in worker.runs)
        ]

    def longest_gap_s(self, job_id: str) -> float:
        """Return the longest time for which a task of a job had no run after a loss."""
        closed = (
            max(gaps) for task, gaps in self.gaps.items() if task.step.job_id == job_id
        )
        now_s = self.clock.now()
        waiting = (
            now_s - since_s
            for task, since_s in self._lost_since_s.items()
            if task.step.job_id == job_id
        )
        return max((*closed, *waiting), default=0.0)

    def _begin_epoch(self) -> None:
        self._is_plan_requested = False
        self._unsent: list[StartRun] = []
        self.scheduler = Scheduler(self.clock, self._epoch)
        self.scheduler.apply_configuration(self._configuration)
        self.planner = Planner(self.scheduler)

    def _tick(self) -> None:
        self._execute(self.scheduler.check_timeouts())
        self._commit_later()
        self._request_plan()
        self._after(TICK_INTERVAL_S, self._tick)

    def _read_worker_list(self) -> None:
        now_s = self.clock.now()
        added = self.scheduler.update_registrations(
            worker.entry
            for worker in self.workers.values()
            if worker.lost_s is None
            or (now_s - worker.lost_s < EVICTION_S and not worker.is_replaced)
        )
        for worker in added:
            self._poll(worker.entry.worker_id, is_first=True)
        self.scheduler.remove_gone_workers()
        self._commit_later()
        self._after(WORKER_LIST_INTERVAL_S, self._read_worker_list)

    def _request_plan(self) -> None:
        if not self._is_plan_requested:
            self._is_plan_requested = True
            self._after(PLAN_DELAY_S, self._plan)

    def _plan(self) -> None:
        self._is_plan_requested = False
        self._execute(self.planner.plan(LANES))

    def _execute(self, orders: Iterable[Order]) -> None:
        for order in orders:
            if isinstance(order, StartRun):
                self._unsent.append(order)
                self._commit_later()
            elif isinstance(order, StopRun):
                self._after(CALL_S, lambda stop=order: self._stop(stop))
            elif isinstance(order, RequestAdvice):
                answer = lambda request=order: self._answer_advice(request)  # noqa: E731
                self._after(order.expected_duration_s, answer)

    def _commit_later(self) -> None:
        runs = {
            worker_id: (list(worker.runs), worker.started_ms)
            for worker_id, worker in self.scheduler.workers.items()
        }
        self._after(COMMIT_S, lambda: self._note_commit(runs))

    def _note_commit(
        self, recorded: dict[str, tuple[list[tuple[TaskName, int]], int]]
    ) -> None:
        self._recorded = recorded
        for worker_id, (runs, started_ms) in recorded.items():
            worker = self.scheduler.workers.get(worker_id)
            if worker is not None:
                worker.note_recorded(runs, started_ms)
        unsent, self._unsent = self._unsent, []
        for order in unsent:
            if not self.scheduler.is_start_needed(order):
                continue
            if not self.scheduler.is_start_recorded(order):
                self._unsent.append(order)
            elif self.scheduler.has_ticket_expired(order):
                self._note_outcome(order, StartOutcome.TICKET_REFUSED)
            else:
                self._send_start(order)

    def _send_start(self, order: StartRun) -> None:
        self.scheduler.note_start_sent(order)
        lease_ends_s = self.clock.now() + lease_expiry_delay_s(MAX_LEASE_S)
        self.scheduler.extend_lease(order.worker_id, lease_ends_s)
        self._after(CALL_S / 2.0, lambda: self._start(order))

    def _note_outcome(self, order: StartRun, outcome: StartOutcome) -> None:
        self._execute(self.scheduler.note_start_outcome(order, outcome))
        self._request_plan()

    def _answer_advice(self, order: RequestAdvice) -> None:
        tickets = dict.fromkeys(order.worker_ids, "t")
        queue = self._configuration.queues[0]
        valid_s = queue.advice.valid_s if queue.advice else 0.0
        self.scheduler.process_advice(order, tickets, valid_s)
        self._request_plan()

    def _poll(self, worker_id: str, is_first: bool = False) -> None:
        tracked, worker = self.scheduler.workers.get(worker_id), self.workers[worker_id]
        if tracked is None:
            return
        is_lost = tracked.unresponsive_since_s is not None
        wait_s = POLL_WAIT_S if tracked.runs else IDLE_POLL_WAIT_S
        wait_s = 0.0 if is_first or is_lost else wait_s
        sent_s = self.clock.now()
        if not is_first and not is_lost:
            lease_ends_s = sent_s + lease_expiry_delay_s(MAX_LEASE_S)
            self.scheduler.extend_lease(worker_id, lease_ends_s)
        worker.poll_number += 1
        worker.polled_ms = worker.started_ms
        number = worker.poll_number
        if worker.lost_s is not None:
            is_late = worker.is_silent and not worker.is_replaced
            timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S
            self._fail_poll(worker, number, timeout_s if is_late else CALL_S)
            return
        answer = lambda: self._answer_poll(worker, number, sent_s)  # noqa: E731
        self._after(wait_s + CALL_S, answer)
        timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S
        self._fail_poll(worker, number, timeout_s)

    def _answer_poll(self, worker: LiveWorker, number: int, sent_s: float) -> None:
        is_there = worker.lost_s is None and worker.polled_ms == worker.started_ms
        if worker.poll_number != number or not is_there:
            return
        running = tuple(
            ReportedRun(task, run, saved, 100, 1.0)
            for (task, run), saved in worker.runs.items()
        )
        report = WorkerReport(worker.started_ms, 0, running, tuple(worker.ends))
        name = worker.entry.worker_id
        self._execute(self.scheduler.process_report(name, report, sent_s))
        self._request_plan()
        self._poll(name)

    def _fail_poll(self, worker: LiveWorker, number: int, delay_s: float) -> None:
        def fail() -> None:
            if worker.poll_number != number:
                return
            worker.poll_number += 1
            worker_id = worker.entry.worker_id
            if worker.is_replaced:
                self.scheduler.mark_worker_replaced(worker_id)
            else:
                self.scheduler.mark_worker_unresponsive(worker_id, "disconnected")
            self._request_plan()
            self._after(RETRY_DELAY_S, lambda: self._poll(worker_id))

        self._after(delay_s, fail)

    def _start(self, order: StartRun) -> None:
        worker = self.workers[order.worker_id]
        if worker.lost_s is not None:
            self._leave_unstarted(order, worker)
            return
        task = order.task
        worker.runs[task, order.run] = ""
        self.starts.append((self.clock.now(), order))
        if task in self._lost_since_s:
            gap_s = self.clock.now() - self._lost_since_s.pop(task)
            self.gaps.setdefault(task, []).append(gap_s)
        if task in self.deadly_tasks:
            crash = lambda: self._crash_for_a_while(order.worker_id)  # noqa: E731
            self._after(self.crash_delay_s, crash, 0)
        self._after(CALL_S / 2.0, lambda: self._answer_start(order, worker))

    def _answer_start(self, order: StartRun, worker: LiveWorker) -> None:
        if worker.lost_s is None:
            self._note_outcome(order, StartOutcome.STARTED)
        elif worker.is_silent:
            self._leave_unstarted(order, worker)
        else:
            self._note_outcome(order, StartOutcome.UNKNOWN)

    def _leave_unstarted(self, order: StartRun, worker: LiveWorker) -> None:
        outcome, delay_s = StartOutcome.UNHEALTHY, 0.0
        if worker.is_replaced:
            outcome = StartOutcome.OTHER_BOOT
        elif worker.is_silent:
            outcome = StartOutcome.UNKNOWN
            delay_s = MAX_START_ATTEMPTS * CALL_TIMEOUT_S
        self._after(delay_s, lambda: self._note_outcome(order, outcome))

    def _crash_for_a_while(self, worker_id: str) -> None:
        if self.workers[worker_id].lost_s is None:
            self.crash([worker_id])
            self._after(self.return_s, lambda: self.replace(worker_id), 0)

    def _stop(self, order: StopRun) -> None:
        worker = self.workers[order.worker_id]
        if worker.lost_s is None:
            self._end_run(worker, order.task, order.run, EndKind.STOPPED)
            self.scheduler.note_stop_acknowledged(order)
        elif self.scheduler.may_still_run(order):
            self._after(STOP_RETRY_DELAY_S, lambda: self._stop(order))

    def _end_runs_of(self, job_id: str) -> None:
        for worker in self.workers.values():
            for task, run in list(worker.runs):
                if task.step.job_id == job_id:
                    self._end_run(worker, task, run, EndKind.DONE)

    def _end_run(
        self, worker: LiveWorker, task: TaskName, run: int, kind: EndKind
    ) -> None:
        if worker.runs.pop((task, run), None) is None:
            return
        number = len(worker.ends) + 1
        worker.ends.append(ReportedEnd(number, task, run, kind, ""))
        poll_number, now_s = worker.poll_number, self.clock.now()
        answer = lambda: self._answer_poll(worker, poll_number, now_s)  # noqa: E731
        self._after(CALL_S, answer)

    def _after(
        self, delay_s: float, action: Callable[[], None], epoch: int | None = None
    ) -> None:
        """Schedule an action, which is dropped if the owner has changed by then."""
        self._event_count += 1
        owner = self._epoch if epoch is None else epoch
        at_s = self.clock.now() + delay_s
        heappush(self._events, (at_s, self._event_count, owner, action))
