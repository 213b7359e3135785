"""Finds tasks that crash the workers which start them, and gives their jobs up.

A crash of a worker is certain once a later incarnation of it answers or another worker
is registered at its address. A worker that is only silent may be cut off, which is
nobody's fault.
"""

from __future__ import annotations

from collections.abc import Collection

from fuchsiadale.decision.workflow.jobs import JobState, Run, Task
from fuchsiadale.decision.workflow.messages import WorkerEntry, WorkerState
from fuchsiadale.decision.workflow.run_tracker import RunTracker
from fuchsiadale.decision.workflow.tracked_worker import RunKey, TrackedWorker
from fuchsiadale.decision.workflow.worker_losses import WorkerLoss

MIN_CRASHED_WORKERS = 2
"""Workers that crashed under a started run of a task, from which its job is given up
if only its tasks can be the cause.
"""

MAX_CRASHED_WORKERS = 3
"""Workers that crashed so from which the job is given up in any case."""

MAX_CRASHES = 4
"""Crashes from which it is given up even if the same worker crashed each time, or if no
run of the task is known to have started: one that crashes its worker at once never is.
"""

GONE_WORKER_MEMORY_S = 30.0
"""Seconds in which a worker that is gone may still be found to have crashed."""


class CrashTracker(RunTracker):
    """Counts the crashes of workers that each task may have caused."""

    def _note_contact(self, worker: TrackedWorker) -> None:
        """Note that the same incarnation of a worker has answered."""
        worker.last_contact_s = self.clock.now()
        worker.lost_s = None
        worker.crash_suspects = ()
        worker.has_drained = False

    def _note_contact_lost(self, worker: TrackedWorker) -> None:
        """Keep the runs that have crashed a worker, if it turns out to have crashed."""
        if worker.lost_s is None:
            worker.lost_s = self.clock.now()
            self._losses.add(WorkerLoss(worker.entry.worker_id, worker.lost_s))
        if not worker.crash_suspects:
            worker.crash_suspects = worker.find_crash_suspects()

    def _remember_gone_worker(self, worker: TrackedWorker) -> None:
        """Keep a worker that is no longer tracked until its crash may be confirmed."""
        address = worker.entry.address
        if any(other.entry.address == address for other in self.workers.values()):
            self._note_crash(worker)
        elif worker.crash_suspects:
            self._gone_workers[address] = worker

    def _confirm_crash_of_predecessor(self, entry: WorkerEntry) -> None:
        """Note that a new worker is registered, perhaps at the address of a former."""
        gone = self._gone_workers.pop(entry.address, None)
        if gone is None or gone.unresponsive_since_s is None:
            return
        if self.clock.now() - gone.unresponsive_since_s < GONE_WORKER_MEMORY_S:
            self._note_crash(gone)

    def _note_crash(
        self, worker: TrackedWorker, survivors: Collection[RunKey] = ()
    ) -> None:
        """Count a crash for its suspects, and give up the job that has caused it.

        Parameters
        ----------
        worker : TrackedWorker
            The worker that crashed, unless it was about to leave.
        survivors : collection of (TaskName, int)
            Runs that are present after the crash, and so have started since.
        """
        suspects = [
            run
            for run in worker.crash_suspects
            if (run.task.name, run.number) not in survivors
        ]
        worker.crash_suspects = ()
        if worker.has_drained or worker.entry.state is WorkerState.DRAINING:
            return
        is_one_job = len({run.task.name.step.job_id for run in suspects}) == 1
        for run in suspects:
            if not run.task.is_done and not run.task.step.job.state.is_final:
                self._count_crash(run, worker, len(suspects))
                if _must_be_given_up(run.task, is_one_job):
                    self._finish_job(run.task.step.job, JobState.FAILED, "crashes")

    def _count_crash(self, run: Run, worker: TrackedWorker, suspect_count: int) -> None:
        task = run.task
        address = worker.entry.address
        task.crashes = task.crashes.with_crash(run.number, address, run.has_started)
        task.step.has_suspects = True
        job_id = task.step.job.record.job_id
        lost_s = self.clock.now() if worker.lost_s is None else worker.lost_s
        simultaneous = self._losses.list_simultaneous(worker.entry.worker_id, lost_s)
        self.unrecorded_jobs.add(job_id)
        self._record_decision(
            "crash_suspected",
            job_id,
            task=str(task.name),
            run=run.number,
            worker=worker.entry.worker_id,
            suspects=suspect_count,
            has_started=run.has_started,
            **_describe_loss(run, worker),
            lost_together=len(simultaneous),
            crashes=len(task.crashes.addresses),
            confirmed_crashes=len(task.crashes.confirmed_runs),
        )


def _describe_loss(run: Run, worker: TrackedWorker) -> dict[str, object]:
    """Return the age of a run when its worker was lost, and when last known at work."""
    if run.confirmed_s is None or worker.lost_s is None:
        return {}
    seen_s = max(worker.last_contact_s - run.confirmed_s, 0.0)
    return {
        "age_ms": round(1000 * (worker.lost_s - run.confirmed_s)),
        "seen_ms": round(1000 * seen_s),
    }


def _must_be_given_up(task: Task, is_one_job: bool) -> bool:
    """Tell whether a task has crashed so many workers that its job has to end."""
    confirmed = task.crashes.confirmed_addresses
    crashed_workers = len(set(confirmed))
    return (
        (is_one_job and crashed_workers >= MIN_CRASHED_WORKERS)
        or crashed_workers >= MAX_CRASHED_WORKERS
        or len(task.crashes.runs) >= MAX_CRASHES
    )
