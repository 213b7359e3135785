"""A partition that this member owns: its driver and its row in the table."""

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
from fuchsiadale.entry.recovery import RecordedState
from fuchsiadale.entry.workers_driver import WorkerList
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.table import (
    Condition,
    TableService,
    Transaction,
    Write,
    transact_with_readback,
)

SNAPSHOT_EVENTS = 5000
SNAPSHOT_ROWS = 2000
MAX_SEGMENTS = 4


class HostedPartition:
    """Keeps the row of an owned partition in step with its driver.

    Parameters
    ----------
    pool : str
        The pool that it is a slice of.
    driver : PartitionDriver
        Drives it.
    authority : Authority
        The right to act for it.
    row : PartitionRow
        Its row.
    row_version : int
        The row's version.
    table : TableService
        Holds the row.
    state : RecordedState
        Takes snapshots.
    worker_list : WorkerList
        The workers.
    identity : Identity
        This member.
    journal : Journal
        Its journal.
    counters : Counters
        Takes the counts.
    """

    def __init__(
        self,
        pool: str,
        driver: PartitionDriver,
        authority: Authority,
        row: PartitionRow,
        row_version: int,
        table: TableService,
        state: RecordedState,
        worker_list: WorkerList,
        identity: Identity,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self.pool = pool
        self.driver = driver
        self.authority = authority
        self.row = row
        self.unwanted_since_s: float | None = None
        self._row_version = row_version
        self._table = table
        self._state = state
        self._worker_list = worker_list
        self._identity = identity
        self._journal = journal
        self._counters = counters

    @property
    def listed_workers(self) -> list[WorkerInfo]:
        """The listed workers among the partition's witnesses."""
        known = self._worker_list.workers
        return [known[name] for name in self.row.witnesses if name in known]

    def show_workers(self) -> None:
        """Let the driver see the host list and the witnesses."""
        self.driver.set_workers(self.listed_workers, self.row.witnesses)

    async def release(self) -> bool:
        """Free the partition; return whether the row surely says so."""
        last = self._journal.next_number - 1
        segments = (*self.row.segments[:-1], evolve(self.row.segments[-1], last=last))
        return await self._write_row(evolve(self.row, owner="", segments=segments))

    async def update_witnesses(self, configuration: Configuration) -> None:
        """Bring the row's witness set to the workers listed or charged."""
        pool = configuration.pools.get(self.pool)
        if pool is None:
            return
        listed = self._worker_list.of_partition(
            self.pool, pool.slices, self.driver.name
        )
        charged = self.driver.partition.ledger.workers
        wanted = {info.name for info in listed}
        wanted |= {name for name, worker in charged.items() if worker.attempts}
        if wanted == set(self.row.witnesses) or not self.authority.may_act():
            return
        witnesses = tuple(sorted(wanted))
        self.authority.propose_witnesses(witnesses)
        if await self._write_row(evolve(self.row, witnesses=witnesses)):
            self.authority.confirm_witnesses(witnesses)
            self.show_workers()

    async def snapshot_if_due(self) -> None:
        """Replace the journal so far by a snapshot once it has grown long.

        A quiet partition is written too, since it holds back the cutting of the whole
        member's journal.
        """
        first = self._journal.next_number
        segments = self.row.segments
        is_long = self.driver.events_since_snapshot >= SNAPSHOT_EVENTS
        is_old = first - segments[-1].first >= SNAPSHOT_ROWS
        is_scattered = len(segments) > MAX_SEGMENTS
        if is_long or is_old or is_scattered:
            await self._snapshot(first)

    async def _snapshot(self, first: int) -> None:
        """Write a snapshot that holds everything recorded before row `first`."""
        entry = JournalEntry(
            self.driver.name,
            list(self.driver.partition.work_registry.snapshot_events()),
        )
        name = f"snapshot/{self.driver.name}/{self.row.epoch}-{first}"
        self.driver.events_since_snapshot = 0
        written = await self._state.write_snapshot(name, JournalRow([entry]))
        if isinstance(written, Err):
            return
        former = self.row.snapshot
        segment = JournalSegment(self._identity.member, first)
        if await self._write_row(evolve(self.row, snapshot=name, segments=(segment,))):
            self._counters.add("ownership.snapshot")
            if former:
                await self._state.discard_snapshot(former)

    async def _write_row(self, row: PartitionRow) -> bool:
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
