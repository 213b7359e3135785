"""The journal of a member, which records events of its partitions by group commit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok

from fuchsiadale.codec import encode
from fuchsiadale.decision.events import (
    AcceptedEvent,
    EndedEvent,
    JournalEvent,
    PlannedEvent,
)
from fuchsiadale.decision.rows import (
    JournalEntry,
    JournalRow,
    journal_key,
    liveness_key,
)
from fuchsiadale.decision.work import work_id_of
from fuchsiadale.entry.identity import Identity
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.table import (
    ABSENT_VERSION,
    Condition,
    TableFailure,
    TableService,
    Transaction,
    Write,
)

# Delay after the first event of a batch, in which further events join the batch.
GROUP_COMMIT_DELAY_S = 0.025
# Delay before a failed write of a batch is retried.
COMMIT_RETRY_DELAY_S = 0.25

Callback = Callable[[], None]


@define(eq=False)
class AppendHandle:
    """Tracks whether events that were appended to the journal are recorded.

    Attributes
    ----------
    is_recorded : bool
        Whether the events are recorded.
    callbacks : list of callable
        Called once the events are recorded.
    """

    is_recorded: bool = False
    callbacks: list[Callback] = field(factory=list)

    def call_when_recorded(self, callback: Callback) -> None:
        """Call `callback` once the events are recorded, or now if they already are."""
        if self.is_recorded:
            callback()
        else:
            self.callbacks.append(callback)

    def mark_recorded(self) -> None:
        """Mark the events as recorded and call the callbacks."""
        self.is_recorded = True
        for callback in self.callbacks:
            callback()
        self.callbacks.clear()


@define(eq=False)
class _Batch:
    """Events that are written to the journal in one row.

    Attributes
    ----------
    entries : list of JournalEntry
        The events by partition.
    append_handle : AppendHandle
        Tracks whether the events are recorded.
    is_in_flight : bool
        Whether a write of the batch is in progress.
    may_be_recorded : bool
        Whether the outcome of a write is unknown.
    """

    entries: list[JournalEntry] = field(factory=list)
    append_handle: AppendHandle = field(factory=AppendHandle)
    is_in_flight: bool = False
    may_be_recorded: bool = False


class Journal:
    """Records events in groups, at most one row every `GROUP_COMMIT_DELAY_S` seconds.

    Each write requires that the liveness row of the member, whose key begins with
    ``alive/``, is unchanged. A member that was declared dead therefore records nothing
    more.

    Parameters
    ----------
    table : TableService
        The table that entry hosts share.
    identity : Identity
        Identity of the member that writes the journal.
    counters : Counters
        Counts recorded rows and retries.
    on_declared_dead : callable
        Called when a write shows that the member was declared dead.
    """

    def __init__(
        self,
        table: TableService,
        identity: Identity,
        counters: Counters,
        on_declared_dead: Callback,
    ) -> None:
        self._table = table
        self._identity = identity
        self._counters = counters
        self._on_declared_dead = on_declared_dead
        self._next_number = 1
        self._open_batch = _Batch()
        self._flushing_batch: _Batch | None = None
        self._has_new_events = asyncio.Event()
        self._is_failing = False

    @property
    def next_number(self) -> int:
        """Number of the next row to be written."""
        return self._next_number

    @property
    def is_failing(self) -> bool:
        """Whether the last write of a batch failed."""
        return self._is_failing

    @property
    def is_idle(self) -> bool:
        """Whether all appended events are recorded."""
        return self._flushing_batch is None and not self._open_batch.entries

    def append(self, partition: str, events: list[JournalEvent]) -> AppendHandle:
        """Append events of a partition to the journal.

        Parameters
        ----------
        partition : str
            Name of the partition.
        events : list of JournalEvent
            The events in order; if empty, nothing is appended.

        Returns
        -------
        AppendHandle
            Reports when these events and all those appended before are recorded. The
            callbacks of events that are discarded for a new member are not called.
        """
        if events:
            self._open_batch.entries.append(JournalEntry(partition, events))
            self._has_new_events.set()
        elif not self._open_batch.entries:
            if self._flushing_batch is not None:
                return self._flushing_batch.append_handle
            recorded_handle = AppendHandle()
            recorded_handle.mark_recorded()
            return recorded_handle
        return self._open_batch.append_handle

    def withdraw(self, work_id: str) -> bool:
        """Remove the events of a job or request that are not recorded yet.

        Parameters
        ----------
        work_id : str
            Id of the job or request.

        Returns
        -------
        bool
            Whether the events were removed or there are none; False if the events may
            be recorded already.
        """
        for batch in (self._flushing_batch, self._open_batch):
            if batch is None:
                continue
            if not any(_are_events_of_work(batch, work_id)):
                continue
            if batch.is_in_flight or batch.may_be_recorded:
                return False
            for entry in batch.entries:
                entry.events[:] = [
                    event for event in entry.events if _event_work_id(event) != work_id
                ]
        return True

    def reset_for_new_member(self) -> None:
        """Start the journal of a new member and discard events not recorded yet.

        The callbacks of the discarded events are not called, unless a write in progress
        still succeeds.
        """
        self._next_number = 1
        self._open_batch = _Batch()
        self._flushing_batch = None
        self._is_failing = False

    async def run(self) -> None:
        """Record appended events until cancelled."""
        while True:
            await self._has_new_events.wait()
            await asyncio.sleep(GROUP_COMMIT_DELAY_S)
            self._has_new_events.clear()
            await self._flush()

    async def _flush(self) -> None:
        """Write the open batch and retry until it is certainly recorded."""
        batch = self._open_batch
        if not batch.entries:
            return
        self._open_batch = _Batch()
        self._flushing_batch = batch
        while self._flushing_batch is batch:
            if await self._write_batch(batch):
                self._flushing_batch = None
                self._is_failing = False
                batch.append_handle.mark_recorded()
                return
            if self._flushing_batch is batch:
                self._is_failing = True
                await asyncio.sleep(COMMIT_RETRY_DELAY_S)

    async def _write_batch(self, batch: _Batch) -> bool:
        """Try once to write a batch and return whether it is certainly recorded."""
        member = self._identity.member
        liveness_version = self._identity.liveness_version
        key = journal_key(member, self._next_number)
        transaction = Transaction(
            writes=(Write(key, encode(JournalRow(batch.entries))),),
            conditions=(
                Condition(key, ABSENT_VERSION),
                Condition(liveness_key(member), liveness_version),
            ),
            nonce=f"{member}/{self._next_number}",
        )
        batch.is_in_flight = True
        outcome = await self._table.transact(transaction)
        batch.is_in_flight = False
        if isinstance(outcome, Ok):
            self._next_number += 1
            self._counters.add("journal.recorded")
            return True
        self._counters.add(f"journal.retried.{outcome.err_value.value}")
        if outcome.err_value is TableFailure.UNKNOWN:
            batch.may_be_recorded = True
        if outcome.err_value is not TableFailure.CONFLICT:
            return False
        return await self._resolve_conflict(key, transaction.nonce)

    async def _resolve_conflict(self, key: str, nonce: str) -> bool:
        """Find out why the conditions of a write did not hold.

        Either an earlier attempt with the same nonce has written the row, or this
        member was declared dead. In the latter case, the journal is reset, which
        discards all unrecorded events, and the callback `on_declared_dead` is called.

        Returns
        -------
        bool
            Whether the row is recorded; also False if the table does not answer.
        """
        found = await self._table.read(key)
        if isinstance(found, Err):
            return False
        row = found.ok_value
        if row is not None and row.nonce == nonce:
            self._next_number += 1
            return True
        self.reset_for_new_member()
        self._on_declared_dead()
        return False


def _event_work_id(event: JournalEvent) -> str:
    """Return the id of the work that an event belongs to."""
    match event:
        case AcceptedEvent(submission=submission):
            return submission.work_id
        case PlannedEvent(task_id=task_id) | EndedEvent(task_id=task_id):
            return work_id_of(task_id)
    return event.work_id


def _are_events_of_work(batch: _Batch, work_id: str) -> list[bool]:
    """Return for each event of a batch whether it belongs to the given work."""
    return [
        _event_work_id(event) == work_id
        for entry in batch.entries
        for event in entry.events
    ]
