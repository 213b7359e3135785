"""Progress of jobs as it is recorded for a later owner."""

from __future__ import annotations

from attrs import Factory, frozen

from fuchsiadale.decision.workflow.attempts import CrashHistory, FailureCount
from fuchsiadale.decision.workflow.jobs import Job, JobState


@frozen
class JobProgress:
    """A job's progress as recorded in the store.

    All dictionaries are empty if the state is final.

    Attributes
    ----------
    state : JobState
        State of the job; a state that is not final may be outdated.
    done : dict of str to list of int
        Indices of the completed tasks, by step name.
    failures : dict of str to FailureCount
        Failed runs, by task name, or by step name for a gang.
    last_runs : dict of str to int
        Highest number of a run, by name of each task that is not completed.
    checkpoints : dict of str to str
        Last checkpoint, by task name.
    crashes : dict of str to CrashHistory
        Crashes of workers that a task may have caused, by task name.
    survivors : dict of str to int
        Highest number of a run that outlived its start, by name of each task that
        lasts.
    ended_unix_s : float
        When the job reached its final state, in Unix seconds; 0 if it has not, and in
        rows of earlier versions of the program.
    """

    state: JobState
    done: dict[str, list[int]] = Factory(dict)
    failures: dict[str, FailureCount] = Factory(dict)
    last_runs: dict[str, int] = Factory(dict)
    checkpoints: dict[str, str] = Factory(dict)
    crashes: dict[str, CrashHistory] = Factory(dict)
    ended_unix_s: float = 0.0
    survivors: dict[str, int] = Factory(dict)


def collect_progress(job: Job) -> JobProgress:
    """Return the progress of a job to record in the store."""
    done: dict[str, list[int]] = {}
    failures: dict[str, FailureCount] = {}
    last_runs: dict[str, int] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, CrashHistory] = {}
    survivors: dict[str, int] = {}
    if not job.state.is_final:
        for step in job.steps.values():
            indices = [task.index for task in step.tasks if task.is_done]
            if indices:
                done[str(step.name)] = indices
            if step.gang_failures.count:
                failures[str(step.name)] = step.gang_failures
            for task in step.tasks:
                if task.is_done:
                    continue
                if task.failures.count:
                    failures[str(task.name)] = task.failures
                if task.last_run:
                    last_runs[str(task.name)] = task.last_run
                if task.checkpoint:
                    checkpoints[str(task.name)] = task.checkpoint
                if task.crashes != CrashHistory():
                    crashes[str(task.name)] = task.crashes
                if task.last_survivor and step.specification.is_lasting:
                    survivors[str(task.name)] = task.last_survivor
    ended_unix_s = 0.0
    if job.state.is_final and job.ended_s is not None:
        ended_unix_s = job.record.accepted_s + job.ended_s - job.arrived_s
    return JobProgress(
        job.state,
        done,
        failures,
        last_runs,
        checkpoints,
        crashes,
        ended_unix_s,
        survivors,
    )


def restore_progress(job: Job, progress: JobProgress) -> None:
    """Set the state of a new job from its recorded progress."""
    job.state = progress.state
    job.recorded_state = progress.state
    if progress.state.is_final:
        for step in job.steps.values():
            step.waiting_tasks.clear()
        return
    for step in job.steps.values():
        step_name = str(step.name)
        for index in progress.done.get(step_name, ()):
            step.tasks[index].is_done = True
            step.waiting_tasks.pop(index, None)
            step.done_count += 1
        step.gang_failures = progress.failures.get(step_name, FailureCount())
        for task in step.tasks:
            task_name = str(task.name)
            task.failures = progress.failures.get(task_name, FailureCount())
            task.last_run = progress.last_runs.get(task_name, 0)
            task.checkpoint = progress.checkpoints.get(task_name, "")
            task.crashes = progress.crashes.get(task_name, CrashHistory())
            task.last_survivor = progress.survivors.get(task_name, 0)
            step.has_suspects = step.has_suspects or task.is_suspect
