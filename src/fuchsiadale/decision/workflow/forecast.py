"""Predicts how long jobs still take and the deadlines by their objectives.

The objective of a job is a bound on its duration: the stretch of its queue times the
critical path of its steps, plus the slack of the queue. The critical path is the
longest chain of dependent work. For the objective, a step with more tasks than a
quarter of its pool can run at once, or than the limit of its workspace allows at once,
counts as several waves in sequence.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from attrs import frozen

from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.jobs import Job, Step
from fuchsiadale.decision.workflow.placement import count_fitting_tasks
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

WAVE_SHARE = 0.25
"""Share of a pool that one wave of a step may take, by the contract with the users."""


@frozen
class _OccurrenceForecast:
    """Deadline and remaining work of an occurrence of a job.

    Attributes
    ----------
    done_tasks : int
        Number of tasks of the job that were done when the forecast was made.
    due_s : float
        Deadline of the occurrence by its objective, on the loop's clock.
    critical_path_s : float
        Length of the critical path of the work that is not done, in seconds.
    work_s : float
        Time for which the remaining work would fill the whole pool, in seconds.
    """

    done_tasks: int
    due_s: float
    critical_path_s: float
    work_s: float


class Forecast:
    """Predicts durations and deadlines.

    The workers are those at its creation; ended tasks are taken into account as they
    end.

    Parameters
    ----------
    durations : DurationModel
        The model that predicts the durations of tasks.
    workers : dict of str to list of TrackedWorker
        The workers, by pool.
    limit_of : callable
        Returns the resources that a workspace may use at once.
    """

    def __init__(
        self,
        durations: DurationModel,
        workers: dict[str, list[TrackedWorker]],
        limit_of: Callable[[str], Resources],
    ) -> None:
        self._durations = durations
        self._workers = workers
        self._limit_of = limit_of
        self._pool_places_cache: dict[tuple[str, Resources], int] = {}
        self._pool_rates: dict[str, float] = {}
        self._predicted_task_s: dict[Step, float] = {}
        self._occurrence_forecasts: dict[tuple[str, int], _OccurrenceForecast] = {}

    def predict_task_s(self, step: Step) -> float:
        """Return the expected duration of a task of a step, in seconds."""
        if step.measured_runs:
            return step.measured_runs_total_s / step.measured_runs
        predicted_s = self._predicted_task_s.get(step)
        if predicted_s is None:
            queue = step.job.record.queue
            estimated_s = step.specification.estimated_s
            predicted_s = self._durations.predict_s(queue, estimated_s)
            self._predicted_task_s[step] = predicted_s
        return predicted_s

    def due_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        """Return the objective's deadline of an occurrence, on the loop's clock."""
        return self._forecast_occurrence(job, occurrence, queue).due_s

    def remaining_critical_path_s(
        self, job: Job, occurrence: int, queue: Queue
    ) -> float:
        """Return the length of the critical path of unfinished steps, in seconds."""
        return self._forecast_occurrence(job, occurrence, queue).critical_path_s

    def remaining_work_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        """Return how long unfinished tasks would fill the whole pool, in seconds."""
        return self._forecast_occurrence(job, occurrence, queue).work_s

    def _forecast_occurrence(
        self, job: Job, occurrence: int, queue: Queue
    ) -> _OccurrenceForecast:
        key = (job.record.job_id, occurrence)
        cached = self._occurrence_forecasts.get(key)
        if cached is None or cached.done_tasks != job.done_tasks:
            total_s = self._critical_path_s(job, occurrence, queue, from_start=True)
            begins_s = job.occurrence_start_s(occurrence)
            cached = _OccurrenceForecast(
                job.done_tasks,
                begins_s + queue.stretch * total_s + queue.slack_s,
                self._critical_path_s(job, occurrence, queue, from_start=False),
                self._remaining_work_s(job, occurrence, queue),
            )
            self._occurrence_forecasts[key] = cached
        return cached

    def _remaining_work_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        work_s = 0.0
        rate = self._pool_rate(queue.pool)
        for step in job.occurrence_steps(occurrence):
            remaining_tasks = len(step.tasks) - step.done_count
            pool_places = self._count_pool_places(
                queue.pool, step.specification.charged
            )
            places = max(pool_places, 1) * rate
            work_s += remaining_tasks * self.predict_task_s(step) / places
        return work_s

    def _pool_rate(self, pool: str) -> float:
        """Return how much a pool executes now as a share of when no worker is cold."""
        rate = self._pool_rates.get(pool)
        if rate is None:
            rates = [worker.speed.cold_rate for worker in self._workers.get(pool, ())]
            rate = sum(rates) / len(rates) if rates else 1.0
            self._pool_rates[pool] = rate
        return rate

    def _critical_path_s(
        self, job: Job, occurrence: int, queue: Queue, from_start: bool
    ) -> float:
        """Return the length of the critical path of an occurrence, in seconds.

        With `from_start`, all steps count, in waves; otherwise only unfinished steps
        count, each with the duration of one task.
        """
        lengths: list[float] = []
        for step in job.occurrence_steps(occurrence):
            predecessors_s = max(
                (lengths[index] for index in step.specification.after), default=0.0
            )
            own_s = 0.0
            if from_start:
                own_s = self.predict_task_s(step) * self._count_waves(step, queue)
            elif not step.is_done:
                own_s = self.predict_task_s(step)
            lengths.append(predecessors_s + own_s)
        return max(lengths, default=0.0)

    def _count_waves(self, step: Step, queue: Queue) -> int:
        specification = step.specification
        pool_places = self._count_pool_places(queue.pool, specification.charged)
        concurrent_tasks = WAVE_SHARE * pool_places
        limit = self._limit_of(step.job.record.workspace)
        if limit != NO_LIMIT:
            concurrent_tasks = min(
                concurrent_tasks, count_fitting_tasks(limit, specification.request)
            )
        return ceil(specification.count / max(concurrent_tasks, 1.0))

    def _count_pool_places(self, pool: str, needed: Resources) -> int:
        """Return how many tasks that need `needed` each a pool can run at once."""
        key = (pool, needed)
        pool_places = self._pool_places_cache.get(key)
        if pool_places is None:
            pool_places = sum(
                count_fitting_tasks(worker.entry.capacity, needed)
                for worker in self._workers.get(pool, ())
            )
            self._pool_places_cache[key] = pool_places
        return pool_places
