"""Sends callers' work to the owners of its partitions and waits for the results."""

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

# Longest time in seconds between two tries to reach an owner. A change of an owner
# ends the wait.
OWNER_CHANGE_WAIT_S = 0.2
# Seconds for which the submission of a job is retried.
JOB_SUBMISSION_TIMEOUT_S = 10.0
# Seconds for which a call that shows or cancels work is retried.
OWNER_CALL_TIMEOUT_S = 5.0

# Refusals after which it is certain that a call had no effect, so that it is retried.
_NOT_ACCEPTED_KINDS = frozenset(
    {ErrorKind.NOT_OWNER, ErrorKind.NO_OWNER, ErrorKind.DRAINING}
)

AwaitableView = Awaitable[Result[WorkView, Refusal]]
GatewayFinder = Callable[[Owner], Gateway | None]


@define(eq=False)
class _Waiter:
    """A caller that waits for the result of a request.

    Attributes
    ----------
    submission : Submission
        The request.
    work_id : str
        Id of the work whose result is awaited. It is not that of the submission if the
        idempotency key was used before.
    may_have_been_accepted : bool
        Whether an owner has accepted the work or may have accepted it.
    epoch : int or None
        Epoch of the owner that accepted the work; None if the work has not been
        submitted yet or must be submitted again.
    view : WorkView or None
        The result; None before it is known.
    changed : asyncio.Event
        Is set when the result is known or the work must be submitted again.
    """

    submission: Submission
    work_id: str
    may_have_been_accepted: bool = False
    epoch: int | None = None
    view: WorkView | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)


def new_work_id(pool: str, slices: int, team: str, key: str, unique_id: str) -> str:
    """Return an id for work.

    The hash of the team and the idempotency key selects the slice of the pool, so that
    repeats of a submission reach the same partition. Without a key the hash of
    `unique_id` does.

    Parameters
    ----------
    pool : str
        Name of the pool.
    slices : int
        Number of slices of the pool.
    team : str
        The team that submits the work.
    key : str
        The idempotency key; empty for none.
    unique_id : str
        An identifier that no other work has; it becomes the last part of the id.

    Returns
    -------
    str
        The id: the name of the partition, a dot and `unique_id`.
    """
    index = slice_index_of(f"{team}/{key}" if key else unique_id, slices)
    return f"{partition_name(pool, index)}.{unique_id}"


class Router:
    """Submits work to the owner of its partition; retries until the outcome is known.

    A submission keeps its id when it is sent again. So the owner of its partition
    accepts it only once, no matter how often it arrives.

    Parameters
    ----------
    identity : Identity
        The member that this process is; owners send results to it.
    directory : Directory
        The owners of the partitions.
    find_gateway : callable
        Returns the gateway to an owner, or None if it cannot be reached.
    clock : Clock
        Measures the time for retries.
    counters : Counters
        Counts retries and timeouts.
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
        """Number of callers that wait for the result of a request."""
        return sum(len(waiters) for waiters in self._waiters.values())

    def deliver(self, view: WorkView) -> None:
        """Pass the result of a request to the callers that wait for it."""
        for waiter in self._waiters.get(view.work_id, []):
            waiter.view = view
            waiter.changed.set()

    def handle_owner_change(self) -> None:
        """Wake the callers whose partition has a new owner, to submit to it."""
        for waiters in self._waiters.values():
            for waiter in waiters:
                owner = self._find_owner(waiter.work_id)
                if owner is not None and owner.epoch != waiter.epoch:
                    waiter.changed.set()

    def handle_identity_change(self) -> None:
        """Submit every request again after this process has become a new member.

        The owners then send the results to the new member.
        """
        for waiters in self._waiters.values():
            for waiter in waiters:
                waiter.epoch = None
                waiter.changed.set()

    async def run_request(self, submission: Submission) -> Result[WorkView, Refusal]:
        """Run a request; return its outcome, or what is known of it at its deadline."""
        waiter = _Waiter(submission, submission.work_id)
        self._register(waiter)
        try:
            async with asyncio.timeout(submission.deadline_s):
                return await self._submit_until_result(waiter)
        except TimeoutError:
            return await self._resolve_timeout(waiter)
        finally:
            self._unregister(waiter)

    async def submit_job(self, submission: Submission) -> Result[str, Refusal]:
        """Submit a job; return its id once its owner has recorded it in the journal."""
        expires_at_s = self._clock.now() + JOB_SUBMISSION_TIMEOUT_S
        last_refusal = Refusal(
            ErrorKind.NO_OWNER, "this entry reaches no owner of the partition"
        )
        may_have_been_accepted = False
        while self._clock.now() < expires_at_s:
            gateway = self._find_owner_gateway(submission.work_id)
            if gateway is not None:
                submitted = evolve(submission, resubmitted=may_have_been_accepted)
                outcome = await gateway.submit(submitted, self._identity.member)
                if isinstance(outcome, Ok):
                    return outcome
                last_refusal = outcome.err_value
                if last_refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
                    may_have_been_accepted = True
                elif (
                    last_refusal.kind not in _NOT_ACCEPTED_KINDS
                    and not may_have_been_accepted
                ):
                    return outcome
                self._counters.add(f"router.retried.{last_refusal.kind.value}")
            await self._directory.wait_for_change(OWNER_CHANGE_WAIT_S)
        if may_have_been_accepted:
            message = (
                f"job {submission.work_id} may have been recorded; query its state"
                " before submitting it again"
            )
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
        return Err(last_refusal)

    async def cancel_job(
        self, work_id: str, reason: Refusal
    ) -> Result[WorkView, Refusal]:
        """Cancel a job; return its view."""
        return await self._call_owner(
            work_id, lambda gateway: gateway.cancel(work_id, reason, "")
        )

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work once it is final, or after `hold_s` seconds."""
        return await self._call_owner(
            work_id, lambda gateway: gateway.show(work_id, hold_s)
        )

    async def list_team_jobs(self, team: str) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in all partitions with a connected owner."""
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
        """Return views of all partitions whose owners answer."""
        views: list[PartitionView] = []
        for partition, owner in sorted(self._directory.owners.items()):
            gateway = self._find_gateway(owner)
            if gateway is None:
                continue
            view = await gateway.inspect(partition)
            if isinstance(view, Ok):
                views.append(view.ok_value)
        return views

    async def _submit_until_result(self, waiter: _Waiter) -> Result[WorkView, Refusal]:
        """Submit a request until its result is known.

        A refusal is returned only if the work was certainly never accepted and a retry
        would not help. Once the work may have been accepted, every refusal is retried.
        """
        while True:
            refusal = await self._submit_once(waiter)
            if waiter.view is not None:
                return Ok(waiter.view)
            if refusal is None:
                await waiter.changed.wait()
                waiter.changed.clear()
                continue
            self._counters.add(f"router.retried.{refusal.kind.value}")
            if refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
                waiter.may_have_been_accepted = True
            elif (
                refusal.kind not in _NOT_ACCEPTED_KINDS
                and not waiter.may_have_been_accepted
            ):
                return Err(refusal)
            await self._directory.wait_for_change(OWNER_CHANGE_WAIT_S)

    async def _submit_once(self, waiter: _Waiter) -> Refusal | None:
        """Submit a request once, unless the present owner has already accepted it.

        Returns the refusal, or None if the present owner has accepted the work, now or
        earlier.
        """
        owner = self._find_owner(waiter.work_id)
        if owner is None:
            return Refusal(
                ErrorKind.NO_OWNER, "this entry reaches no owner of the partition"
            )
        if owner.epoch == waiter.epoch:
            return None
        gateway = self._find_gateway(owner)
        if gateway is None:
            return Refusal(
                ErrorKind.NO_OWNER, "the partition's owner cannot be reached"
            )
        submitted = evolve(waiter.submission, resubmitted=waiter.may_have_been_accepted)
        outcome = await gateway.submit(submitted, self._identity.member)
        if isinstance(outcome, Err):
            return outcome.err_value
        waiter.may_have_been_accepted = True
        waiter.epoch = owner.epoch
        if outcome.ok_value != waiter.work_id:
            await self._switch_to_earlier_work(waiter, outcome.ok_value, gateway)
        return None

    async def _switch_to_earlier_work(
        self, waiter: _Waiter, work_id: str, gateway: Gateway
    ) -> None:
        """Let a waiter wait for earlier work with the same idempotency key.

        The result may have arrived before this waiter was registered under the id of
        that work, so its owner is asked for it.
        """
        self._unregister(waiter)
        waiter.work_id = work_id
        self._register(waiter)
        view = await gateway.show(work_id, 0.0)
        if isinstance(view, Ok) and view.ok_value.is_final:
            waiter.view = view.ok_value

    async def _resolve_timeout(self, waiter: _Waiter) -> Result[WorkView, Refusal]:
        """Return what is known of a request whose deadline has passed.

        Work that may have been accepted is cancelled if no other caller of this process
        waits for it. Its owner ignores this if callers of other members do.
        """
        if waiter.view is not None:
            return Ok(waiter.view)
        self._counters.add("router.timeout")
        if not waiter.may_have_been_accepted:
            message = "no host accepted the work before its deadline"
            return Err(Refusal(ErrorKind.TIMEOUT, message))
        if len(self._waiters.get(waiter.work_id, [])) == 1:
            view = await self._cancel_request(waiter.work_id)
            if view is not None:
                return Ok(view)
        message = "the deadline passed, and the work may have run or may still run"
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))

    async def _cancel_request(self, work_id: str) -> WorkView | None:
        """Cancel a request; return its view if it is final, else None."""
        gateway = self._find_owner_gateway(work_id)
        if gateway is None:
            return None
        reason = Refusal(
            ErrorKind.TIMEOUT, "the deadline passed before the work could run"
        )
        view = await gateway.cancel(work_id, reason, self._identity.member)
        if isinstance(view, Ok) and view.ok_value.is_final:
            return view.ok_value
        return None

    async def _call_owner(
        self, work_id: str, call: Callable[[Gateway], AwaitableView]
    ) -> Result[WorkView, Refusal]:
        """Call the owner of work; retry while its partition has no reachable owner."""
        expires_at_s = self._clock.now() + OWNER_CALL_TIMEOUT_S
        # Every work id begins with the partition's name, which contains a dot.
        if "." not in partition_of_work_id(work_id):
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        last_refusal = Refusal(
            ErrorKind.NO_OWNER, "this entry reaches no owner of the partition"
        )
        while self._clock.now() < expires_at_s:
            gateway = self._find_owner_gateway(work_id)
            if gateway is not None:
                outcome = await call(gateway)
                if isinstance(outcome, Ok):
                    return outcome
                last_refusal = outcome.err_value
                if last_refusal.kind not in _NOT_ACCEPTED_KINDS:
                    return outcome
            await self._directory.wait_for_change(OWNER_CHANGE_WAIT_S)
        return Err(last_refusal)

    def _find_owner(self, work_id: str) -> Owner | None:
        return self._directory.owners.get(partition_of_work_id(work_id))

    def _find_owner_gateway(self, work_id: str) -> Gateway | None:
        owner = self._find_owner(work_id)
        return self._find_gateway(owner) if owner is not None else None

    def _register(self, waiter: _Waiter) -> None:
        self._waiters.setdefault(waiter.work_id, []).append(waiter)

    def _unregister(self, waiter: _Waiter) -> None:
        waiters = self._waiters.get(waiter.work_id, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(waiter.work_id, None)
