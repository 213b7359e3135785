"""The journal of one member: group commits of the events of its partitions."""

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

GROUP_COMMIT_S = 0.025
FAILED_COMMIT_DELAY_S = 0.25

Callback = Callable[[], None]


@define(eq=False)
class Ticket:
    """Stands for events that are to be recorded.

    Attributes
    ----------
    recorded : bool
        Whether they are on record.
    callbacks : list of callable
        Called once they are.
    """

    recorded: bool = False
    callbacks: list[Callback] = field(factory=list)

    def when_recorded(self, callback: Callback) -> None:
        """Call back once the events are on record, at once if they are."""
        if self.recorded:
            callback()
        else:
            self.callbacks.append(callback)

    def complete(self) -> None:
        """Note that the events are on record."""
        self.recorded = True
        for callback in self.callbacks:
            callback()
        self.callbacks.clear()


@define(eq=False)
class _Batch:
    entries: list[JournalEntry] = field(factory=list)
    ticket: Ticket = field(factory=Ticket)
    in_flight: bool = False
    uncertain: bool = False


class Journal:
    """Records events in one row every `GROUP_COMMIT_S` seconds at most.

    A row is written only while the member's ``alive`` row is in place, so a member
    that was declared dead records nothing more.

    Parameters
    ----------
    table : TableService
        The table.
    identity : Identity
        The member that writes.
    counters : Counters
        Takes the counts.
    on_lost : callable
        Called when the member turns out to have been declared dead.
    """

    def __init__(
        self,
        table: TableService,
        identity: Identity,
        counters: Counters,
        on_lost: Callback,
    ) -> None:
        self._table = table
        self._identity = identity
        self._counters = counters
        self._on_lost = on_lost
        self._next_number = 1
        self._batch = _Batch()
        self._flushing: _Batch | None = None
        self._filled = asyncio.Event()
        self._failing = False

    @property
    def next_number(self) -> int:
        """The number that the next row will have."""
        return self._next_number

    @property
    def is_failing(self) -> bool:
        """Whether the last attempt to record failed."""
        return self._failing

    @property
    def is_idle(self) -> bool:
        """Whether everything handed in is on record."""
        return self._flushing is None and not self._batch.entries

    def append(self, partition: str, events: list[JournalEvent]) -> Ticket:
        """Hand in events of a partition; those without any wait for earlier ones."""
        if events:
            self._batch.entries.append(JournalEntry(partition, events))
            self._filled.set()
        elif not self._batch.entries:
            if self._flushing is not None:
                return self._flushing.ticket
            done = Ticket()
            done.complete()
            return done
        return self._batch.ticket

    def withdraw(self, work_id: str) -> bool:
        """Take back the events of a work; False if they may be on record."""
        for batch in (self._flushing, self._batch):
            if batch is None:
                continue
            if not any(_concerns(batch, work_id)):
                continue
            if batch.in_flight or batch.uncertain:
                return False
            for entry in batch.entries:
                entry.events[:] = [
                    event for event in entry.events if _work_of(event) != work_id
                ]
        return True

    def restart(self) -> None:
        """Begin the journal of a new member; what was not recorded is dropped."""
        self._next_number = 1
        self._batch = _Batch()
        self._flushing = None
        self._failing = False

    async def run(self) -> None:
        """Record what is handed in, for ever."""
        while True:
            await self._filled.wait()
            await asyncio.sleep(GROUP_COMMIT_S)
            self._filled.clear()
            await self._flush()

    async def _flush(self) -> None:
        """Record the present batch, trying until it surely is on record."""
        batch = self._batch
        if not batch.entries:
            return
        self._batch = _Batch()
        self._flushing = batch
        while self._flushing is batch:
            if await self._write(batch):
                self._flushing = None
                self._failing = False
                batch.ticket.complete()
                return
            if self._flushing is batch:
                self._failing = True
                await asyncio.sleep(FAILED_COMMIT_DELAY_S)

    async def _write(self, batch: _Batch) -> bool:
        member = self._identity.member
        alive_version = self._identity.alive_version
        key = journal_key(member, self._next_number)
        transaction = Transaction(
            writes=(Write(key, encode(JournalRow(batch.entries))),),
            conditions=(
                Condition(key, ABSENT_VERSION),
                Condition(liveness_key(member), alive_version),
            ),
            nonce=f"{member}/{self._next_number}",
        )
        batch.in_flight = True
        outcome = await self._table.transact(transaction)
        batch.in_flight = False
        if isinstance(outcome, Ok):
            self._next_number += 1
            self._counters.add("journal.recorded")
            return True
        self._counters.add(f"journal.retried.{outcome.err_value.value}")
        if outcome.err_value is TableFailure.UNKNOWN:
            batch.uncertain = True
        if outcome.err_value is not TableFailure.CONFLICT:
            return False
        return await self._resolve_conflict(key, transaction.nonce)

    async def _resolve_conflict(self, key: str, nonce: str) -> bool:
        """Tell a row written after all from a member that was declared dead."""
        found = await self._table.read(key)
        if isinstance(found, Err):
            return False
        row = found.ok_value
        if row is not None and row.nonce == nonce:
            self._next_number += 1
            return True
        self.restart()
        self._on_lost()
        return False


def _work_of(event: JournalEvent) -> str:
    match event:
        case AcceptedEvent(submission=submission):
            return submission.work_id
        case PlannedEvent(task_id=task_id) | EndedEvent(task_id=task_id):
            return work_id_of(task_id)
    return event.work_id


def _concerns(batch: _Batch, work_id: str) -> list[bool]:
    return [
        _work_of(event) == work_id for entry in batch.entries for event in entry.events
    ]
