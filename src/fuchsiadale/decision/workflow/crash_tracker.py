"""Finds tasks that crash the workers which start them, and gives their jobs up.

A crash of a worker is certain once a later incarnation of it answers or another worker
is registered at its address. A worker that is only silent, or that is registered again,
may have been cut off, which is nobody's fault.

A crash counts against the runs that had just started. It counts against none if another
worker was lost at the same moment though nothing had just started there: then the cause
lies outside. Such a loss may be noticed after the crash. So a crash counts at once, and
its tasks start alone, but no job is given up before that time is over.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from attrs import evolve

from fuchsiadale.decision.workflow.attempts import LateCrash
from fuchsiadale.decision.workflow.crash_limits import (
    MAX_EXCUSED_CRASHES,
    must_be_given_up,
)
from fuchsiadale.decision.workflow.crash_suspects import (
    CrashSuspect,
    CrashTiming,
    WorkerCrash,
    estimate_earliest_loss_s,
    estimate_loss_s,
    find_crash_suspects,
)
from fuchsiadale.decision.workflow.jobs import JobState, Run, Task
from fuchsiadale.decision.workflow.messages import WorkerState
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.run_tracker import RunTracker
from fuchsiadale.decision.workflow.tracked_worker import RunKey, TrackedWorker
from fuchsiadale.decision.workflow.worker_losses import (
    LOSS_MEMORY_S,
    MAX_NOTICING_S,
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
        loss = worker.loss
        absence_s = 0.0 if loss is None else now_s - loss.lost_s
        # A long absence still points to a cause outside.
        if loss and not worker.has_crashed and absence_s < LONG_ABSENCE_S:
            self._losses.discard(worker.entry.worker_id)
            self._judge_excused_crashes(loss)
        worker.loss = None
        worker.has_crashed = False
        worker.crash_suspects = ()
        worker.has_drained = False

    def _note_contact_lost(
        self, worker: TrackedWorker, is_silent: bool = False
    ) -> None:
        """Keep the runs that have crashed a worker, if it turns out to have crashed.

        Parameters
        ----------
        worker : TrackedWorker
            The worker that ceased to answer.
        is_silent : bool
            Whether its connection did not end, so that it may have been lost long ago.
        """
        if worker.loss is not None:
            return
        runs, contact_s = worker.runs.values(), worker.last_contact_s
        lost_s = estimate_loss_s(runs, self.clock.now(), contact_s)
        since_s = lost_s
        if is_silent:
            since_s = estimate_earliest_loss_s(runs, lost_s, contact_s)
        earliest_s = min(since_s, self._losses.earliest_loss_s(lost_s))
        suspects = find_crash_suspects(runs, lost_s, contact_s, earliest_s)
        worker.crash_suspects = suspects
        has_fresh_run = any(suspect.is_fresh for suspect in suspects)
        loss = WorkerLoss(worker.entry.worker_id, since_s, lost_s, has_fresh_run)
        worker.loss = loss
        is_draining = worker.entry.state is WorkerState.DRAINING
        if worker.reported_s is not None and not is_draining:
            self._losses.add(loss)
            if not has_fresh_run:
                self._take_back_crashes(loss)

    def _note_lease_lapsed(self, worker: TrackedWorker) -> None:
        """Note that the runs of a silent worker have ended, whether it crashed or not.

        If it turns out to have restarted, that may have been after their end.
        """
        self._note_contact_lost(worker)
        worker.crash_suspects = tuple(
            evolve(suspect, has_lapsed=True) for suspect in worker.crash_suspects
        )

    def _note_running(self, run: Run) -> None:
        """Note that a run is at work; one that goes on does not crash its worker."""
        if run.has_outlived_start or not run.has_outlived(self.clock.now()):
            return
        run.has_outlived_start = True
        task = run.task
        task.last_survivor = max(task.last_survivor, run.number)
        if task.is_suspect:
            task.crashes = task.crashes.without_crashes_up_to(run.number)
            self.unrecorded_jobs.add(task.step.job.record.job_id)

    def _note_end_reported(self, run: Run) -> None:
        """Note that a worker lists the end of a run, under which it has not crashed."""
        self._excused_crashes = [
            crash.without_suspect(run) for crash in self._excused_crashes
        ]
        self._recent_crashes = [
            crash.without_suspect(run) for crash in self._recent_crashes
        ]
        self._clear_crash(run)

    def _clear_crash(self, run: Run) -> None:
        """Remove the crash that was put down to a run, if one was."""
        task = run.task
        crashes = task.crashes.without_crash(run.number)
        if crashes != task.crashes:
            task.crashes = crashes
            self.unrecorded_jobs.add(task.step.job.record.job_id)

    def _remember_gone_worker(self, worker: TrackedWorker) -> None:
        """Keep a worker that is no longer tracked until its crash may be confirmed."""
        address = worker.entry.address
        if any(other.entry.address == address for other in self.workers.values()):
            self._note_crash(worker)
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
                self._note_crash(gone)

    def _is_lost_lately(self, worker: TrackedWorker) -> bool:
        """Tell whether a worker was lost so late that a crash may still be found."""
        oldest_s = self.clock.now() - GONE_WORKER_MEMORY_S
        return worker.loss is not None and worker.loss.lost_s > oldest_s

    def _note_crash(
        self, worker: TrackedWorker, survivors: Collection[RunKey] = ()
    ) -> None:
        """Note a certain crash, and count it for its suspects if they may be the cause.

        Parameters
        ----------
        worker : TrackedWorker
            The worker that crashed, unless it was about to leave.
        survivors : collection of (TaskName, int)
            Runs that are present after the crash, and so have started since.
        """
        suspects = [
            suspect
            for suspect in worker.crash_suspects
            if (suspect.run.task.name, suspect.run.number) not in survivors
        ]
        worker.crash_suspects = ()
        worker.has_crashed = True
        if worker.has_drained or worker.entry.state is WorkerState.DRAINING:
            return
        if suspects:
            # It is not known when a worker was lost that never answered this owner.
            loss = None if worker.reported_s is None else worker.loss
            entry = worker.entry
            crash = WorkerCrash(entry.worker_id, entry.address, loss, tuple(suspects))
            unexplained = self._find_unexplained_losses(crash)
            if unexplained:
                self._excuse_crash(crash, unexplained)
            else:
                self._judge_crash(crash)

    def _find_unexplained_losses(self, crash: WorkerCrash) -> list[WorkerLoss]:
        """Return the workers lost at the moment of a crash that no run can explain.

        If there are any, the crash says nothing about the runs of its worker.
        """
        if crash.loss is None:
            return []
        losses = self._losses.list_simultaneous(crash.loss)
        return [loss for loss in losses if not loss.has_fresh_run]

    def _excuse_crash(self, crash: WorkerCrash, unexplained: list[WorkerLoss]) -> None:
        """Keep a crash that something outside may have caused."""
        oldest_s = self.clock.now() - LOSS_MEMORY_S
        self._excused_crashes = [
            other
            for other in (*self._excused_crashes, crash)
            if other.loss is not None and other.loss.lost_s >= oldest_s
        ]
        self._record_decision(
            "crash_not_counted",
            "",
            worker=crash.worker_id,
            unexplained=[loss.worker_id for loss in unexplained],
        )
        self._count_excused_crashes()

    def _take_back_crashes(self, loss: WorkerLoss) -> None:
        """Excuse crashes that were counted before a loss of that moment was noticed."""
        taken_back = [
            crash
            for crash in self._recent_crashes
            if loss in self._find_unexplained_losses(crash)
        ]
        if not taken_back:
            return
        self._recent_crashes = [
            crash for crash in self._recent_crashes if crash not in taken_back
        ]
        # Excused crashes count again below for tasks that are still suspected.
        for crash in (*taken_back, *self._excused_crashes):
            for suspect in crash.suspects:
                self._clear_crash(suspect.run)
        for crash in taken_back:
            self._excuse_crash(crash, [loss])
        self._settle_crashes()

    def _count_excused_crashes(self) -> None:
        """Count excused crashes, as uncertain, for tasks that are suspected besides.

        Many crashes of another cause must not hide a task that crashes each worker,
        whether it is suspected before them or after.
        """
        repeated = self._find_repeated_suspects()
        for crash in self._excused_crashes:
            suspects = tuple(
                evolve(suspect, timing=CrashTiming.UNCERTAIN)
                for suspect in crash.suspects
                if suspect.is_fresh
                and (suspect.run.task.is_suspect or suspect.run.task.name in repeated)
                and suspect.run.number not in suspect.run.task.crashes.runs
            )
            if suspects:
                self._count_for_suspects(evolve(crash, suspects=suspects))

    def _find_repeated_suspects(self) -> set[TaskName]:
        """Find tasks with many crashes that only may be simultaneous with a loss."""
        counts = Counter(
            suspect.run.task.name
            for crash in self._excused_crashes
            if not self._has_loss_noticed_with(crash)
            for suspect in crash.suspects
            if suspect.is_fresh and suspect.run.number > suspect.run.task.last_survivor
        )
        return {name for name, count in counts.items() if count >= MAX_EXCUSED_CRASHES}

    def _has_loss_noticed_with(self, crash: WorkerCrash) -> bool:
        return crash.loss is not None and any(
            loss.is_noticed_with(crash.loss)
            for loss in self._find_unexplained_losses(crash)
        )

    def _judge_excused_crashes(self, loss: WorkerLoss) -> None:
        """Judge crashes again after a worker lost with them answers without a crash.

        Parameters
        ----------
        loss : WorkerLoss
            The loss of that worker, which was no crash.
        """
        oldest_s = self.clock.now() - LOSS_MEMORY_S
        excused, self._excused_crashes = self._excused_crashes, []
        unexcused = []
        for crash in excused:
            if crash.loss is None or crash.loss.lost_s < oldest_s:
                continue
            is_concerned = loss.is_simultaneous(crash.loss)
            if is_concerned and not self._find_unexplained_losses(crash):
                unexcused.append(crash)
            else:
                self._excused_crashes.append(crash)
        for crash in unexcused:
            self._judge_crash(crash)

    def _judge_crash(self, crash: WorkerCrash) -> None:
        """Count a crash that nothing outside is known to have caused."""
        if crash.loss is not None:
            self._recent_crashes.append(crash)
        self._count_for_suspects(crash)
        self._count_excused_crashes()
        self._settle_crashes()

    def _count_for_suspects(self, crash: WorkerCrash) -> None:
        """Count a crash for its suspects, and note jobs that it may end."""
        starting = [
            suspect
            for suspect in crash.suspects
            if suspect.timing is not CrashTiming.LATE
            and suspect.run.number > suspect.run.task.last_survivor
        ]
        job_ids = {suspect.run.task.name.step.job_id for suspect in starting}
        for suspect in crash.suspects:
            task = suspect.run.task
            if task.is_done or task.step.job.state.is_final:
                continue
            if suspect.timing is CrashTiming.LATE:
                is_one_job = False
                self._count_late_crash(suspect, crash)
            elif suspect in starting:
                is_one_job = len(job_ids) == 1
                self._count_crash(suspect, crash, len(starting))
            else:
                continue
            if must_be_given_up(task.crashes, is_one_job):
                self._open_verdicts[task.name] = (task, is_one_job)

    def _settle_crashes(self) -> None:
        """Give up jobs for crashes, once all losses of that moment were noticed."""
        if not self._open_verdicts and not self._recent_crashes:
            return
        oldest_s = self.clock.now() - MAX_NOTICING_S
        self._recent_crashes = [
            crash
            for crash in self._recent_crashes
            if crash.loss is not None and crash.loss.lost_s > oldest_s
        ]
        unsettled = {
            suspect.run.task.name
            for crash in self._recent_crashes
            for suspect in crash.suspects
        }
        for name, (task, is_one_job) in list(self._open_verdicts.items()):
            is_due = must_be_given_up(task.crashes, is_one_job)
            if is_due and name in unsettled:
                continue
            del self._open_verdicts[name]
            if is_due and not task.is_done and not task.step.job.state.is_final:
                self._finish_job(task.step.job, JobState.FAILED, "crashes")

    def awaits_verdict(self, task: Task) -> bool:
        """Tell whether the job of a task ends unless its last crash is excused."""
        return task.name in self._open_verdicts

    def _count_crash(
        self, suspect: CrashSuspect, crash: WorkerCrash, suspect_count: int
    ) -> None:
        task = suspect.run.task
        is_at_start = suspect.timing is CrashTiming.AT_START
        task.crashes = task.crashes.with_crash(
            suspect.run.number,
            crash.address,
            is_at_start,
            suspect.run.is_inherited,
            suspect.has_lapsed,
        )
        task.step.has_suspects = True
        self._report_crash(suspect, crash, suspect_count)

    def _count_late_crash(self, suspect: CrashSuspect, crash: WorkerCrash) -> None:
        if suspect.age_s is None:
            return
        task = suspect.run.task
        task.crashes = task.crashes.with_late_crash(
            LateCrash(suspect.run.number, crash.address, suspect.age_s)
        )
        self._report_crash(suspect, crash, 0)

    def _report_crash(
        self, suspect: CrashSuspect, crash: WorkerCrash, suspect_count: int
    ) -> None:
        run, crashes = suspect.run, suspect.run.task.crashes
        job_id = run.task.step.job.record.job_id
        self.unrecorded_jobs.add(job_id)
        age_s = suspect.age_s
        self._record_decision(
            "crash_suspected",
            job_id,
            task=str(run.task.name),
            run=run.number,
            worker=crash.worker_id,
            suspects=suspect_count,
            has_started=run.has_started,
            timing=suspect.timing.value,
            age_ms=None if age_s is None else round(1000 * age_s),
            crashes=len(crashes.addresses),
            confirmed_crashes=len(crashes.at_start),
            lapsed_crashes=len(crashes.lapsed),
            late_crashes=len(crashes.similar_late_crashes),
        )
