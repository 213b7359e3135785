"""Handles callers' requests: authorizes them, stores jobs and reports job states."""

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
from fuchsiadale.cell.peer_messages import JobView, RowOutcome
from fuchsiadale.cell.progress_rows import PROGRESS_TABLE, decode_progress
from fuchsiadale.cell.row_creator import RowCreator
from fuchsiadale.cell.row_values import MAX_ROW_BYTES, compress_if_large
from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    decode_job_record,
    read_row,
)
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.codec import encode
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import (
    JobState,
)
from fuchsiadale.decision.workflow.specification import JobRecord, JobSpecification
from fuchsiadale.ports.rows import RowStore

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
"""Form of a job id, given by the contract of the callers' interface."""

MAX_PENDING_COUNT_AGE_S = 2.5
"""Age in seconds from which the owner's counts of pending jobs are not returned.

It is the age that is promised for the counts, plus the duration of one call.
"""


@frozen
class CallerRequest:
    """Address and API key of a caller's request.

    Attributes
    ----------
    host : str
        Virtual host that the request is addressed to.
    path : str
        Path of the request, without its query.
    api_key : str
        API key sent with the request; empty if there is none.
    """

    host: str
    path: str
    api_key: str


@frozen
class _AuthorizedRequest:
    """A request whose caller may use the queue.

    Attributes
    ----------
    queue : Queue
        Queue that the path of the request selects.
    workspace : str
        Name of the workspace that the API key belongs to; empty if the request has no
        API key or an unknown one, which only a public queue accepts.
    limit : Resources or None
        Limit of the workspace; None if it has none.
    path_suffix : str
        Rest of the path after the queue's prefix: empty, or the job id, which is not
        validated yet.
    """

    queue: Queue
    workspace: str
    limit: Resources | None
    path_suffix: str


class LocalOwner(Protocol):
    """Interface of the cell's owner when it runs in the same process."""

    def take_row(self, key: str, value: bytes) -> None:
        """Process a row of the job table that was just stored."""

    def count_pending(self) -> dict[str, int]:
        """Return the number of pending jobs, by queue.

        A job is pending until its first run starts.
        """


class Gateway:
    """Handles the requests of callers that reach this process.

    Parameters
    ----------
    configuration : ConfigurationWatch
        Provides the configuration in force and its age.
    store : RowStore
        Store of jobs and of their progress.
    ownership : Ownership
        Provides the client and the last known status of the cell's owner.
    get_local_owner : callable
        Returns the cell's owner if it runs in this process, else None.
    find_local_job : callable
        Returns the state and workspace of a job that the owner in this process knows;
        None if there is no such owner or it does not know the job.
    notify_owner : callable
        Sends a stored row to the owner in another process without waiting for it.
    bounds : TimeBounds
        Time bounds that the deployment sets. By the age of the configuration, unknown
        queues and API keys are no longer denied for good, and then known API keys are
        not accepted either. Public queues accept requests at any age.
    """

    def __init__(
        self,
        configuration: ConfigurationWatch,
        store: RowStore,
        ownership: Ownership,
        get_local_owner: Callable[[], LocalOwner | None],
        find_local_job: Callable[[str], JobView | None],
        notify_owner: Callable[[str, bytes], None],
        bounds: TimeBounds,
    ) -> None:
        self._bounds = bounds
        self._configuration = configuration
        self._store = store
        self._ownership = ownership
        self._get_local_owner = get_local_owner
        self._find_local_job = find_local_job
        self._notify_owner = notify_owner
        self._row_creator = RowCreator(configuration, store, ownership)

    async def submit(
        self, request: CallerRequest, specification: Result[JobSpecification, str]
    ) -> Result[None, Refusal]:
        """Store a job; it is accepted once it is stored."""
        authorization = self._authorize(request)
        if isinstance(authorization, Err):
            return authorization
        authorized = authorization.ok_value
        if not JOB_ID_PATTERN.fullmatch(authorized.path_suffix):
            return _refuse(
                ErrorKind.MALFORMED, "the job id must be 16 lower-case hex digits"
            )
        if isinstance(specification, Err):
            return _refuse(ErrorKind.MALFORMED, specification.err_value)
        record = JobRecord(
            authorized.path_suffix,
            authorized.queue.name,
            authorized.workspace,
            unix_time_s(),
            specification.ok_value,
            authorized.queue,
            authorized.limit,
        )
        return await self._store_job(record)

    async def get_job_state(self, request: CallerRequest) -> Result[JobState, Refusal]:
        """Return the state of a job of the caller's workspace or of no workspace."""
        authorization = self._authorize(request)
        if isinstance(authorization, Err):
            return authorization
        authorized = authorization.ok_value
        view = await self._find_job(authorized.path_suffix)
        if isinstance(view, Err):
            return view
        if not _may_access(authorized, view.ok_value):
            return _refuse(ErrorKind.FORBIDDEN, "the job belongs to another workspace")
        return Ok(view.ok_value.state)

    async def cancel(self, request: CallerRequest) -> Result[None, Refusal]:
        """Cancel a job; return once the cancellation is stored.

        The cancellation of a job that does not exist is stored, too: the store may
        still perform a write of it whose answer was lost.
        """
        authorization = self._authorize(request)
        if isinstance(authorization, Err):
            return authorization
        authorized = authorization.ok_value
        job_id = authorized.path_suffix
        view = await self._find_job(job_id)
        if isinstance(view, Err):
            if not _may_be_stored_later(job_id, view.err_value):
                return view
            stored = await self._store_cancellation(job_id, is_known=False)
            return view if isinstance(stored, Ok) else stored
        if not _may_access(authorized, view.ok_value):
            return _refuse(ErrorKind.FORBIDDEN, "the job belongs to another workspace")
        if view.ok_value.state.is_final:
            return Ok(None)
        return await self._store_cancellation(job_id, is_known=True)

    async def count_pending(self, request: CallerRequest) -> Result[int, Refusal]:
        """Return the number of pending jobs of a queue.

        A job is pending until its first run starts.
        """
        authorization = self._authorize(request)
        if isinstance(authorization, Err):
            return authorization
        queue = authorization.ok_value.queue.name
        owner = self._get_local_owner()
        if owner is not None:
            return Ok(owner.count_pending().get(queue, 0))
        status = self._ownership.owner_status
        is_fresh = self._ownership.owner_status_age_s < MAX_PENDING_COUNT_AGE_S
        if status is None or status.pending is None or not is_fresh:
            return _refuse(
                ErrorKind.NO_OWNER,
                "the cell's owner has not recently reported how many jobs are pending",
            )
        return Ok(status.pending.get(queue, 0))

    async def create_row_for_peer(self, key: str, value: bytes) -> RowOutcome:
        """Store a row for a peer that the store does not answer."""
        outcome = await self._row_creator.create_for_peer(key, value)
        log_message("row_created_for_peer", key=key, outcome=outcome.value)
        if outcome is RowOutcome.STORED:
            self._forward_to_owner(key, value)
        return outcome

    def get_configuration_inputs(self) -> dict[str, object]:
        """Return version and age of the configuration, as inputs of a logged decision.

        Both are None if no configuration has been received.
        """
        current = self._configuration.current
        if current is None:
            return {"configuration": None, "configuration_age_s": None}
        return {
            "configuration": current.version,
            "configuration_age_s": round(self._configuration.age_s, 3),
        }

    def is_queue_path(self, request: CallerRequest) -> bool:
        """Return whether the path of a request names a queue and no job."""
        configuration = self._configuration.current
        if configuration is None:
            return False
        queue = configuration.find_queue(request.host, request.path)
        return queue is not None and queue.path_prefix == request.path

    def _authorize(self, request: CallerRequest) -> Result[_AuthorizedRequest, Refusal]:
        configuration = self._configuration.current
        age_s = self._configuration.age_s
        if configuration is None:
            return _refuse(
                ErrorKind.CONFIG_STALE, "no configuration has been received yet"
            )
        queue = configuration.find_queue(request.host, request.path)
        if queue is None:
            return self._deny(
                ErrorKind.NOT_FOUND,
                "no queue matches the host and path of the request",
                age_s,
            )
        workspace = configuration.find_workspace_by_key(request.api_key)
        if not queue.is_public:
            if age_s > self._bounds.max_key_staleness_s:
                return _refuse_as_stale(age_s)
            if workspace is None:
                return self._deny(
                    ErrorKind.UNAUTHENTICATED, "the API key is unknown", age_s
                )
        suffix = request.path[len(queue.path_prefix) :]
        if workspace is None:
            return Ok(_AuthorizedRequest(queue, "", None, suffix))
        limit = None if workspace.limit == NO_LIMIT else workspace.limit
        return Ok(_AuthorizedRequest(queue, workspace.name, limit, suffix))

    def _deny(self, kind: ErrorKind, message: str, age_s: float) -> Err[Refusal]:
        """Refuse for good what the configuration lacks, or for now if it is too old."""
        if age_s > self._bounds.max_denial_staleness_s:
            return _refuse_as_stale(age_s)
        return _refuse(kind, message)

    async def _store_job(self, record: JobRecord) -> Result[None, Refusal]:
        value = compress_if_large(encode(record))
        if len(value) > MAX_ROW_BYTES:
            return _refuse(ErrorKind.TOO_LARGE, "the job does not fit into a row")
        stored = await self._row_creator.create(record.job_id, value)
        log_message(
            "job_stored" if isinstance(stored, Ok) else "job_not_stored",
            job=record.job_id,
            queue=record.queue,
            workspace=record.workspace,
            outcome=_outcome_label(stored),
            **self.get_configuration_inputs(),
        )
        if isinstance(stored, Ok):
            self._forward_to_owner(record.job_id, value)
        return stored

    async def _store_cancellation(
        self, job_id: str, is_known: bool
    ) -> Result[None, Refusal]:
        key = job_id + CANCEL_SUFFIX
        stored = await self._row_creator.create(key, b"1")
        log_message(
            "cancel_stored",
            job=job_id,
            is_known=is_known,
            outcome=_outcome_label(stored),
        )
        if isinstance(stored, Ok):
            self._forward_to_owner(key, b"1")
        return stored

    def _forward_to_owner(self, key: str, value: bytes) -> None:
        owner = self._get_local_owner()
        if owner is not None:
            owner.take_row(key, value)
        else:
            self._notify_owner(key, value)

    async def _find_job(self, job_id: str) -> Result[JobView, Refusal]:
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return _refuse(ErrorKind.NO_SUCH_JOB, "no job has this id")
        view = self._find_local_job(job_id)
        client = self._ownership.owner_client
        if view is None and client is not None:
            view = await client.show_job(job_id)
        if view is not None:
            return Ok(view)
        return await self._read_job(job_id)

    async def _read_job(self, job_id: str) -> Result[JobView, Refusal]:
        """Return a job as stored; called when no reachable owner knows the job."""
        page = await self._store.read(JOB_TABLE, job_id, 2)
        if isinstance(page, Err):
            return _refuse(ErrorKind.STORE_UNAVAILABLE, "the store does not respond")
        rows = {row.key: row.value for row in page.ok_value.rows}
        if job_id not in rows:
            return _refuse(ErrorKind.NO_SUCH_JOB, "no job has this id")
        record = decode_job_record(rows[job_id])
        if isinstance(record, Err):
            return _refuse(ErrorKind.INTERNAL, record.err_value)
        progress_row = await read_row(self._store, PROGRESS_TABLE, job_id)
        if isinstance(progress_row, Err):
            return _refuse(ErrorKind.STORE_UNAVAILABLE, "the store does not respond")
        state = JobState.QUEUED
        if progress_row.ok_value is not None:
            progress = decode_progress(progress_row.ok_value.value)
            state = progress.unwrap_or(JobProgress(JobState.RUNNING)).state
        if not state.is_final and job_id + CANCEL_SUFFIX in rows:
            state = JobState.CANCELLED
        return Ok(JobView(state, record.ok_value.workspace))


def _may_access(request: _AuthorizedRequest, view: JobView) -> bool:
    return not view.workspace or view.workspace == request.workspace


def _may_be_stored_later(job_id: str, refusal: Refusal) -> bool:
    """Tell whether a job that was not found could still be stored under its id."""
    is_valid = JOB_ID_PATTERN.fullmatch(job_id) is not None
    return is_valid and refusal.kind is ErrorKind.NO_SUCH_JOB


def _refuse(kind: ErrorKind, message: str) -> Err[Refusal]:
    return Err(Refusal(kind, message))


def _refuse_as_stale(age_s: float) -> Err[Refusal]:
    return _refuse(
        ErrorKind.CONFIG_STALE,
        f"{age_s:.1f} s have passed since the configuration was confirmed, which is"
        " too long",
    )


def _outcome_label(stored: Result[None, Refusal]) -> str:
    return "stored" if isinstance(stored, Ok) else stored.err_value.kind.value
