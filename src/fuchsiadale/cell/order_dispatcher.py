"""Sends the scheduler's orders to workers and the advice service."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from eliot import log_message

from fuchsiadale.cell.advice_pool import AdvicePool
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.order_window import MAX_OPEN_ORDERS, OrderWindow
from fuchsiadale.cell.worker_link import CALL_TIMEOUT_S, WorkerLink
from fuchsiadale.decision.workflow.messages import (
    Order,
    PaceRun,
    RequestAdvice,
    StartOutcome,
    StartRun,
    StopRun,
)
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import RunKey

STOP_RETRY_DELAY_S = 0.25
"""Seconds before an order to stop or pace a run is sent again without an answer."""


class OrderDispatcher:
    """Sends orders in concurrent calls and reports their outcomes to the scheduler.

    Parameters
    ----------
    scheduler : Scheduler
        Issues the orders.
    links : mapping of str to WorkerLink
        Links to the workers, by worker id; kept up to date by the owner.
    advice : AdvicePool
        Calls the advice service.
    metrics : CellMetrics
        Metrics of the process.
    request_commit : callable
        Requests a commit, after which `send_recorded_starts` is called.
    request_plan : callable
        Requests a planning pass.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        links: Mapping[str, WorkerLink],
        advice: AdvicePool,
        metrics: CellMetrics,
        request_commit: Callable[[], None],
        request_plan: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._links = links
        self._advice = advice
        self._metrics = metrics
        self._request_commit = request_commit
        self._request_plan = request_plan
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._unsent_starts: list[StartRun] = []
        self._recorded_starts: deque[StartRun] = deque()
        self._open_starts: set[tuple[str, RunKey]] = set()
        self._open_stops = OrderWindow()
        # The last pace ordered of each run, while the worker has not acknowledged it.
        self._paces: dict[tuple[str, RunKey], PaceRun] = {}
        self._is_stopped = False

    def stop(self) -> None:
        """Send nothing more and cancel the calls that are in progress."""
        self._is_stopped = True
        self._unsent_starts.clear()
        self._recorded_starts.clear()
        for task in list(self._call_tasks):
            task.cancel()

    def execute(self, orders: list[Order]) -> None:
        """Send orders, but starts only after their commit; once stopped, drop all."""
        if self._is_stopped:
            return
        for order in orders:
            if isinstance(order, StartRun):
                self._unsent_starts.append(order)
                self._request_commit()
            elif isinstance(order, StopRun):
                self._start_call(self._stop_run(order))
            elif isinstance(order, RequestAdvice):
                self._start_call(self._request_advice(order))
            else:
                run = (order.worker_id, (order.task, order.run))
                is_sending = run in self._paces
                self._paces[run] = order
                if not is_sending:
                    self._start_call(self._pace_run(run))

    def send_recorded_starts(self) -> None:
        """Send start orders whose runs are recorded; drop those no longer needed."""
        starts, self._unsent_starts = self._unsent_starts, []
        for order in starts:
            if self._scheduler.is_start_recorded(order):
                self._recorded_starts.append(order)
            elif self._scheduler.is_start_needed(order):
                self._unsent_starts.append(order)
        self._send_starts()

    def _send_starts(self) -> None:
        """Send recorded start orders, as many as may be open, in their order."""
        while self._recorded_starts and len(self._open_starts) < MAX_OPEN_ORDERS:
            order = self._recorded_starts.popleft()
            if not self._scheduler.is_start_needed(order):
                continue
            if not self._scheduler.is_start_recorded(order):
                self._unsent_starts.append(order)
            elif self._scheduler.has_lost_its_room(
                order
            ) or self._scheduler.is_start_barred(order):
                outcome = StartOutcome.EXPIRED
                self.execute(self._scheduler.note_start_outcome(order, outcome))
            elif self._scheduler.has_ticket_expired(order):
                outcome = StartOutcome.TICKET_REFUSED
                self.execute(self._scheduler.note_start_outcome(order, outcome))
            else:
                self._open_starts.add((order.worker_id, (order.task, order.run)))
                self._start_call(self._start_run(order))

    def _close_start(self, run: tuple[str, RunKey]) -> None:
        """Let the next start be sent once one is answered or its time is over."""
        if run in self._open_starts:
            self._open_starts.remove(run)
            self._send_starts()

    def _start_call(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._call_tasks.add(task)
        task.add_done_callback(self._finish_call)

    def _finish_call(self, task: asyncio.Task[None]) -> None:
        self._call_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_message("order_failed", error=repr(task.exception()))

    async def _start_run(self, order: StartRun) -> None:
        run = (order.worker_id, (order.task, order.run))
        loop = asyncio.get_running_loop()
        # Later attempts, as of a worker that is down, do not hold up other starts.
        timer = loop.call_later(CALL_TIMEOUT_S, self._close_start, run)
        try:
            await self._send_start(order)
        finally:
            timer.cancel()
            self._close_start(run)

    async def _send_start(self, order: StartRun) -> None:
        link = self._links.get(order.worker_id)
        if link is None:
            return
        link.is_busy = True
        self._scheduler.note_start_sent(order)
        started_s = asyncio.get_running_loop().time()
        outcome = await link.start(
            order, lambda: not self._scheduler.is_start_barred(order)
        )
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self._metrics.starts.labels(outcome.value).inc()
        self._metrics.start_seconds.observe(elapsed_s)
        self.execute(self._scheduler.note_start_outcome(order, outcome))
        self._request_plan()

    async def _stop_run(self, order: StopRun) -> None:
        async with self._open_stops.admit():
            is_settled = await self._send_stop(order)
        # Repeated orders, as for a worker that is down, do not hold up other stops.
        while not is_settled and not self._is_stopped:
            await asyncio.sleep(STOP_RETRY_DELAY_S)
            is_settled = await self._send_stop(order)

    async def _send_stop(self, order: StopRun) -> bool:
        """Send a stop order once; return whether it need not be repeated."""
        link = self._links.get(order.worker_id)
        if self._is_stopped or link is None:
            return True
        if await link.stop(order):
            self._scheduler.note_stop_acknowledged(order)
            return True
        return not self._scheduler.may_still_run(order)

    async def _pace_run(self, run: tuple[str, RunKey]) -> None:
        """Send the last pace ordered of a run until the worker acknowledges it.

        Only one such call of a run is open at a time, so that none overtakes another.
        """
        try:
            while not self._is_stopped:
                order = self._paces[run]
                link = self._links.get(order.worker_id)
                if link is None or not self._scheduler.may_still_run(order):
                    return
                if not await link.limit_pace(order):
                    await asyncio.sleep(STOP_RETRY_DELAY_S)
                elif self._paces[run] is order:
                    return
        finally:
            del self._paces[run]

    async def _request_advice(self, order: RequestAdvice) -> None:
        advice = None
        try:
            advice = await self._advice.ask(order)
        finally:
            tickets = None if advice is None else advice.tickets
            valid_s = 0.0 if advice is None else advice.valid_s
            self._scheduler.process_advice(order, tickets, valid_s)
            self._request_plan()
