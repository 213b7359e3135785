"""Plays a simulated cell over time, with an advice service that takes its time."""

from __future__ import annotations

from collections.abc import Collection

from attrs import Factory, define

from fuchsiadale.decision.workflow.configuration import AdviceTiming
from fuchsiadale.decision.workflow.messages import RequestAdvice
from tests.workflow_builders import Cell

TICKET_VALID_S = 2.0
"""Seconds for which tickets are valid."""

SLOW_ADVICE = AdviceTiming(0.5, 0.002, TICKET_VALID_S)
"""Advice whose calls take longer than the planner needs to place a task."""

TICK_S = 0.1
"""Seconds between two plans of a play."""


@define
class AdvisedPlay:
    """Plays a cell whose advice calls are answered after their expected duration.

    Attributes
    ----------
    cell : Cell
        The cell.
    permitted : collection of str or None
        Ids of the workers that advice permits for every step; None for all.
    silent : set of str
        Ids of the workers that do not answer.
    calls : list of tuple of float and RequestAdvice
        Every advice call with the time of its request on the loop's clock.
    most_open_calls : int
        Maximum number of advice calls that were open at once.
    """

    cell: Cell
    permitted: Collection[str] | None = None
    silent: set[str] = Factory(set)
    calls: list[tuple[float, RequestAdvice]] = Factory(list)
    most_open_calls: int = 0
    _open: list[tuple[float, RequestAdvice]] = Factory(list)  # with the answer's time

    def silence(self, worker_id: str, lease_s: float) -> float:
        """Make a worker silent; return when its lease lapses, on the loop's clock."""
        lapses_s = self.cell.clock.now() + lease_s
        self.silent.add(worker_id)
        self.cell.scheduler.extend_lease(worker_id, lapses_s)
        self.cell.scheduler.mark_worker_unresponsive(worker_id, "disconnected")
        return lapses_s

    def play(self, duration_s: float) -> None:
        """Play for some seconds: polls, timeouts, advice and plans."""
        ends_s = self.cell.clock.now() + duration_s
        while self.cell.clock.now() < ends_s:
            self.cell.clock.advance(TICK_S)
            for entry in self.cell.entries:
                if entry.worker_id not in self.silent:
                    self.cell.poll(entry.worker_id)
            self._answer_calls()
            self.cell.execute(self.cell.scheduler.check_timeouts())
            self.cell.plan_and_execute()
            self._accept_calls()

    def first_start_s(self, job_id: str, after_s: float, limit_s: float) -> float:
        """Play until a task of a job starts on an answering worker.

        Parameters
        ----------
        job_id : str
            Id of the job.
        after_s : float
            Time on the loop's clock that the returned time is counted from.
        limit_s : float
            Seconds after which the play ends without a start.

        Returns
        -------
        waited_s : float
            Seconds from `after_s` to the start; infinite if there was none.
        """
        known = len(self.cell.starts)
        ends_s = self.cell.clock.now() + limit_s
        while self.cell.clock.now() < ends_s:
            self.play(TICK_S)
            new = self.cell.starts[known:]
            if any(order.task.step.job_id == job_id for order in new):
                return self.cell.clock.now() - after_s
        return float("inf")

    def _answer_calls(self) -> None:
        now_s = self.cell.clock.now()
        due = [order for answer_s, order in self._open if answer_s <= now_s]
        self._open = [item for item in self._open if item[0] > now_s]
        for order in due:
            tickets = {
                worker_id: "t"
                for worker_id in order.worker_ids
                if self.permitted is None or worker_id in self.permitted
            }
            self.cell.scheduler.process_advice(order, tickets, TICKET_VALID_S)

    def _accept_calls(self) -> None:
        now_s = self.cell.clock.now()
        requests, self.cell.advice_requests = self.cell.advice_requests, []
        for order in requests:
            self.calls.append((now_s, order))
            self._open.append((now_s + order.expected_duration_s, order))
        self.most_open_calls = max(self.most_open_calls, len(self._open))
