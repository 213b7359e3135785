"""Simulates workers that are out of reach for a while, and come back as they were."""

from __future__ import annotations

from random import Random

from fuchsiadale.decision.workflow.messages import StartOutcome, StartRun, StopRun
from tests.crash_simulation import CrashSimulation
from tests.simulated_worker import SentOrder

UNLISTED_AFTER_S = 4.5
"""Seconds of silence after which the registration of a worker is removed."""

ABSENCES_S = (1.0, 5.0, 8.0, 12.0)
"""Seconds for which a worker may be out of reach."""

CUT_AT_START_PROBABILITY = 0.3
"""Probability that a worker is out of reach from just after a start on."""


class AbsenceSimulation(CrashSimulation):
    """Adds workers that neither the owner nor the store can reach.

    Their runs go on until their lease lapses. Orders may still reach some of them,
    without an answer.

    Parameters
    ----------
    random : Random
        Chooses how long workers are absent, and which orders reach them.
    """

    def __init__(self, random: Random) -> None:
        self._absences: dict[str, tuple[float, float]] = {}  # from and until when
        super().__init__(random)

    def cut_off(self, worker_id: str) -> None:
        """Put a worker out of reach, unless it is already or has crashed."""
        if self._is_up(worker_id) and worker_id not in self._absences:
            now_s = self.clock.now()
            until_s = now_s + self._random.choice(ABSENCES_S)
            self._absences[worker_id] = (now_s, until_s)

    def poll(self, worker_id: str, is_answered: bool) -> None:
        """Poll a worker; one that is out of reach does not answer."""
        if worker_id not in self._absences:
            super().poll(worker_id, is_answered)
        elif worker_id in self.scheduler.workers:
            self.scheduler.mark_worker_unresponsive(worker_id, "no_answer")

    def deliver_order(self, index: int, is_answered: bool) -> None:
        """Deliver an order to its worker, which may be out of reach."""
        if not self.sent_orders:
            return
        position = index % len(self.sent_orders)
        sent = self.sent_orders[position]
        order = sent.order
        assert isinstance(order, StartRun | StopRun)
        if order.worker_id not in self._absences:
            super().deliver_order(position, is_answered)
        elif self._random.random() < 0.5:
            super().deliver_order(position, is_answered=False)
        else:
            self.sent_orders.pop(position)
            if sent.epoch != self.epoch:
                return
            if isinstance(order, StartRun):
                outcome = StartOutcome.UNKNOWN
                self.send_orders(self.scheduler.note_start_outcome(order, outcome))
            elif self.scheduler.may_still_run(order):
                self.sent_orders.append(sent)

    def execute_start(self, sent: SentOrder, order: StartRun) -> StartOutcome:
        """Start a run as a worker does, which may be cut off just after it."""
        outcome = super().execute_start(sent, order)
        if self._random.random() < CUT_AT_START_PROBABILITY:
            self.cut_off(order.worker_id)
        return outcome

    def advance_time(self, seconds: float) -> None:
        """Advance the clock; workers whose time has come can be reached again."""
        super().advance_time(seconds)
        for worker_id, (_, until_s) in list(self._absences.items()):
            if until_s <= self.clock.now():
                del self._absences[worker_id]

    def _is_unregistered(self, worker_id: str) -> bool:
        if super()._is_unregistered(worker_id):
            return True
        from_s, _ = self._absences.get(worker_id, (self.clock.now(), 0.0))
        return self.clock.now() - from_s >= UNLISTED_AFTER_S
