"""Answers callers: checks their rights, stores their jobs and tells their state."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Protocol

from attrs import frozen
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.cell.boot_clock import unix_time_s
from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peers import JobView
from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    PROGRESS_TABLE,
    make_job_write,
    read_row,
)
from fuchsiadale.codec import decode
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import JobProgress, JobState
from fuchsiadale.decision.workflow.specification import JobRecord, JobSpecification
from fuchsiadale.ports.rows import (
    RowCondition,
    RowStore,
    RowWrite,
    StoreFailure,
)

JOB_ID = re.compile(r"[0-9a-f]{16}")
"""The form of a job's id, from the interface's contract."""

STORE_TRIES = 2
"""Times a write is sent before its outcome is told as unknown."""

STORE_TIMEOUT_S = 1.2
"""Seconds for one write; two fit into a caller's patience of 3 s."""

PENDING_AGE_S = 2.5
"""Age up to which the owner's counts are told: its promise and a call."""


@frozen
class Call:
    """One call of a caller.

    Attributes
    ----------
    host : str
        The virtual host.
    path : str
        The path without its query.
    key : str
        The key that came with it; empty if none did.
    """

    host: str
    path: str
    key: str


@frozen
class _Right:
    """A call's queue, workspace and what follows the queue's prefix."""

    queue: Queue
    workspace: str
    name: str


class OwnedCell(Protocol):
    """What the gateway needs of an owner in the same process."""

    def take_row(self, key: str, value: bytes) -> None:
        """Take a stored row in."""

    def count_pending(self) -> dict[str, int]:
        """Return how many jobs of each queue have started nothing."""


class Gateway:
    """Answers callers of one process.

    Parameters
    ----------
    configuration : ConfigurationWatch
        The configuration.
    store : RowStore
        Where jobs are kept.
    ownership : Ownership
        Who owns the cell.
    owned : callable
        Returns the owner in this process, or None.
    show_owned : callable
        Returns a job that the owner in this process knows, or None.
    notify : callable
        Hands a stored row to the owner elsewhere without waiting.
    key_trust_s : float
        Age of the configuration from which keys are not trusted, in seconds.
    """

    def __init__(
        self,
        configuration: ConfigurationWatch,
        store: RowStore,
        ownership: Ownership,
        owned: Callable[[], OwnedCell | None],
        show_owned: Callable[[str], JobView | None],
        notify: Callable[[str, bytes], None],
        key_trust_s: float,
    ) -> None:
        self._key_trust_s = key_trust_s
        self._configuration = configuration
        self._store = store
        self._ownership = ownership
        self._owned = owned
        self._show_owned = show_owned
        self._notify = notify

    async def submit(
        self, call: Call, specification: Result[JobSpecification, str]
    ) -> Result[None, Refusal]:
        """Accept a job once it is stored."""
        right = self._authorize(call)
        if isinstance(right, Err):
            return right
        found = right.ok_value
        if not JOB_ID.fullmatch(found.name):
            return _refuse(ErrorKind.MALFORMED, "the job's id is not 16 hex digits")
        if isinstance(specification, Err):
            return _refuse(ErrorKind.MALFORMED, specification.err_value)
        record = JobRecord(
            found.name,
            found.queue.name,
            found.workspace,
            unix_time_s(),
            specification.ok_value,
        )
        return await self._store_job(record)

    async def show(self, call: Call) -> Result[JobState, Refusal]:
        """Return a job's state."""
        right = self._authorize(call)
        if isinstance(right, Err):
            return right
        found = right.ok_value
        view = await self._view(found.name)
        if isinstance(view, Err):
            return view
        if not _may_see(found, view.ok_value):
            return _refuse(ErrorKind.FORBIDDEN, "the job is another workspace's")
        return Ok(view.ok_value.state)

    async def cancel(self, call: Call) -> Result[None, Refusal]:
        """Cancel a job; it is stored before the answer."""
        right = self._authorize(call)
        if isinstance(right, Err):
            return right
        found = right.ok_value
        view = await self._view(found.name)
        if isinstance(view, Err):
            return view
        if not _may_see(found, view.ok_value):
            return _refuse(ErrorKind.FORBIDDEN, "the job is another workspace's")
        if view.ok_value.state.is_final:
            return Ok(None)
        key = found.name + CANCEL_SUFFIX
        stored = await self._put_once(RowWrite(JOB_TABLE, key, b"1"))
        log_message("cancel_stored", job=found.name, outcome=_outcome(stored))
        if isinstance(stored, Err):
            return stored
        self._hand_over(key, b"1")
        return Ok(None)

    async def count_pending(self, call: Call) -> Result[int, Refusal]:
        """Return how many jobs of a queue have started nothing."""
        right = self._authorize(call)
        if isinstance(right, Err):
            return right
        queue = right.ok_value.queue.name
        owned = self._owned()
        if owned is not None:
            return Ok(owned.count_pending().get(queue, 0))
        standing = self._ownership.owner_status
        is_fresh = self._ownership.owner_status_age_s < PENDING_AGE_S
        if standing is None or standing.pending is None or not is_fresh:
            return _refuse(ErrorKind.NO_OWNER, "no owner has told the counts lately")
        return Ok(standing.pending.get(queue, 0))

    def is_count(self, call: Call) -> bool:
        """Tell whether a call names a queue and no job."""
        configuration = self._configuration.current
        if configuration is None:
            return False
        queue = configuration.find_queue(call.host, call.path)
        return queue is not None and queue.path_prefix == call.path

    def _authorize(self, call: Call) -> Result[_Right, Refusal]:
        configuration = self._configuration.current
        age_s = self._configuration.age_s
        if configuration is None:
            return _refuse(ErrorKind.CONFIG_STALE, "no configuration yet")
        queue = configuration.find_queue(call.host, call.path)
        if queue is None:
            if age_s > self._key_trust_s:
                return _refuse(ErrorKind.CONFIG_STALE, f"{age_s:.1f} s old")
            return _refuse(ErrorKind.NOT_FOUND, "no such queue")
        workspace = configuration.find_workspace_by_key(call.key)
        if not queue.is_public:
            if age_s > self._key_trust_s:
                return _refuse(ErrorKind.CONFIG_STALE, f"{age_s:.1f} s old")
            if workspace is None:
                return _refuse(ErrorKind.UNAUTHENTICATED, "unknown key")
        name = call.path[len(queue.path_prefix) :]
        return Ok(_Right(queue, workspace.name if workspace else "", name))

    async def _store_job(self, record: JobRecord) -> Result[None, Refusal]:
        write = make_job_write(record)
        stored = await self._put_once(write)
        log_message(
            "job_stored" if isinstance(stored, Ok) else "job_not_stored",
            job=record.job_id,
            queue=record.queue,
            workspace=record.workspace,
            outcome=_outcome(stored),
            configuration_age_s=round(self._configuration.age_s, 3),
        )
        if isinstance(stored, Ok) and write.value is not None:
            self._hand_over(write.key, write.value)
        return stored

    async def _put_once(self, write: RowWrite) -> Result[None, Refusal]:
        """Store a row unless it exists; a row that exists is as good."""
        if self._configuration.is_failing:
            # Not sending the change keeps "not accepted" true.
            message = "the store does not answer; the change was not sent"
            return _refuse(ErrorKind.STORE_UNAVAILABLE, message)
        is_unknown = False
        condition = RowCondition(write.table, write.key, 0)
        for _ in range(STORE_TRIES):
            outcome = await self._store.transact(
                (write,), (condition,), STORE_TIMEOUT_S
            )
            if isinstance(outcome, Ok):
                return Ok(None)
            failure = outcome.err_value
            if failure is StoreFailure.CONFLICT:
                return Ok(None)
            if failure is not StoreFailure.UNKNOWN:
                break
            is_unknown = True
        if is_unknown:
            message = "the store did not say whether it took the change"
            return _refuse(ErrorKind.OUTCOME_UNKNOWN, message)
        return _refuse(ErrorKind.STORE_UNAVAILABLE, "the store takes no changes")

    def _hand_over(self, key: str, value: bytes) -> None:
        owned = self._owned()
        if owned is not None:
            owned.take_row(key, value)
        else:
            self._notify(key, value)

    async def _view(self, job_id: str) -> Result[JobView, Refusal]:
        if not JOB_ID.fullmatch(job_id):
            return _refuse(ErrorKind.NO_SUCH_JOB, "no such job")
        view = self._show_owned(job_id)
        client = self._ownership.owner_client
        if view is None and client is not None:
            view = await client.show_job(job_id)
        if view is not None:
            return Ok(view)
        return await self._view_stored(job_id)

    async def _view_stored(self, job_id: str) -> Result[JobView, Refusal]:
        """Return a job from the store, for want of an owner who knows it."""
        page = await self._store.read(JOB_TABLE, job_id, 2)
        if isinstance(page, Err):
            return _refuse(ErrorKind.STORE_UNAVAILABLE, "the store does not answer")
        rows = {row.key: row.value for row in page.ok_value.rows}
        if job_id not in rows:
            return _refuse(ErrorKind.NO_SUCH_JOB, "no such job")
        record = decode(rows[job_id], JobRecord)
        if isinstance(record, Err):
            return _refuse(ErrorKind.INTERNAL, record.err_value)
        progress_row = await read_row(self._store, PROGRESS_TABLE, job_id)
        if isinstance(progress_row, Err):
            return _refuse(ErrorKind.STORE_UNAVAILABLE, "the store does not answer")
        state = JobState.QUEUED
        if progress_row.ok_value is not None:
            progress = decode(progress_row.ok_value.value, JobProgress)
            state = progress.unwrap_or(JobProgress(JobState.RUNNING)).state
        if not state.is_final and job_id + CANCEL_SUFFIX in rows:
            state = JobState.CANCELLED
        return Ok(JobView(state, record.ok_value.workspace))


def _may_see(right: _Right, view: JobView) -> bool:
    return not view.workspace or view.workspace == right.workspace


def _refuse(kind: ErrorKind, message: str) -> Err[Refusal]:
    return Err(Refusal(kind, message))


def _outcome(stored: Result[None, Refusal]) -> str:
    return "stored" if isinstance(stored, Ok) else stored.err_value.kind.value
