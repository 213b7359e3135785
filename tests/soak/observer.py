"""Records what workers and clients observe, and checks it against guarantees."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen


@frozen
class TaskSpecification:
    """Requirements of a submitted task.

    Attributes
    ----------
    cpu_millis : int
        CPU that the task requires, in thousandths of a core.
    predecessors : tuple of str
        Names of the tasks that must succeed before the task may start.
    is_lasting : bool
        Whether the task runs until its job is cancelled, however its runs end.
    """

    cpu_millis: int
    predecessors: tuple[str, ...]
    is_lasting: bool = False


@define
class Observer:
    """Records the course of all jobs and collects violated guarantees.

    Attributes
    ----------
    specifications : dict of str to TaskSpecification
        Requirements of each submitted task, by task name.
    worker_ids_by_task : dict of str to set of str
        Ids of the workers that run each task, by task name.
    started_jobs : set of str
        Ids of the jobs of which at least one task has started.
    succeeded_tasks : set of str
        Names of the tasks that have succeeded.
    acknowledged_tasks : set of str
        Names of the tasks whose success the scheduler has acknowledged to the worker.
    refused_jobs : set of str
        Ids of the jobs for which each attempt to submit was answered with a refusal,
        so that the job must not run.
    cancel_times_s : dict of str to float
        Event loop time at which a cancel was acknowledged, in seconds, by job id.
    drained_from_s : dict of str to float
        Event loop time at which the drain of a worker's failure domain was requested,
        in seconds, by worker id; without workers whose domain is not drained.
    drain_bound_s : float
        Seconds after that from which nothing may start on the worker.
    problems : list of str
        A sentence on each violation so far.
    start_count : int
        Number of task starts that workers have recorded, allowed or not.
    max_attempts : int
        Number of failed runs of one task after which its job may be reported as failed.
    failed_run_counts : Counter of str
        Number of the runs of each task that workers have ended as failed, by task name.
    crashes : dict of str to list of str
        Worker and age of the run, for each crash of a worker that ran a task, by task
        name.
    """

    specifications: dict[str, TaskSpecification] = field(factory=dict)
    worker_ids_by_task: dict[str, set[str]] = field(factory=dict)
    started_jobs: set[str] = field(factory=set)
    succeeded_tasks: set[str] = field(factory=set)
    acknowledged_tasks: set[str] = field(factory=set)
    refused_jobs: set[str] = field(factory=set)
    cancel_times_s: dict[str, float] = field(factory=dict)
    drained_from_s: dict[str, float] = field(factory=dict)
    drain_bound_s: float = float("inf")
    problems: list[str] = field(factory=list)
    start_count: int = 0
    max_attempts: int = 1
    failed_run_counts: Counter[str] = field(factory=Counter)
    crashes: dict[str, list[str]] = field(factory=dict)
    _jobs_failed_without_cause: set[str] = field(factory=set)

    def record_start(
        self,
        task_name: str,
        worker_id: str,
        used_cpu_millis: int,
        capacity_cpu_millis: int,
        now_s: float,
    ) -> None:
        """Record the start of a task on a worker and check that it is allowed.

        Parameters
        ----------
        task_name : str
            Name of the task.
        worker_id : str
            Worker that starts the task.
        used_cpu_millis, capacity_cpu_millis : int
            CPU that the worker's other runs use and CPU that the worker has, in
            thousandths of a core.
        now_s : float
            Event loop time of the start, in seconds.
        """
        self.start_count += 1
        job_id = task_name.partition(".")[0]
        specification = self.specifications.get(task_name)
        if specification is None:
            self._add_problem(f"{task_name} was started but never submitted")
            return
        drained_s = now_s - self.drained_from_s.get(worker_id, now_s)
        if drained_s > self.drain_bound_s:
            self._add_problem(
                f"{task_name} was started on {worker_id}, whose failure domain has been"
                f" drained for {drained_s:.3f} s"
            )
        worker_ids = self.worker_ids_by_task.setdefault(task_name, set())
        if worker_ids:
            self._add_problem(
                f"{task_name} was started on {worker_id} and still runs on "
                f"{sorted(worker_ids)}"
            )
        if task_name in self.acknowledged_tasks:
            self._add_problem(
                f"{task_name} was started again after its success was acknowledged"
            )
        if used_cpu_millis + specification.cpu_millis > capacity_cpu_millis:
            self._add_problem(
                f"{worker_id} exceeds its CPU capacity (amounts in millicores): in use "
                f"{used_cpu_millis}, added {specification.cpu_millis}"
            )
        unsucceeded_predecessors = [
            predecessor
            for predecessor in specification.predecessors
            if predecessor not in self.succeeded_tasks
        ]
        if unsucceeded_predecessors:
            self._add_problem(
                f"{task_name} was started before its predecessors succeeded: "
                f"{unsucceeded_predecessors}"
            )
        cancel_time_s = self.cancel_times_s.get(job_id)
        if cancel_time_s is not None and now_s - cancel_time_s > CANCEL_GRACE_S:
            self._add_problem(
                f"{task_name} was started {now_s - cancel_time_s:.1f} s after the "
                "cancel of its job was acknowledged"
            )
        worker_ids.add(worker_id)
        self.started_jobs.add(job_id)

    def record_end(self, task_name: str, worker_id: str, has_succeeded: bool) -> None:
        """Record the end of a run of a task, successful or not."""
        self.worker_ids_by_task.get(task_name, set()).discard(worker_id)
        if has_succeeded:
            self.succeeded_tasks.add(task_name)

    def record_crash(self, task_name: str, worker_id: str, age_s: float) -> None:
        """Record that a worker crashed while it ran a task, and the age of the run."""
        crash = f"{worker_id} after {age_s:.2f} s"
        self.crashes.setdefault(task_name, []).append(crash)

    def check_reported_state(self, job_id: str, state: str) -> None:
        """Check that a state of a job that was reported to a caller is true.

        All tasks of a completed job must have succeeded, and a task of a failed job
        must have failed as often as the queue allows. Crashes of workers do not count.
        A job with a lasting task must never be reported as completed or failed.
        """
        task_names = [
            task_name
            for task_name in self.specifications
            if task_name.startswith(f"{job_id}.")
        ]
        if state == "completed" and not self.succeeded_tasks.issuperset(task_names):
            self._add_problem(
                f"{job_id} was reported as completed before all its tasks succeeded"
            )
        if state == "failed" and job_id not in self._jobs_failed_without_cause:
            self._check_failed_job(job_id, task_names)

    def check_refused_jobs(self) -> None:
        """Check that no task of a refused job has started."""
        for job_id in self.refused_jobs & self.started_jobs:
            self._add_problem(
                f"{job_id} was started although every submission was refused"
            )

    def _check_failed_job(self, job_id: str, task_names: list[str]) -> None:
        failure_counts = {name: self.failed_run_counts[name] for name in task_names}
        limited_counts = [
            count
            for name, count in failure_counts.items()
            if not self.specifications[name].is_lasting
        ]
        if max(limited_counts, default=0) >= self.max_attempts:
            return
        self._jobs_failed_without_cause.add(job_id)
        failures = {name: count for name, count in failure_counts.items() if count}
        crashes = {
            name: self.crashes[name] for name in task_names if name in self.crashes
        }
        self._add_problem(
            f"{job_id} was reported as failed though none of its limited tasks has "
            f"failed {self.max_attempts} times: failed runs {failures}, "
            f"crashes {crashes}"
        )

    def _add_problem(self, problem: str) -> None:
        self.problems.append(problem)


CANCEL_GRACE_S = 6.0
"""Seconds after an acknowledged cancel during which a task may still start: the sum
of the 3 s after which a cancel must take effect in fault-free operation by contract,
and of the 3 s after a fault during which that guarantee does not hold."""
