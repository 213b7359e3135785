"""What workers and callers saw, and the promises that it has to keep."""

from __future__ import annotations

from attrs import define, field, frozen


@frozen
class TaskTerms:
    """What a submitted task takes and waits for."""

    cpu_millis: int
    after: tuple[str, ...]


@define
class Observer:
    """Collects what breaks a promise; nothing is forgotten."""

    terms: dict[str, TaskTerms] = field(factory=dict)
    running: dict[str, set[str]] = field(factory=dict)
    started: set[str] = field(factory=set)
    done: set[str] = field(factory=set)
    acknowledged: set[str] = field(factory=set)
    refused_jobs: set[str] = field(factory=set)
    cancelled_s: dict[str, float] = field(factory=dict)
    problems: list[str] = field(factory=list)
    starts: int = 0

    def note_start(
        self, task: str, worker: str, used_millis: int, room: int, now_s: float
    ) -> None:
        """Check a start; `used_millis` counts what the worker already runs."""
        self.starts += 1
        job = task.partition(".")[0]
        terms = self.terms.get(task)
        if terms is None:
            self._report(f"{task} was started and nobody asked for it")
            return
        places = self.running.setdefault(task, set())
        if places:
            self._report(f"{task} runs on {worker} and on {sorted(places)}")
        if task in self.acknowledged:
            self._report(f"{task} was started again after its end was acknowledged")
        if used_millis + terms.cpu_millis > room:
            self._report(f"{worker} has {used_millis} and takes {terms.cpu_millis}")
        missing = [before for before in terms.after if before not in self.done]
        if missing:
            self._report(f"{task} was started before {missing}")
        ended_s = self.cancelled_s.get(job)
        if ended_s is not None and now_s - ended_s > CANCEL_S:
            self._report(f"{task} was started {now_s - ended_s:.1f} s after its cancel")
        places.add(worker)
        self.started.add(job)

    def note_end(self, task: str, worker: str, is_done: bool) -> None:
        """Note that a run has ended, however it did."""
        self.running.get(task, set()).discard(worker)
        if is_done:
            self.done.add(task)

    def note_state(self, job: str, state: str) -> None:
        """Check what a caller was told of a job."""
        tasks = [task for task in self.terms if task.startswith(f"{job}.")]
        if state == "completed" and not self.done.issuperset(tasks):
            self._report(f"{job} was told as completed and is not")

    def check_refused(self) -> None:
        """Check that what was refused did not run."""
        for job in self.refused_jobs & self.started:
            self._report(f"{job} was refused by every try and ran")

    def _report(self, problem: str) -> None:
        self.problems.append(problem)


CANCEL_S = 6.0
"""Seconds after an acknowledged cancel in which a start is allowed: 3 s in calm
times by contract, and the 3 s after a disturbance in which it does not hold."""
