"""A partition that this member owns, with its driver and its row in the table."""

from __future__ import annotations

from attrs import evolve
from result import Err

from fuchsiadale.codec import encode
from fuchsiadale.config.model import Configuration
from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.rows import (
    JournalEntry,
    JournalRow,
    JournalSegment,
    PartitionRow,
    partition_key,
)
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.journal import Journal
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.entry.recovery import PartitionStateStore
from fuchsiadale.entry.use_recorder import UseRecorder
from fuchsiadale.entry.worker_list import WorkerList
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.table import (
    Condition,
    TableService,
    Transaction,
    Write,
    transact_with_readback,
)

# A new snapshot is due after this many events since the last attempt to write one.
SNAPSHOT_EVENT_THRESHOLD = 5000
# A new snapshot is due once the member's journal has grown by this many rows since
# the partition's current segment began.
SNAPSHOT_ROW_THRESHOLD = 2000
# A new snapshot is due if the partition has more journal segments than this; each new
# owner adds one.
MAX_SEGMENTS = 4


class HostedPartition:
    """Updates the row of an owned partition as the state of its driver changes.

    Parameters
    ----------
    pool : str
        Name of the pool that the partition is a slice of.
    driver : PartitionDriver
        Driver of the partition.
    authority : Authority
        Authority to act for the partition.
    row : PartitionRow
        Row of the partition.
    row_version : int
        Version of the row.
    table : TableService
        The table that holds the row.
    state_store : PartitionStateStore
        Stores snapshots.
    worker_list : WorkerList
        The listed workers.
    identity : Identity
        Identity of this member.
    journal : Journal
        Journal of this member.
    counters : Counters
        Counts the snapshots.

    Attributes
    ----------
    pool : str
        Name of the pool that the partition is a slice of.
    driver : PartitionDriver
        Driver of the partition.
    authority : Authority
        Authority to act for the partition.
    row : PartitionRow
        Row of the partition as this member last wrote it.
    not_preferred_since_s : float or None
        Time since which the assignment prefers another owner, on the local clock in
        seconds; None if it does not.
    """

    def __init__(
        self,
        pool: str,
        driver: PartitionDriver,
        authority: Authority,
        row: PartitionRow,
        row_version: int,
        table: TableService,
        state_store: PartitionStateStore,
        worker_list: WorkerList,
        identity: Identity,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self.pool = pool
        self.driver = driver
        self.authority = authority
        self.row = row
        self.not_preferred_since_s: float | None = None
        self._row_version = row_version
        self._table = table
        self._state_store = state_store
        self._worker_list = worker_list
        self._identity = identity
        self._journal = journal
        self._counters = counters
        self._use_recorder = UseRecorder(
            table,
            identity,
            driver.name,
            driver.partition.scheduler.past_use,
        )

    @property
    def listed_workers(self) -> list[WorkerInfo]:
        """The workers in the list of workers that are witnesses of the partition."""
        workers_by_name = self._worker_list.workers
        return [
            workers_by_name[name]
            for name in self.row.witnesses
            if name in workers_by_name
        ]

    def update_driver_workers(self) -> None:
        """Pass the listed workers and the witnesses to the driver."""
        self.driver.set_workers(self.listed_workers, self.row.witnesses)

    async def release(self) -> bool:
        """Remove this member as owner from the row of the partition.

        This ends its journal segment at the last recorded row.

        Returns
        -------
        bool
            Whether the row is certainly written.
        """
        last = self._journal.next_number - 1
        segments = (*self.row.segments[:-1], evolve(self.row.segments[-1], last=last))
        return await self._write_row(evolve(self.row, owner="", segments=segments))

    async def update_witnesses(self, configuration: Configuration) -> None:
        """Update the witnesses in the row of the partition.

        The witnesses are the listed workers of the partition and all workers that still
        have attempts of it. The row stays as it is if the pool is not configured, the
        witnesses are unchanged or the owner may not act.

        Parameters
        ----------
        configuration : Configuration
            The configuration in force.
        """
        pool = configuration.pools.get(self.pool)
        if pool is None:
            return
        listed = self._worker_list.list_partition_workers(
            self.pool, pool.slices, self.driver.name
        )
        ledger_workers = self.driver.partition.ledger.workers
        witness_names = {info.name for info in listed}
        witness_names |= {
            name for name, worker in ledger_workers.items() if worker.attempts
        }
        if witness_names == set(self.row.witnesses) or not self.authority.may_act():
            return
        witnesses = tuple(sorted(witness_names))
        self.authority.propose_witnesses(witnesses)
        if await self._write_row(evolve(self.row, witnesses=witnesses)):
            self.authority.confirm_witnesses(witnesses)
            self.update_driver_workers()

    async def record_use_if_due(self) -> None:
        """Record the past use of teams from time to time, if it counts."""
        await self._use_recorder.record_if_due()

    async def write_snapshot_if_due(self) -> None:
        """Write a snapshot if there are many events, an old segment or many segments.

        A partition without new events needs one too, because the member's journal
        cannot be truncated beyond the start of the partition's segment.
        """
        first = self._journal.next_number
        segments = self.row.segments
        has_many_events = self.driver.events_since_snapshot >= SNAPSHOT_EVENT_THRESHOLD
        has_old_segment = first - segments[-1].first >= SNAPSHOT_ROW_THRESHOLD
        has_many_segments = len(segments) > MAX_SEGMENTS
        if has_many_events or has_old_segment or has_many_segments:
            await self._write_snapshot(first)

    async def _write_snapshot(self, first: int) -> None:
        """Write a snapshot that replaces all journal segments of the partition.

        The new segment begins at row `first` of this member's journal.
        """
        entry = JournalEntry(
            self.driver.name,
            list(self.driver.partition.work_registry.snapshot_events()),
        )
        name = f"snapshot/{self.driver.name}/{self.row.epoch}-{first}"
        self.driver.events_since_snapshot = 0
        written = await self._state_store.write_snapshot(name, JournalRow([entry]))
        if isinstance(written, Err):
            return
        previous_snapshot = self.row.snapshot
        segment = JournalSegment(self._identity.member, first)
        if await self._write_row(evolve(self.row, snapshot=name, segments=(segment,))):
            self._counters.add("ownership.snapshot")
            if previous_snapshot:
                await self._state_store.delete_snapshot(previous_snapshot)

    async def _write_row(self, row: PartitionRow) -> bool:
        """Write the row if the stored row still has the version last seen.

        Returns
        -------
        bool
            Whether the row is certainly written.
        """
        key = partition_key(self.driver.name)
        transaction = Transaction(
            writes=(Write(key, encode(row)),),
            conditions=(Condition(key, self._row_version),),
        )
        outcome = await transact_with_readback(self._table, transaction)
        if isinstance(outcome, Err):
            return False
        self.row = row
        self._row_version = outcome.ok_value.version
        return True
