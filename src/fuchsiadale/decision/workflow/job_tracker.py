"""Tracks jobs from their acceptance to their expiry, and activates their steps."""

from __future__ import annotations

from fuchsiadale.decision.workflow.cell_state import CellState
from fuchsiadale.decision.workflow.job_progress import JobProgress, restore_progress
from fuchsiadale.decision.workflow.jobs import (
    Job,
    JobState,
    make_job,
)
from fuchsiadale.decision.workflow.specification import JobRecord

EARLY_CANCELLATION_S = 60.0
"""Seconds for which a job that is not known stays cancelled.

The store may perform a write whose answer was lost some seconds later, and a caller may
repeat one for as long as it waits for a job.
"""

TASK_RETENTION_S = 30.0
"""Seconds for which the tasks of a job that has ended are kept.

Callers only ask for its state. Leases on lost workers end sooner, so that no worker is
found to run a task of the job later.
"""


class JobTracker(CellState):
    """Tracks the jobs of a cell from their acceptance until they expire."""

    def accept(self, record: JobRecord, now_unix_s: float) -> None:
        """Add an accepted job; a job that is already known stays unchanged.

        A job that has expired is not run again as long as the store lists it.
        """
        if record.job_id in self.jobs or record.job_id in self.expired_jobs:
            return
        job = make_job(record)
        self._add_job(job, now_unix_s)
        self._activate_ready_steps(job, now_unix_s)
        queue = self.queue_of(job)
        specification = record.specification
        self._record_decision(
            "job_accepted",
            record.job_id,
            queue=record.queue,
            workspace=record.workspace,
            priority=queue.priority if queue else None,
            tasks=[step.count for step in specification.steps],
            chain_s=round(specification.critical_path_s, 3),
            due_in_s=round(self._time_until_due_s(job), 3),
            is_excess=job.exceeds_rate,
            is_filler=any(step.is_filler for step in specification.steps),
            target_s=max(step.target_s for step in specification.steps),
        )
        if self.early_cancellations.pop(record.job_id, None) is not None:
            self.cancel(record.job_id)

    def recover(
        self, record: JobRecord, progress: JobProgress | None, now_unix_s: float
    ) -> None:
        """Add a stored job that an earlier owner may have started."""
        job = make_job(record)
        if progress is not None:
            restore_progress(job, progress)
        self._add_job(job, now_unix_s)
        if job.state.is_final:
            job.ended_s = now = self.clock.now()
            if progress is not None and progress.ended_unix_s:
                job.ended_s = min(now, now - now_unix_s + progress.ended_unix_s)
        else:
            self._activate_ready_steps(job, now_unix_s)

    def cancel(self, job_id: str) -> None:
        """Cancel a job at its caller's request, now or when it becomes known."""
        self.expired_cancellations.discard(job_id)
        job = self.jobs.get(job_id)
        if job is None and job_id not in self.expired_jobs:
            self.early_cancellations.setdefault(job_id, self.clock.now())
        if job is None or job.is_cancelled:
            return
        job.is_cancelled = True
        if not job.state.is_final:
            self._finish_job(job, JobState.CANCELLED)

    def expire_jobs(self, retention_s: float) -> None:
        """Remove jobs that ended longer ago than the retention time.

        A job stays until its progress is recorded and none of its runs may be present
        on a worker. From `TASK_RETENTION_S` on it stays without its tasks.

        Parameters
        ----------
        retention_s : float
            Seconds after a job's end in which callers can query its state.
        """
        now = self.clock.now()
        ended = [
            job
            for job in self.jobs.values()
            if job.recorded_state.is_final
            and job.record.job_id not in self.unrecorded_jobs
            and job.ended_s is not None
            and now - job.ended_s > min(retention_s, TASK_RETENTION_S)
            and not any(task.runs for task in job.tasks())
        ]
        for job in ended:
            job.drop_tasks()
            if job.ended_s is not None and now - job.ended_s > retention_s:
                del self.jobs[job.record.job_id]
                self.expired_jobs[job.record.job_id] = job

    def expire_cancellations(self) -> None:
        """Let go of cancellations whose jobs have not become known in time."""
        until_s = self.clock.now() - EARLY_CANCELLATION_S
        for job_id, learned_s in list(self.early_cancellations.items()):
            if learned_s < until_s:
                del self.early_cancellations[job_id]
                self.expired_cancellations.add(job_id)

    def count_pending(self) -> dict[str, int]:
        """Return the number of accepted jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if job.reported_state is JobState.QUEUED:
                queue = job.record.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def activate_due_steps(self, now_unix_s: float) -> None:
        """Activate steps of scheduled jobs whose occurrences have become due."""
        for job in self.jobs.values():
            if job.record.specification.schedule and not job.state.is_final:
                self._activate_ready_steps(job, now_unix_s)

    def report_blocked_jobs(self) -> None:
        """Log once each waiting job whose queue or pool is not known.

        No plan considers the steps of such a job.
        """
        pools = {worker.entry.pool for worker in self.workers.values()}
        for step in self.active_steps.values():
            job = step.job
            if job.is_reported_blocked or not step.waiting_tasks:
                continue
            queue = self.queue_of(job)
            if queue is None or queue.pool not in pools:
                job.is_reported_blocked = True
                self._record_decision(
                    "job_blocked",
                    job.record.job_id,
                    queue=job.record.queue,
                    pool=None if queue is None else queue.pool,
                    reason="queue_unknown" if queue is None else "no_worker_in_pool",
                )

    def _add_job(self, job: Job, now_unix_s: float) -> None:
        record = job.record
        now = self.clock.now()
        age_s = now_unix_s - record.accepted_s
        workspace = self.configuration.workspace(record.workspace)
        job.arrived_s = now - age_s
        if workspace is not None:
            weight = workspace.weight
            job.exceeds_rate = self._rate_limiter.exceeds_rate(
                record.workspace, weight, min(job.arrived_s, now)
            )
        if record.workspace_limit is not None:
            self._stored_limits[record.workspace] = record.workspace_limit
        self.jobs[record.job_id] = job

    def _time_until_due_s(self, job: Job) -> float:
        queue = self.queue_of(job)
        if queue is None:
            return 0.0
        return self.forecast().due_s(job, 0, queue) - self.clock.now()

    def _activate_ready_steps(self, job: Job, now_unix_s: float) -> None:
        schedule = job.record.specification.schedule
        for step in job.steps.values():
            if step.name in self.active_steps or step.is_done:
                continue
            if schedule and now_unix_s < schedule.due_s(step.name.occurrence):
                continue
            if job.predecessors_are_done(step):
                self.active_steps[step.name] = step

    def _finish_job(self, job: Job, state: JobState, reason: str = "") -> None:
        job.state = state
        job.ended_s = self.clock.now()
        self.unrecorded_jobs.add(job.record.job_id)
        for step in job.steps.values():
            self.active_steps.pop(step.name, None)
            if state is JobState.COMPLETED:
                # The members of a gang have all ended once one has; their workers are
                # about to report it. See `check_timeouts` for those that do not.
                continue
            for task in step.tasks:
                for run in task.runs:
                    self._stop_run(run, state.value)
        self._record_decision(
            "job_ended", job.record.job_id, state=state.value, reason=reason
        )
