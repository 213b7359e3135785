"""Plays a cell that a steady stream of tasks shares with lasting tasks of a job."""

from __future__ import annotations

import random
from collections.abc import Collection

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.names import TaskName
from tests.advice_builders import SLOW_ADVICE, TICK_S, AdvisedPlay
from tests.workflow_builders import (
    Cell,
    make_configuration,
    make_entry,
    make_queue,
    make_record,
    make_step,
)

WORKER_CPU_MILLIS = 10_000
"""Processors of a worker in thousandths of a core."""

LASTING = make_record(9999).job_id
"""Id of the job with the lasting tasks."""

RunOnWorker = tuple[str, TaskName, int]


@define
class Stream:
    """Work that shares the workers with the lasting tasks.

    Attributes
    ----------
    priority : int
        Priority of its queue, which needs no advice.
    in_flight : int
        Number of its jobs, of one task each, that wait or run at any time.
    duration_s : float
        Mean duration of a run in seconds.
    cpu_millis : int
        What a task needs, in thousandths of a core.
    is_checkpointing : bool
        Whether the tasks have checkpoints.
    """

    priority: int
    in_flight: int
    duration_s: float = 1.0
    cpu_millis: int = 900
    is_checkpointing: bool = False


@define
class StreamPlay:
    """Plays four workers, of which advice permits some for the lasting tasks.

    Attributes
    ----------
    play : AdvisedPlay
        The play of the cell.
    stream : Stream
        The work that shares the workers.
    random : random.Random
        Draws the durations of its runs.
    ends : dict of RunOnWorker to float
        When each of its runs ends, on the loop's clock.
    """

    play: AdvisedPlay
    stream: Stream
    random: random.Random
    ends: dict[RunOnWorker, float] = Factory(dict)
    _submitted: int = 0
    _seen_starts: int = 0

    @property
    def cell(self) -> Cell:
        """The cell."""
        return self.play.cell

    def play_s(self, duration_s: float) -> None:
        """Play for some seconds."""
        ends_s = self.cell.clock.now() + duration_s
        while self.cell.clock.now() < ends_s:
            self._end_runs()
            self._submit()
            self.play.play(TICK_S)

    def fail_lasting_runs(self) -> None:
        """End the runs of the lasting tasks."""
        for worker_id, runs in self.cell.running.items():
            for task, run in list(runs):
                if task.step.job_id == LASTING:
                    self.cell.end_run(worker_id, task, run, EndKind.FAILED)

    def silence_lasting_worker(self, lease_s: float) -> None:
        """Make the worker that runs the lasting tasks silent."""
        (worker_id,) = {
            worker_id
            for worker_id, runs in self.cell.running.items()
            for task, _ in runs
            if task.step.job_id == LASTING
        }
        self.play.silence(worker_id, lease_s)

    def wait_for_lasting_starts(self, limit_s: float, count: int = 1) -> float:
        """Play until lasting tasks have started.

        Parameters
        ----------
        limit_s : float
            Seconds after which the play ends.
        count : int, default=1
            Number of starts to wait for.

        Returns
        -------
        waited_s : float
            Seconds that it took; infinite if it were more than `limit_s`.
        """
        known, began_s = len(self.cell.starts), self.cell.clock.now()
        while self.cell.clock.now() - began_s < limit_s:
            self.play_s(TICK_S)
            new = self.cell.starts[known:]
            if sum(order.task.step.job_id == LASTING for order in new) >= count:
                return self.cell.clock.now() - began_s
        return float("inf")

    def _end_runs(self) -> None:
        now_s = self.cell.clock.now()
        for order in self.cell.starts[self._seen_starts :]:
            if order.task.step.job_id != LASTING:
                duration_s = self.stream.duration_s * self.random.uniform(0.7, 1.3)
                key = (order.worker_id, order.task, order.run)
                self.ends[key] = now_s + duration_s
        self._seen_starts = len(self.cell.starts)
        for key, ends_s in list(self.ends.items()):
            worker_id, task, run = key
            if (task, run) not in self.cell.running[worker_id]:
                del self.ends[key]
            elif ends_s <= now_s:
                del self.ends[key]
                self.cell.end_run(worker_id, task, run)

    def _submit(self) -> None:
        jobs = self.cell.scheduler.jobs.values()
        in_flight = sum(not job.state.is_final for job in jobs) - 1
        stream = self.stream
        for _ in range(stream.in_flight - in_flight):
            self._submitted += 1
            step = make_step(
                1,
                stream.cpu_millis,
                estimated_s=stream.duration_s,
                is_checkpointing=stream.is_checkpointing,
            )
            record = make_record(self._submitted, step, queue="stream")
            self.cell.scheduler.accept(record, 0.0)


def make_stream_play(
    stream: Stream,
    lasting_cpu_millis: int,
    seed: int,
    lasting_count: int = 1,
    permitted: Collection[str] = ("worker-0",),
) -> StreamPlay:
    """Return a play in which the lasting tasks and the stream run.

    Parameters
    ----------
    stream : Stream
        The work that shares the workers.
    lasting_cpu_millis : int
        What a lasting task needs, in thousandths of a core.
    seed : int
        Seed of the random durations.
    lasting_count : int, default=1
        Number of lasting tasks.
    permitted : collection of str, default=("worker-0",)
        Ids of the workers that advice permits for them.
    """
    queues = (
        make_queue("stream", priority=stream.priority, stretch=20.0, slack_s=5.0),
        make_queue("lasting", priority=2, advice=SLOW_ADVICE),
    )
    cell = Cell(4, make_configuration(*queues))
    capacity = Resources(WORKER_CPU_MILLIS, 100_000, 0)
    cell.entries = [make_entry(index, capacity=capacity) for index in range(4)]
    cell.adopt_workers()
    play = StreamPlay(AdvisedPlay(cell, permitted), stream, random.Random(seed))
    step = make_step(lasting_count, lasting_cpu_millis, is_lasting=True)
    cell.scheduler.accept(make_record(9999, step, queue="lasting"), 0.0)
    play.play.play(3.0)
    assert len(cell.starts) == lasting_count
    play.play_s(5.0)
    return play
