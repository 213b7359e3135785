"""Finds tasks that crash the workers which start them, and gives their jobs up.

A crash of a worker is certain once a later incarnation of it answers or another worker
is registered at its address. A worker that is only silent, or that is registered again,
may have been cut off, which is nobody's fault.

A crash counts against the runs that had just started. It counts against none if another
worker was lost at the same moment though nothing had just started there: then the cause
lies outside.
"""

from __future__ import annotations

from collections.abc import Collection

from attrs import evolve

from fuchsiadale.decision.workflow.attempts import CrashHistory, LateCrash
from fuchsiadale.decision.workflow.jobs import JobState, Run, Task
from fuchsiadale.decision.workflow.messages import WorkerState
from fuchsiadale.decision.workflow.run_ends import (
    CrashTiming,
    RunEnd,
    RunEndCause,
    WorkerCrash,
    collect_run_ends,
    estimate_loss_s,
)
from fuchsiadale.decision.workflow.run_tracker import RunTracker
from fuchsiadale.decision.workflow.tracked_worker import RunKey, TrackedWorker
from fuchsiadale.decision.workflow.worker_losses import (
    LOSS_MEMORY_S,
    SIMULTANEOUS_S,
    WorkerLoss,
)

GONE_WORKER_MEMORY_S = 30.0
"""Seconds in which a worker that is gone may still be found to have crashed."""

LONG_ABSENCE_S = 4.5
"""Seconds of silence, as long as a lease, from which a worker was surely cut off."""


class CrashTracker(RunTracker):
    """Counts the crashes of workers that each task may have caused."""

    def _note_contact(self, worker: TrackedWorker) -> None:
        """Note that a worker has answered, and has not crashed before it did."""
        now_s = worker.last_contact_s = self.clock.now()
        lost_s = worker.lost_s
        # A long absence still points to a cause outside.
        is_brief = lost_s is not None and now_s - lost_s < LONG_ABSENCE_S
        if lost_s is not None and is_brief and not worker.has_crashed:
            self._losses.discard(worker.entry.worker_id)
            self._judge_excused_crashes(lost_s)
        worker.lost_s = None
        worker.has_crashed = False
        worker.run_ends = ()
        worker.has_drained = False

    def _note_contact_lost(self, worker: TrackedWorker) -> None:
        """Keep what is known of a worker's runs, in case that it has crashed."""
        if worker.lost_s is not None:
            return
        runs, contact_s = worker.runs.values(), worker.last_contact_s
        worker.lost_s = estimate_loss_s(runs, self.clock.now(), contact_s)
        earliest_s = self._losses.earliest_loss_s(worker.lost_s)
        ends = collect_run_ends(runs, worker.lost_s, contact_s, earliest_s)
        worker.run_ends = ends
        is_draining = worker.entry.state is WorkerState.DRAINING
        if worker.reported_s is not None and not is_draining:
            has_fresh_run = any(end.is_fresh for end in ends)
            worker_id = worker.entry.worker_id
            self._losses.add(WorkerLoss(worker_id, worker.lost_s, has_fresh_run))

    def _note_lease_lapsed(self, worker: TrackedWorker) -> None:
        """Note that the runs of a silent worker have ended, whether it crashed or not.

        If it turns out to have restarted, that may have been after their end.
        """
        self._note_contact_lost(worker)
        lease_ended_s = worker.leases.end_s
        worker.run_ends = tuple(
            evolve(end, lease_ended_s=lease_ended_s) for end in worker.run_ends
        )

    def _note_connection_closed(self, worker: TrackedWorker) -> None:
        """Note that the process of a silent worker has ended, for whatever reason."""
        now_s = self.clock.now()
        worker.run_ends = tuple(
            evolve(end, closed_s=now_s) if end.closed_s is None else end
            for end in worker.run_ends
        )

    def _note_running(self, run: Run) -> None:
        """Note that a run is at work; one that goes on does not crash its worker."""
        if run.has_outlived_start or not run.has_outlived(self.clock.now()):
            return
        run.has_outlived_start = True
        task = run.task
        task.last_survivor = max(task.last_survivor, run.number)
        has_crashes = task.is_suspect or bool(task.crashes.excused)
        if has_crashes or task.step.specification.is_lasting:
            task.crashes = task.crashes.without_crashes_up_to(run.number)
            self.unrecorded_jobs.add(task.step.job.record.job_id)

    def _note_end_reported(self, run: Run) -> None:
        """Note that a worker lists the end of a run, under which it has not crashed."""
        task = run.task
        self._replace_crashes(task, task.crashes.without_crash(run.number))

    def _remember_gone_worker(self, worker: TrackedWorker) -> None:
        """Keep a worker that is no longer tracked until its crash may be confirmed."""
        address = worker.entry.address
        if any(other.entry.address == address for other in self.workers.values()):
            self._note_crash(worker, self._find_next_start_ms(worker))
            return
        remembered = (*self._gone_workers.values(), worker)
        self._gone_workers = {
            gone.entry.worker_id: gone
            for gone in remembered
            if self._is_lost_lately(gone)
        }

    def _compare_with_gone_workers(self, worker: TrackedWorker) -> None:
        """Find what a newly registered worker tells of workers that are gone.

        A worker at the address of another that is gone shows that this one has ended.
        One that is back under its own id may have only been out of reach; its first
        report tells.
        """
        entry = worker.entry
        for gone in list(self._gone_workers.values()):
            is_same = gone.entry.worker_id == entry.worker_id
            if not is_same and gone.entry.address != entry.address:
                continue
            del self._gone_workers[gone.entry.worker_id]
            if not self._is_lost_lately(gone):
                continue
            if is_same:
                worker.resume(gone)
            else:
                self._note_crash(gone, entry.started_ms)

    def _is_lost_lately(self, worker: TrackedWorker) -> bool:
        """Tell whether a worker was lost so late that a crash may still be found."""
        oldest_s = self.clock.now() - GONE_WORKER_MEMORY_S
        return worker.lost_s is not None and worker.lost_s > oldest_s

    def _find_next_start_ms(self, worker: TrackedWorker) -> int:
        """Return the earliest start of another worker registered at the address.

        In Unix milliseconds; 0 if there is none, or if one does not tell its start.
        """
        entries = (other.entry for other in self.workers.values())
        return min(
            (
                entry.started_ms
                for entry in entries
                if entry.address == worker.entry.address
                and entry.worker_id != worker.entry.worker_id
            ),
            default=0,
        )

    def _note_crash(
        self,
        worker: TrackedWorker,
        next_start_ms: int,
        survivors: Collection[RunKey] = (),
    ) -> None:
        """Note a certain crash, and count it for the runs that may be the cause.

        Parameters
        ----------
        worker : TrackedWorker
            The worker that crashed, unless it was about to leave.
        next_start_ms : int
            Start of the incarnation or of the worker that was found in its place, in
            Unix milliseconds; 0 if it is not known.
        survivors : collection of (TaskName, int)
            Runs that are present after the crash, and so have started since.
        """
        next_start_s = self._find_loop_time_s(next_start_ms)
        ends = [
            evolve(end, next_start_s=next_start_s)
            for end in worker.run_ends
            if (end.run.task.name, end.run.number) not in survivors
        ]
        worker.run_ends = ()
        worker.has_crashed = True
        if worker.has_drained or worker.entry.state is WorkerState.DRAINING:
            return
        ends = [end for end in ends if end.cause is not RunEndCause.NO_CRASH]
        if not ends:
            return
        # It is not known when a worker was lost that never answered this owner.
        lost_s = None if worker.reported_s is None else worker.lost_s
        entry = worker.entry
        crash = WorkerCrash(entry.worker_id, entry.address, lost_s, tuple(ends))
        unexplained = self._find_unexplained_losses(crash)
        if unexplained:
            self._excuse_crash(crash)
            self._record_decision(
                "crash_not_counted",
                "",
                worker=crash.worker_id,
                unexplained=[loss.worker_id for loss in unexplained],
            )
        else:
            self._judge_crash(crash)

    def _find_unexplained_losses(self, crash: WorkerCrash) -> list[WorkerLoss]:
        """Return the workers lost at the moment of a crash that no run can explain.

        If there are any, the crash says nothing about the runs of its worker.
        """
        if crash.lost_s is None:
            return []
        losses = self._losses.list_simultaneous(crash.worker_id, crash.lost_s)
        return [loss for loss in losses if not loss.has_fresh_run]

    def _replace_crashes(self, task: Task, crashes: CrashHistory) -> None:
        job = task.step.job
        if crashes != task.crashes and not job.state.is_final:
            task.crashes = crashes
            self.unrecorded_jobs.add(job.record.job_id)

    def _excuse_crash(self, crash: WorkerCrash) -> None:
        """Keep a crash that something outside may have caused.

        It still counts, as uncertain, for tasks that were suspected before, and is kept
        for those that are later: many crashes of another cause must not hide a task
        that crashes each worker.
        """
        oldest_s = self.clock.now() - LOSS_MEMORY_S
        self._excused_crashes = [
            other
            for other in (*self._excused_crashes, crash)
            if other.lost_s is not None and other.lost_s >= oldest_s
        ]
        for end in crash.ends:
            task = end.run.task
            if end.is_fresh and end.run.number > task.last_survivor:
                crashes = task.crashes.with_excused(end.run.number)
                self._replace_crashes(task, crashes)
        ends = tuple(evolve(end, has_unexplained_losses=True) for end in crash.ends)
        self._judge_crash(evolve(crash, ends=ends))

    def _judge_excused_crashes(self, lost_s: float) -> None:
        """Judge crashes again after a worker lost with them answers without a crash.

        Parameters
        ----------
        lost_s : float
            When that worker was lost, on the event loop's clock.
        """
        oldest_s = self.clock.now() - LOSS_MEMORY_S
        excused, self._excused_crashes = self._excused_crashes, []
        for crash in excused:
            if crash.lost_s is None or crash.lost_s < oldest_s:
                continue
            is_simultaneous = abs(crash.lost_s - lost_s) <= SIMULTANEOUS_S
            if not is_simultaneous or self._find_unexplained_losses(crash):
                self._excused_crashes.append(crash)
            else:
                self._judge_crash(crash)

    def _judge_crash(self, crash: WorkerCrash) -> None:
        """Count a crash for the tasks that it tells of; give up the job at fault."""
        ends = [end for end in crash.ends if end.cause is not RunEndCause.NO_CRASH]
        starting = [
            end
            for end in ends
            if end.timing is not CrashTiming.LATE
            and end.run.number > end.run.task.last_survivor
        ]
        job_ids = {end.run.task.name.step.job_id for end in starting}
        for end in ends:
            task = end.run.task
            if task.is_done or task.step.job.state.is_final:
                continue
            if end.timing is CrashTiming.LATE:
                is_one_job = False
                self._count_late_crash(end, crash)
            elif end in starting:
                is_one_job = len(job_ids) == 1
                self._count_crash(end, crash, len(starting))
            else:
                continue
            is_ambiguous = end.run.has_started and not is_one_job
            if task.crashes.must_be_given_up(is_one_job, is_ambiguous):
                self._finish_job(task.step.job, JobState.FAILED, "crashes")

    def _count_crash(self, end: RunEnd, crash: WorkerCrash, suspect_count: int) -> None:
        task = end.run.task
        task.crashes = task.crashes.with_crash(
            end.run.number,
            crash.address,
            end.is_at_start,
            end.run.is_inherited,
            end.has_lapsed,
        )
        task.step.has_suspects = True
        task.step.crashed_s = self.clock.now()
        self._report_crash(end, crash, suspect_count)

    def _count_late_crash(self, end: RunEnd, crash: WorkerCrash) -> None:
        if end.age_s is None:
            return
        task = end.run.task
        task.crashes = task.crashes.with_late_crash(
            LateCrash(end.run.number, crash.address, end.age_s)
        )
        self._report_crash(end, crash, 0)

    def _report_crash(
        self, end: RunEnd, crash: WorkerCrash, suspect_count: int
    ) -> None:
        run, crashes = end.run, end.run.task.crashes
        job_id = run.task.step.job.record.job_id
        self.unrecorded_jobs.add(job_id)
        age_s = end.age_s
        self._record_decision(
            "crash_suspected",
            job_id,
            task=str(run.task.name),
            run=run.number,
            worker=crash.worker_id,
            suspects=suspect_count,
            has_started=run.has_started,
            timing=end.timing.value,
            age_ms=None if age_s is None else round(1000 * age_s),
            crashes=len(crashes.addresses),
            confirmed_crashes=len(crashes.at_start),
            lapsed_crashes=len(crashes.lapsed),
            late_crashes=len(crashes.similar_late_crashes),
        )
