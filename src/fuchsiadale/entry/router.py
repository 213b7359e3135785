"""Takes callers' work to the owners of its partitions and waits for results."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, evolve, field
from result import Err, Ok, Result

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.membership import (
    partition_name,
    partition_of_work_id,
    slice_index_of,
)
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.entry.directory import Directory, Owner
from fuchsiadale.entry.identity import Identity
from fuchsiadale.metrics import Counters
from fuchsiadale.peers.gateway import Gateway

OWNER_WAIT_S = 0.2
JOB_DEADLINE_S = 10.0
SHOW_DEADLINE_S = 5.0

_NOTHING_TAKEN_IN = frozenset(
    {ErrorKind.NOT_OWNER, ErrorKind.NO_OWNER, ErrorKind.DRAINING}
)

Question = Awaitable[Result[WorkView, Refusal]]
GatewayFinder = Callable[[Owner], Gateway | None]


@define(eq=False)
class _Waiter:
    submission: Submission
    work_id: str
    may_be_accepted: bool = False
    epoch: int | None = None
    view: WorkView | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)


def new_work_id(pool: str, slices: int, team: str, key: str, unique: str) -> str:
    """Return an id for work, in the slice that its key or else `unique` selects."""
    index = slice_index_of(f"{team}/{key}" if key else unique, slices)
    return f"{partition_name(pool, index)}.{unique}"


class Router:
    """Follows each submission until its truth is known.

    A submission keeps its id on every repeat, so the owner of its partition takes it
    in once, whichever of the repeats arrive.

    Parameters
    ----------
    identity : Identity
        This member.
    directory : Directory
        The owners.
    find_gateway : callable
        Returns the gateway to an owner, or None if it cannot be reached.
    clock : Clock
        The clock.
    counters : Counters
        Takes the counts.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        find_gateway: GatewayFinder,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._find_gateway = find_gateway
        self._clock = clock
        self._counters = counters
        self._waiters: dict[str, list[_Waiter]] = {}

    @property
    def waiting_count(self) -> int:
        """Number of callers that wait for an answer."""
        return sum(len(waiters) for waiters in self._waiters.values())

    def deliver(self, view: WorkView) -> None:
        """Take the result of a request."""
        for waiter in self._waiters.get(view.work_id, []):
            waiter.view = view
            waiter.changed.set()

    def owners_changed(self) -> None:
        """Wake those whose work has a new owner."""
        for waiters in self._waiters.values():
            for waiter in waiters:
                owner = self._owner_of(waiter.work_id)
                if owner is not None and owner.epoch != waiter.epoch:
                    waiter.changed.set()

    def identity_changed(self) -> None:
        """Let every submission be repeated under the new member's name."""
        for waiters in self._waiters.values():
            for waiter in waiters:
                waiter.epoch = None
                waiter.changed.set()

    async def run_request(self, submission: Submission) -> Result[WorkView, Refusal]:
        """Run a request and return what is known of it at its deadline at latest."""
        waiter = _Waiter(submission, submission.work_id)
        self._register(waiter)
        try:
            async with asyncio.timeout(submission.deadline_s):
                return await self._pursue(waiter)
        except TimeoutError:
            return await self._give_up(waiter)
        finally:
            self._unregister(waiter)

    async def submit_job(self, submission: Submission) -> Result[str, Refusal]:
        """Submit a job and return its id once it is on record."""
        give_up_s = self._clock.now() + JOB_DEADLINE_S
        last = Refusal(ErrorKind.NO_OWNER, "no host owns the partition now")
        may_be_accepted = False
        while self._clock.now() < give_up_s:
            gateway = self._gateway_of(submission.work_id)
            if gateway is not None:
                sent = evolve(submission, resubmitted=may_be_accepted)
                outcome = await gateway.submit(sent, self._identity.member)
                if isinstance(outcome, Ok):
                    return outcome
                last = outcome.err_value
                if last.kind is ErrorKind.OUTCOME_UNKNOWN:
                    may_be_accepted = True
                elif last.kind not in _NOTHING_TAKEN_IN and not may_be_accepted:
                    return outcome
                self._counters.add(f"router.retried.{last.kind.value}")
            await self._directory.wait_for_change(OWNER_WAIT_S)
        if may_be_accepted:
            message = f"job {submission.work_id} may be on record; ask for it later"
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
        return Err(last)

    async def cancel_job(
        self, work_id: str, reason: Refusal
    ) -> Result[WorkView, Refusal]:
        """End a job."""
        return await self._ask(
            work_id, lambda gateway: gateway.cancel(work_id, reason, "")
        )

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work, once it is final or `hold_s` seconds have passed."""
        return await self._ask(work_id, lambda gateway: gateway.show(work_id, hold_s))

    async def list_team(self, team: str) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in all partitions."""
        views: list[WorkView] = []
        for partition, owner in sorted(self._directory.owners.items()):
            gateway = self._find_gateway(owner)
            if gateway is None:
                continue
            found = await gateway.list_team_jobs(partition, team)
            if isinstance(found, Err):
                return found
            views.extend(found.ok_value)
        return Ok(views)

    async def inspect_all(self) -> list[PartitionView]:
        """Return views of the partitions whose owners answer."""
        views: list[PartitionView] = []
        for partition, owner in sorted(self._directory.owners.items()):
            gateway = self._find_gateway(owner)
            if gateway is None:
                continue
            view = await gateway.inspect(partition)
            if isinstance(view, Ok):
                views.append(view.ok_value)
        return views

    async def _pursue(self, waiter: _Waiter) -> Result[WorkView, Refusal]:
        """Submit to one owner after another until a result comes."""
        while True:
            refusal = await self._submit(waiter)
            if waiter.view is not None:
                return Ok(waiter.view)
            if refusal is None:
                await waiter.changed.wait()
                waiter.changed.clear()
                continue
            self._counters.add(f"router.retried.{refusal.kind.value}")
            if refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
                waiter.may_be_accepted = True
            elif refusal.kind not in _NOTHING_TAKEN_IN and not waiter.may_be_accepted:
                return Err(refusal)
            await self._directory.wait_for_change(OWNER_WAIT_S)

    async def _submit(self, waiter: _Waiter) -> Refusal | None:
        """Submit once, unless the present owner already has the work."""
        owner = self._owner_of(waiter.work_id)
        if owner is None:
            return Refusal(ErrorKind.NO_OWNER, "no host owns the partition now")
        if owner.epoch == waiter.epoch:
            return None
        gateway = self._find_gateway(owner)
        if gateway is None:
            return Refusal(ErrorKind.NO_OWNER, "the partition's owner is not reached")
        sent = evolve(waiter.submission, resubmitted=waiter.may_be_accepted)
        outcome = await gateway.submit(sent, self._identity.member)
        if isinstance(outcome, Err):
            return outcome.err_value
        waiter.may_be_accepted = True
        waiter.epoch = owner.epoch
        if outcome.ok_value != waiter.work_id:
            await self._follow(waiter, outcome.ok_value, gateway)
        return None

    async def _follow(self, waiter: _Waiter, work_id: str, gateway: Gateway) -> None:
        """Wait for the work that an idempotency key was first used for.

        Its result may have come before this waiter stood under the work's id.
        """
        self._unregister(waiter)
        waiter.work_id = work_id
        self._register(waiter)
        view = await gateway.show(work_id, 0.0)
        if isinstance(view, Ok) and view.ok_value.is_final:
            waiter.view = view.ok_value

    async def _give_up(self, waiter: _Waiter) -> Result[WorkView, Refusal]:
        """Tell the truth about a request whose deadline has passed."""
        if waiter.view is not None:
            return Ok(waiter.view)
        self._counters.add("router.timeout")
        if not waiter.may_be_accepted:
            message = "no host took the work in before its deadline"
            return Err(Refusal(ErrorKind.TIMEOUT, message))
        if len(self._waiters.get(waiter.work_id, [])) == 1:
            view = await self._cancel_request(waiter.work_id)
            if view is not None:
                return Ok(view)
        message = "the deadline passed while the work may have been running"
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))

    async def _cancel_request(self, work_id: str) -> WorkView | None:
        """End a request; return its view if everything is known of it."""
        gateway = self._gateway_of(work_id)
        if gateway is None:
            return None
        reason = Refusal(ErrorKind.TIMEOUT, "the deadline passed before it could run")
        view = await gateway.cancel(work_id, reason, self._identity.member)
        if isinstance(view, Ok) and view.ok_value.is_final:
            return view.ok_value
        return None

    async def _ask(
        self, work_id: str, call: Callable[[Gateway], Question]
    ) -> Result[WorkView, Refusal]:
        """Ask the owner of some work, and again while the owner changes."""
        give_up_s = self._clock.now() + SHOW_DEADLINE_S
        if "." not in partition_of_work_id(work_id):
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        last = Refusal(ErrorKind.NO_OWNER, "no host owns the partition now")
        while self._clock.now() < give_up_s:
            gateway = self._gateway_of(work_id)
            if gateway is not None:
                outcome = await call(gateway)
                if isinstance(outcome, Ok):
                    return outcome
                last = outcome.err_value
                if last.kind not in _NOTHING_TAKEN_IN:
                    return outcome
            await self._directory.wait_for_change(OWNER_WAIT_S)
        return Err(last)

    def _owner_of(self, work_id: str) -> Owner | None:
        return self._directory.owners.get(partition_of_work_id(work_id))

    def _gateway_of(self, work_id: str) -> Gateway | None:
        owner = self._owner_of(work_id)
        return self._find_gateway(owner) if owner is not None else None

    def _register(self, waiter: _Waiter) -> None:
        self._waiters.setdefault(waiter.work_id, []).append(waiter)

    def _unregister(self, waiter: _Waiter) -> None:
        waiters = self._waiters.get(waiter.work_id, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(waiter.work_id, None)
