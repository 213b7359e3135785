"""What workers and callers saw, and the promises that it has to keep."""

from __future__ import annotations

from attrs import define, field, frozen


@frozen
class TaskSpecification:
    """What a submitted task takes and waits for."""

    cpu_millis: int
    predecessors: tuple[str, ...]


@define
class Observer:
    """Collects what breaks a promise; nothing is forgotten."""

    specifications: dict[str, TaskSpecification] = field(factory=dict)
    running_workers: dict[str, set[str]] = field(factory=dict)
    started_jobs: set[str] = field(factory=set)
    succeeded_tasks: set[str] = field(factory=set)
    acknowledged_tasks: set[str] = field(factory=set)
    refused_jobs: set[str] = field(factory=set)
    cancel_times_s: dict[str, float] = field(factory=dict)
    problems: list[str] = field(factory=list)
    start_count: int = 0

    def record_start(
        self,
        task_name: str,
        worker_id: str,
        used_cpu_millis: int,
        capacity_cpu_millis: int,
        now_s: float,
    ) -> None:
        """Check a start; `used_millis` counts what the worker already runs."""
        self.start_count += 1
        job_id = task_name.partition(".")[0]
        specification = self.specifications.get(task_name)
        if specification is None:
            self._add_problem(f"{task_name} was started and nobody asked for it")
            return
        worker_ids = self.running_workers.setdefault(task_name, set())
        if worker_ids:
            self._add_problem(
                f"{task_name} runs on {worker_id} and on {sorted(worker_ids)}"
            )
        if task_name in self.acknowledged_tasks:
            self._add_problem(
                f"{task_name} was started again after its end was acknowledged"
            )
        if used_cpu_millis + specification.cpu_millis > capacity_cpu_millis:
            self._add_problem(
                f"{worker_id} has {used_cpu_millis} and takes {specification.cpu_millis}"
            )
        unfinished_tasks = [
            predecessor
            for predecessor in specification.predecessors
            if predecessor not in self.succeeded_tasks
        ]
        if unfinished_tasks:
            self._add_problem(f"{task_name} was started before {unfinished_tasks}")
        cancelled_s = self.cancel_times_s.get(job_id)
        if cancelled_s is not None and now_s - cancelled_s > CANCEL_GRACE_S:
            self._add_problem(
                f"{task_name} was started {now_s - cancelled_s:.1f} s after its cancel"
            )
        worker_ids.add(worker_id)
        self.started_jobs.add(job_id)

    def record_end(self, task_name: str, worker_id: str, has_succeeded: bool) -> None:
        """Note that a run has ended, however it did."""
        self.running_workers.get(task_name, set()).discard(worker_id)
        if has_succeeded:
            self.succeeded_tasks.add(task_name)

    def check_reported_state(self, job_id: str, state: str) -> None:
        """Check what a caller was told of a job."""
        task_names = [
            task_name
            for task_name in self.specifications
            if task_name.startswith(f"{job_id}.")
        ]
        if state == "completed" and not self.succeeded_tasks.issuperset(task_names):
            self._add_problem(f"{job_id} was told as completed and is not")

    def check_refused_jobs(self) -> None:
        """Check that what was refused did not run."""
        for job_id in self.refused_jobs & self.started_jobs:
            self._add_problem(f"{job_id} was refused by every try and ran")

    def _add_problem(self, problem: str) -> None:
        self.problems.append(problem)


CANCEL_GRACE_S = 6.0
"""Seconds after an acknowledged cancel in which a start is allowed: 3 s in calm
times by contract, and the 3 s after a disturbance in which it does not hold."""
