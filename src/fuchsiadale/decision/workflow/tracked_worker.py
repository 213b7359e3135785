"""What each worker has, what is placed on it and how far it is trusted."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.jobs import Run
from fuchsiadale.decision.workflow.messages import WorkerEntry, WorkerState
from fuchsiadale.decision.workflow.names import TaskName

FAILURE_WEIGHT = 0.3
"""Weight of the newest outcome in a worker's failure score; about three count."""

QUARANTINE_SCORE = 0.6
"""Failure score from which a worker is avoided: three failed jobs in a row."""

QUARANTINE_S = 4.0
"""Seconds for which a failing worker is avoided; the length of a grey failure."""

SLOWDOWN_WEIGHT = 0.1
"""Weight of the newest run in a worker's slowness; evens out callers' estimates."""

MAX_RUN_SLOWDOWN = 10.0
"""Bound on what one run adds to a worker's slowness; an estimate may be near 0."""

MAX_CLOCK_DRIFT = 0.02
"""Share by which a worker's clock may be slow, from the platform's contract."""

RunKey = tuple[TaskName, int]


@define(eq=False)
class TrackedWorker:
    """One worker: its room and what may be running there.

    Attributes
    ----------
    entry : WorkerEntry
        Its registration.
    free : Resources
        What is left of its capacity after everything that may be there.
    runs : dict
        What may be there, by task and number of the run.
    is_listed : bool
        Whether the registration still exists.
    is_adopted : bool
        Whether it has answered under the present fencing token.
    is_recorded : bool
        Whether a successor would find it in the store.
    unresponsive_since_s : float or None
        Since when it has not answered, on the loop's clock.
    earliest_departure_s : float or None
        When it may leave, as it last said, on the loop's clock.
    lease_ends_s : float
        When everything there has ended if nothing renews it, on the loop's clock.
    started_ms : int
        Start of the life that last answered, in Unix milliseconds.
    slowdown : float
        How long its runs take, as a multiple of what is expected, on average.
    unknown_job_runs : int
        Runs there of jobs that are not known; their room is not known either.
    unknown_job_runs_since_s : float or None
        Since when there are such runs, on the loop's clock.
    """

    entry: WorkerEntry
    free: Resources = NO_RESOURCES
    runs: dict[RunKey, Run] = Factory(dict)
    is_listed: bool = True
    is_adopted: bool = False
    is_recorded: bool = False
    unresponsive_since_s: float | None = None
    earliest_departure_s: float | None = None
    lease_ends_s: float = 0.0
    started_ms: int = 0
    last_processed_end: int = 0
    failure_score: float = 0.0
    slowdown: float = 1.0
    quarantined_until_s: float = 0.0
    last_failed_job: str = ""
    unknown_job_runs: int = 0
    unknown_job_runs_since_s: float | None = None
    _recorded_runs: dict[RunKey, None] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Begin with everything free."""
        self.free = self.entry.capacity

    @property
    def rack(self) -> str:
        """The last of its labels, which names its rack."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def is_unavailable(self) -> bool:
        """Whether nothing new may be placed on it, whatever room it has."""
        is_draining = self.entry.state is WorkerState.DRAINING
        return is_draining or self.unresponsive_since_s is not None

    @property
    def is_record_stale(self) -> bool:
        """Whether the store does not say exactly what may be there."""
        return not self.is_recorded or self._recorded_runs.keys() != self.runs.keys()

    @property
    def is_record_awaited(self) -> bool:
        """Whether something waits for the record: a use, or a start."""
        return not self.is_recorded or bool(
            self.runs.keys() - self._recorded_runs.keys()
        )

    def note_recorded(self, runs: Iterable[RunKey]) -> None:
        """Note that the store says what may be there."""
        self.is_recorded = True
        self._recorded_runs = dict.fromkeys(runs)

    def has_recorded(self, task: TaskName, run: int) -> bool:
        """Tell whether a successor would find a run in the store."""
        return self.is_recorded and (task, run) in self._recorded_runs

    def extend_lease(self, ends_s: float) -> None:
        """Note when everything there ends if no later order reaches it."""
        self.lease_ends_s = max(self.lease_ends_s, ends_s)

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new tasks may be placed on it."""
        if self.quarantined_until_s > now_s:
            return False
        return (
            self.is_adopted
            and not self.unknown_job_runs
            and self.is_recorded
            and self.is_listed
            and not self.is_unavailable
        )

    def add_run(self, run: Run) -> None:
        """Count a run against the worker's room."""
        self.runs[run.task.name, run.number] = run
        self.free = self.free - run.task.step.specification.charged

    def remove_run(self, run: Run) -> None:
        """Give the room of a run that has surely ended back."""
        if self.runs.pop((run.task.name, run.number), None) is not None:
            self.free = self.free + run.task.step.specification.charged

    def update_entry(self, entry: WorkerEntry, now_s: float) -> None:
        """Take a newer registration over."""
        if entry.remaining_s is None:
            self.earliest_departure_s = None
        elif (
            entry.remaining_s != self.entry.remaining_s
            or self.earliest_departure_s is None
        ):
            self.earliest_departure_s = now_s + entry.remaining_s
        if entry.capacity != self.entry.capacity:
            self.free = self.free + (entry.capacity - self.entry.capacity)
        self.entry = entry
        self.is_listed = True

    def note_duration(self, ran_s: float, expected_s: float) -> None:
        """Learn from a whole run how slow the worker is."""
        if expected_s > 0.0:
            ratio = min(ran_s / expected_s, MAX_RUN_SLOWDOWN)
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def note_success(self) -> None:
        """Lower the failure score after a run that ended as done."""
        self.failure_score *= 1.0 - FAILURE_WEIGHT
        self.quarantined_until_s = 0.0

    def note_failure(self, job_id: str, now_s: float) -> bool:
        """Raise the failure score; one job counts once in a row.

        Returns
        -------
        is_quarantined : bool
            Whether the worker is avoided from now on.
        """
        if job_id == self.last_failed_job:
            return False
        self.last_failed_job = job_id
        kept = self.failure_score * (1.0 - FAILURE_WEIGHT)
        self.failure_score = kept + FAILURE_WEIGHT
        if self.failure_score < QUARANTINE_SCORE:
            return False
        self.quarantined_until_s = now_s + QUARANTINE_S
        return True

    def count_step_runs(self, job_id: str, occurrence: int, step: int) -> int:
        """Return how many runs of an occurrence of a step may be there."""
        count = 0
        for name, _ in self.runs:
            of_step = name.step
            if (
                of_step.job_id == job_id
                and of_step.occurrence == occurrence
                and of_step.step == step
            ):
                count += 1
        return count
