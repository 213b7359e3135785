"""Resources, runs, reachability and reliability of a worker."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.jobs import Run, Task
from fuchsiadale.decision.workflow.messages import WorkerEntry, WorkerState
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.run_ends import RunEnd
from fuchsiadale.decision.workflow.worker_incarnation import WorkerIncarnation
from fuchsiadale.decision.workflow.worker_leases import WorkerLeases
from fuchsiadale.decision.workflow.worker_speeds import WorkerSpeed

FAILURE_WEIGHT = 0.3
"""Weight of the newest outcome in a worker's failure score.

The score is a moving average in which about the last three outcomes count.
"""

QUARANTINE_SCORE = 0.6
"""Failure score that quarantines a worker; three failed jobs in a row reach it."""

QUARANTINE_S = 4.0
"""Seconds for which a failing worker is quarantined.

A gray failure, in which a worker answers but its runs fail, lasts about 4 s.
"""

MAX_CLOCK_DRIFT = 0.02
"""Fraction by which a worker's clock may run slow, by the platform's contract."""

RunKey = tuple[TaskName, int]


@define(eq=False)
class TrackedWorker(WorkerIncarnation):
    """A worker with its free resources and the runs that may be present on it.

    Times in seconds are on the event loop's clock.

    Attributes
    ----------
    free : Resources
        Capacity that is not reserved by runs that may be present.
    runs : dict of (TaskName, int) to Run
        Runs that may be present on the worker, by task and number of the run.
    is_listed : bool
        Whether the worker is still registered.
    is_adopted : bool
        Whether it has answered this owner since it was last considered lost.
    is_recorded : bool
        Whether the worker is in the store, where a later owner would find it.
    unresponsive_since_s : float or None
        When the worker stopped answering; None while it answers.
    reported_s : float or None
        When the worker's last report arrived; None before its first report.
    reports_ends_late : bool
        Whether runs in the last report may have ended long before it arrived.
    timely_report_s : float
        When the last report arrived that was not read late; 0 before the first.
    earliest_departure_s : float or None
        When a draining worker may leave, by the last change of `remaining_s`.
    leases : WorkerLeases
        Leases that the worker may hold.
    last_processed_end : int
        Sequence number of the last end of that incarnation that was processed.
    failure_score : float
        Moving average of outcomes, where a failed or stalled run, or a start refused
        as NO_ROOM or UNHEALTHY, counts as 1, and a completed run as 0.
    speed : WorkerSpeed
        How much longer than usual runs take on it.
    quarantined_until_s : float
        Until when no new tasks are placed on the worker because of its failures.
    last_failed_job : str
        Id of the job whose failure was last counted; empty if none.
    unknown_job_runs : int
        Number of runs of unknown jobs on the worker; their resources are unknown too.
    unknown_job_runs_since_s : float or None
        When such runs were first reported; None if there are none.
    last_contact_s : float
        When the worker last answered a call.
    lost_s : float or None
        When the worker ceased to answer, or was found to have restarted; None once it
        has answered.
    has_crashed : bool
        Whether it was found to have crashed since it last answered.
    run_ends : tuple of RunEnd
        What is known of its runs since it ceased to answer.
    has_drained : bool
        Whether the registration has ceased to be a draining one since the worker last
        answered, which it does once the worker restarts as planned.
    isolated_for : str
        Id of the only job of which tasks may start on the worker, because one that may
        crash workers is to start or has just started there; empty for none.
    revocable_runs : dict of (TaskName, int) to Run
        Those of its runs that may be stopped for a more urgent step.
    """

    free: Resources = NO_RESOURCES
    runs: dict[RunKey, Run] = Factory(dict)
    is_listed: bool = True
    is_adopted: bool = False
    is_recorded: bool = False
    unresponsive_since_s: float | None = None
    reported_s: float | None = None
    reports_ends_late: bool = False
    timely_report_s: float = 0.0
    earliest_departure_s: float | None = None
    leases: WorkerLeases = Factory(WorkerLeases)
    last_processed_end: int = 0
    failure_score: float = 0.0
    speed: WorkerSpeed = Factory(WorkerSpeed)
    quarantined_until_s: float = 0.0
    last_failed_job: str = ""
    _state_before_refusals: tuple[float, float, str] | None = None
    _refused_tasks: list[Task] = Factory(list)
    unknown_job_runs: int = 0
    unknown_job_runs_since_s: float | None = None
    last_contact_s: float = 0.0
    lost_s: float | None = None
    has_crashed: bool = False
    run_ends: tuple[RunEnd, ...] = ()
    has_drained: bool = False
    isolated_for: str = ""
    revocable_runs: dict[RunKey, Run] = Factory(dict)
    _isolated_until_s: float = 0.0
    _suspect_runs: dict[RunKey, Run] = Factory(dict)
    _recorded_runs: set[RunKey] = Factory(set)
    _recorded_started_ms: int = 0
    # Differences between the stored list of runs and `runs`, in either direction. A
    # commit looks at every worker, so these are not computed there.
    _unrecorded_runs: set[RunKey] = Factory(set)
    _removed_recorded_runs: set[RunKey] = Factory(set)

    def __attrs_post_init__(self) -> None:
        """Set the free resources to the whole capacity."""
        self.free = self.entry.capacity

    @property
    def slowdown(self) -> float:
        """Ratio of actual to expected run durations, without the time it is cold."""
        return self.speed.slowdown

    @property
    def is_unavailable(self) -> bool:
        """Whether the worker is draining or does not answer."""
        is_draining = self.entry.state is WorkerState.DRAINING
        return is_draining or self.unresponsive_since_s is not None

    @property
    def is_record_stale(self) -> bool:
        """Whether the store lists other runs, or an earlier incarnation or lease."""
        return (
            self.is_record_awaited
            or bool(self._removed_recorded_runs)
            or self._recorded_started_ms not in (0, self.started_ms)
            or self.leases.is_record_stale
        )

    @property
    def is_record_awaited(self) -> bool:
        """Whether the worker, or a run to start on it, still has to be recorded.

        Unlike `is_record_stale`, ignores ended runs that the store still lists, and the
        incarnation.
        """
        return not self.is_recorded or bool(self._unrecorded_runs)

    def note_recorded(
        self, runs: Iterable[RunKey], started_ms: int = 0, misdated_end_s: float = 0.0
    ) -> None:
        """Note what the store lists of the worker.

        Parameters
        ----------
        runs : iterable of (TaskName, int)
            Runs that may be present on the worker.
        started_ms : int, default=0
            Start of its incarnation, in Unix milliseconds; 0 if it is not known.
        misdated_end_s : float, default=0
            When its misdated leases end by what the store tells; 0 for none.
        """
        self.leases.note_recorded(misdated_end_s)
        self.is_recorded = True
        self._recorded_started_ms = started_ms
        self._recorded_runs = set(runs)
        self._unrecorded_runs = self.runs.keys() - self._recorded_runs
        self._removed_recorded_runs = self._recorded_runs - self.runs.keys()

    def has_recorded(self, task: TaskName, run: int) -> bool:
        """Return whether the store lists a run, so that a later owner finds it."""
        return self.is_recorded and (task, run) in self._recorded_runs

    def is_usable(self, now_s: float) -> bool:
        """Return whether new tasks may be placed on the worker."""
        if self.quarantined_until_s > now_s:
            return False
        return (
            self.is_adopted
            and not self.unknown_job_runs
            and self.is_recorded
            and self.is_listed
            and self.is_registered(now_s)
            and not self.is_unavailable
        )

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        key = (run.task.name, run.number)
        self.runs[key] = run
        if run.revocable_priority is not None:
            self.revocable_runs[key] = run
        if key in self._recorded_runs:
            self._removed_recorded_runs.discard(key)
        else:
            self._unrecorded_runs.add(key)
        if run.task.is_suspect:
            self._suspect_runs[key] = run
            self.isolated_for = run.task.name.step.job_id
        self.free = self.free - run.task.step.specification.charged

    def remove_run(self, run: Run) -> None:
        """Remove a run that has certainly ended and release its resources."""
        key = (run.task.name, run.number)
        if self.runs.pop(key, None) is not None:
            self._suspect_runs.pop(key, None)
            self.revocable_runs.pop(key, None)
            self._unrecorded_runs.discard(key)
            if key in self._recorded_runs:
                self._removed_recorded_runs.add(key)
            self.free = self.free + run.task.step.specification.charged

    def isolate(self, job_id: str, until_s: float) -> None:
        """Let only tasks of one job start on the worker until a time."""
        self.isolated_for = job_id
        self._isolated_until_s = until_s

    def update_isolation(self, now_s: float) -> None:
        """End the isolation once its time is over and suspect runs have lasted."""
        if self.isolated_for and now_s >= self._isolated_until_s:
            unproven = (r for r in self._suspect_runs.values() if r.is_recent(now_s))
            run = next(unproven, None)
            self.isolated_for = "" if run is None else run.task.name.step.job_id

    def has_recent_start(self, now_s: float, except_job: str) -> bool:
        """Return whether a run of another job has just started on the worker."""
        return any(
            run.is_recent(now_s) and run.task.name.step.job_id != except_job
            for run in self.runs.values()
        )

    def update_entry(self, entry: WorkerEntry, now_s: float) -> None:
        """Replace the registration by a newer one."""
        if entry.remaining_s is None:
            self.earliest_departure_s = None
        elif (
            entry.remaining_s != self.entry.remaining_s
            or self.earliest_departure_s is None
        ):
            self.earliest_departure_s = now_s + entry.remaining_s
        if entry.capacity != self.entry.capacity:
            self.free = self.free + (entry.capacity - self.entry.capacity)
        if (
            self.entry.state is WorkerState.DRAINING
            and entry.state is WorkerState.READY
        ):
            self.has_drained = True
        if entry.labels != self.entry.labels:
            # Another machine has taken the id, of which nothing was measured.
            self.failure_score, self.speed = 0.0, WorkerSpeed()
            self.quarantined_until_s, self.last_failed_job = 0.0, ""
            self._state_before_refusals = None
        self.entry = entry
        self.is_listed = True
        self.note_cold(now_s)

    def note_cold(self, now_s: float) -> None:
        """Note for how much longer the worker is cold by a registration just read."""
        entry = self.entry
        self.speed.note_registration(entry.started_ms, entry.cold_remaining_s, now_s)

    def resume(self, former: TrackedWorker) -> None:
        """Take over what is known of the worker from when it was tracked before.

        Whether it has restarted since is found as for a worker that was only silent.
        """
        self.started_ms, self.restarted_s = former.started_ms, former.restarted_s
        self.leases.resume(former.leases)
        self.reported_s = former.reported_s
        self.unresponsive_since_s = former.unresponsive_since_s
        self.failure_score = former.failure_score
        self.speed.slowdown = former.speed.slowdown
        self.quarantined_until_s = former.quarantined_until_s
        self.last_failed_job = former.last_failed_job
        self._state_before_refusals = former._state_before_refusals
        self._refused_tasks = former._refused_tasks
        self.last_contact_s = former.last_contact_s
        self.lost_s = former.lost_s
        self.has_crashed = former.has_crashed
        self.run_ends = former.run_ends
        was_draining = former.entry.state is WorkerState.DRAINING
        is_ready = self.entry.state is WorkerState.READY
        self.has_drained = former.has_drained or (was_draining and is_ready)

    def note_duration(self, ran_s: float, expected_s: float) -> None:
        """Update the slowdown from a run whose duration covers the whole task."""
        self.speed.note_duration(ran_s, expected_s)

    def note_success(self) -> None:
        """Lower the failure score and end the quarantine after a completed run."""
        self.failure_score *= 1.0 - FAILURE_WEIGHT
        self.quarantined_until_s = 0.0

    def note_failure(self, job_id: str, now_s: float) -> bool:
        """Raise the failure score; consecutive failures of one job count once.

        Parameters
        ----------
        job_id : str
            Id of the job whose run failed.
        now_s : float
            The time on the event loop's clock.

        Returns
        -------
        is_quarantined : bool
            Whether this failure starts or extends a quarantine.
        """
        if job_id == self.last_failed_job:
            return False
        self.last_failed_job = job_id
        decayed_score = self.failure_score * (1.0 - FAILURE_WEIGHT)
        self.failure_score = decayed_score + FAILURE_WEIGHT
        if self.failure_score < QUARANTINE_SCORE:
            return False
        self.quarantined_until_s = now_s + QUARANTINE_S
        return True

    def note_refusal(self, task: Task, now_s: float) -> None:
        """Note a failure: a start was refused, or could not be delivered."""
        if self.entry.worker_id not in task.failed_on:
            task.failed_on.add(self.entry.worker_id)
            self._refused_tasks.append(task)
        if self._state_before_refusals is None:
            self._state_before_refusals = (
                self.failure_score,
                self.quarantined_until_s,
                self.last_failed_job,
            )
        self.note_failure(task.name.step.job_id, now_s)

    def note_answer(self) -> bool:
        """Note that the worker has answered; return whether it had ceased to.

        If so, starts since its last answer were not delivered for the same cause, and
        do not count as failures.
        """
        was_unresponsive = self.unresponsive_since_s is not None
        self.unresponsive_since_s = None
        if was_unresponsive and self._state_before_refusals is not None:
            (
                self.failure_score,
                self.quarantined_until_s,
                self.last_failed_job,
            ) = self._state_before_refusals
            for task in self._refused_tasks:
                task.failed_on.discard(self.entry.worker_id)
        self._state_before_refusals = None
        self._refused_tasks = []
        return was_unresponsive

    def describe_runs(self, now_s: float) -> dict[str, object]:
        """Return what to log of a worker that may have lost its runs.

        Parameters
        ----------
        now_s : float
            The time on the event loop's clock.

        Returns
        -------
        fields : dict of str to object
            Fields of the log line: the number of runs, the ages of the runs in
            ascending order in ms, and the time since the last report in ms.
        """
        ages_s = sorted(now_s - run.started_s for run in self.runs.values())
        fields: dict[str, object] = {
            "runs": len(ages_s),
            "run_ages_ms": [round(1000 * age_s) for age_s in ages_s],
        }
        report_age_ms = self.report_age_ms(now_s)
        if report_age_ms is not None:
            fields["report_age_ms"] = report_age_ms
        return fields

    def report_age_ms(self, now_s: float) -> int | None:
        """Return the time since the last report in ms; None before the first."""
        if self.reported_s is None:
            return None
        return round(1000 * (now_s - self.reported_s))

    def count_step_runs(self, job_id: str, occurrence: int, step: int) -> int:
        """Return the number of runs of a step's occurrence that may be present."""
        count = 0
        for name, _ in self.runs:
            step_name = name.step
            if (
                step_name.job_id == job_id
                and step_name.occurrence == occurrence
                and step_name.step == step
            ):
                count += 1
        return count
