"""Takes, keeps and hands over partitions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field
from eliot import log_message
from result import Err, Ok

from fuchsiadale.codec import decode, encode
from fuchsiadale.config.model import Configuration, PoolConfig
from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.membership import assign_owners, partition_name
from fuchsiadale.decision.rows import (
    EPOCH_KEY,
    PARTITION_PREFIX,
    EpochRow,
    JournalSegment,
    PartitionRow,
    liveness_key,
    partition_key,
)
from fuchsiadale.entry.directory import Directory, Owner
from fuchsiadale.entry.hosted_partition import HostedPartition
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.membership_driver import MembershipDriver
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.entry.partition_tools import PartitionTools
from fuchsiadale.entry.recovery import RecordedState
from fuchsiadale.entry.workers_driver import WorkerList
from fuchsiadale.ports.table import (
    ABSENT_VERSION,
    Condition,
    TableService,
    Transaction,
    Write,
    transact_with_readback,
)

WATCH_PERIOD_S = 1.0
HANDOVER_PATIENCE_S = 3.0
FLUSH_WAIT_S = 5.0
FLUSH_POLL_S = 0.01


@define
class _Reading:
    rows: dict[str, PartitionRow] = field(factory=dict)
    versions: dict[str, int] = field(factory=dict)


class OwnershipDriver:
    """Decides which partitions this member owns.

    Parameters
    ----------
    table : TableService
        The table.
    state : RecordedState
        Snapshots and journals.
    identity : Identity
        This member.
    membership : MembershipDriver
        The members.
    directory : Directory
        Takes the owners.
    worker_list : WorkerList
        The workers.
    tools : PartitionTools
        What partition drivers share.
    configuration : callable
        Returns the configuration in force, or None before there is one.
    on_taken : callable
        Called with the driver of a partition that was taken.
    """

    def __init__(
        self,
        table: TableService,
        state: RecordedState,
        identity: Identity,
        membership: MembershipDriver,
        directory: Directory,
        worker_list: WorkerList,
        tools: PartitionTools,
        configuration: Callable[[], Configuration | None],
        on_taken: Callable[[PartitionDriver], None],
    ) -> None:
        self._table = table
        self._state = state
        self._identity = identity
        self._membership = membership
        self._directory = directory
        self._worker_list = worker_list
        self._tools = tools
        self._configuration = configuration
        self._on_taken = on_taken
        self._hosted: dict[str, HostedPartition] = {}
        self._renewal_sent_s: float | None = None
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()

    @property
    def drivers(self) -> dict[str, PartitionDriver]:
        """The drivers of the partitions that this member owns, by name."""
        return {name: hosted.driver for name, hosted in self._hosted.items()}

    def lease_renewed(self, sent_s: float) -> None:
        """Tell every partition that the member's lease was renewed."""
        self._renewal_sent_s = sent_s
        for hosted in self._hosted.values():
            hosted.authority.record_lease_renewal(sent_s)

    def wake(self) -> None:
        """Look at the table soon."""
        self._wake.set()

    def workers_changed(self) -> None:
        """Let every partition see the changed host list."""
        for hosted in self._hosted.values():
            hosted.show_workers()
        self.wake()

    async def run(self) -> None:
        """Watch the table, for ever."""
        while True:
            await self.watch()
            try:
                async with asyncio.timeout(WATCH_PERIOD_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def watch(self) -> None:
        """Read members and partitions once, then take and hand over."""
        if not await self._membership.observe():
            return
        reading = await self._read_partitions()
        if reading is None:
            return
        self._directory.update(dict(self._membership.members), reading.rows)
        if not self._membership.has_joined:
            return
        await self._membership.declare_dead()
        async with self._lock:
            await self._drop_lost(reading)
            await self._take_and_hand_over(reading)
            for hosted in list(self._hosted.values()):
                configuration = self._configuration()
                if configuration is not None:
                    await hosted.update_witnesses(configuration)
                await hosted.snapshot_if_due()

    async def drop_all(self) -> None:
        """Stop driving everything, since this member was declared dead."""
        async with self._lock:
            for name in list(self._hosted):
                await self._drop(name)

    async def hand_over_all(self) -> None:
        """Hand over every partition before a planned stop."""
        async with self._lock:
            for hosted in list(self._hosted.values()):
                await self._hand_over(hosted)

    def lost(self, name: str) -> None:
        """Stop driving a partition that has a newer owner, whatever the store says.

        Every heartbeat ends with it: a task that the new owner cannot reach must not
        have its lease renewed while the new owner waits for the lease to lapse.
        """
        hosted = self._hosted.get(name)
        if hosted is None or hosted.authority.is_revoked:
            return
        hosted.authority.revoke()
        self._tools.counters.add("ownership.stale_epoch")
        self._tools.supervisor.start(f"drop/{name}", lambda: self._drop(name))
        self.wake()

    async def _read_partitions(self) -> _Reading | None:
        rows = await self._table.scan(PARTITION_PREFIX)
        if isinstance(rows, Err):
            return None
        reading = _Reading()
        for row in rows.ok_value:
            decoded = decode(row.value, PartitionRow)
            if isinstance(decoded, Ok):
                name = row.key.removeprefix(PARTITION_PREFIX)
                reading.rows[name] = decoded.ok_value
                reading.versions[name] = row.version
        return reading

    async def _drop_lost(self, reading: _Reading) -> None:
        for name, hosted in list(self._hosted.items()):
            row = reading.rows.get(name)
            is_newer = row is not None and row.epoch > hosted.row.epoch
            if is_newer or hosted.authority.is_revoked:
                await self._drop(name)

    async def _drop(self, name: str) -> None:
        hosted = self._hosted.pop(name, None)
        if hosted is None:
            return
        log_message("partition_lost", partition=name)
        self._tools.counters.add("ownership.lost")
        await hosted.driver.close()
        self._directory.set_owner(name, None)

    async def _take_and_hand_over(self, reading: _Reading) -> None:
        configuration = self._configuration()
        if configuration is None or not self._worker_list.is_loaded:
            return
        pools = _partitions_of(configuration)
        members = self._membership.members
        preferred = assign_owners(pools, members)
        me = self._identity.member
        for name in set(self._hosted) - set(pools):
            await self._hand_over(self._hosted[name])
        for name, pool in pools.items():
            if name in self._hosted:
                await self._consider_handing_over(name, preferred.get(name))
                continue
            row = reading.rows.get(name)
            is_owned = row is not None and row.owner in members
            if not is_owned and preferred.get(name) == me:
                config = configuration.pools[pool]
                await self._take(name, pool, config, row, reading)

    async def _consider_handing_over(self, name: str, preferred: str | None) -> None:
        hosted = self._hosted[name]
        if preferred is None or preferred == self._identity.member:
            hosted.unwanted_since_s = None
            return
        now_s = self._tools.clock.now()
        if hosted.unwanted_since_s is None:
            hosted.unwanted_since_s = now_s
        patience_s = 0.0 if self._membership.draining else HANDOVER_PATIENCE_S
        if now_s - hosted.unwanted_since_s >= patience_s:
            await self._hand_over(hosted)

    async def _take(
        self,
        name: str,
        pool: str,
        config: PoolConfig,
        row: PartitionRow | None,
        reading: _Reading,
    ) -> None:
        """Raise the epoch, become the owner and recover the partition's state."""
        epoch_row = await self._table.read(EPOCH_KEY)
        if isinstance(epoch_row, Err):
            return
        stored = epoch_row.ok_value
        last_epoch = 0
        if stored is not None:
            decoded = decode(stored.value, EpochRow)
            if isinstance(decoded, Err):
                return
            last_epoch = decoded.ok_value.epoch
        taken_over = row is not None and row.owner != ""
        taken = self._taken_row(name, pool, config, row, last_epoch + 1)
        transaction = Transaction(
            writes=(
                Write(partition_key(name), encode(taken)),
                Write(EPOCH_KEY, encode(EpochRow(taken.epoch))),
            ),
            conditions=(
                Condition(
                    partition_key(name), reading.versions.get(name, ABSENT_VERSION)
                ),
                Condition(EPOCH_KEY, stored.version if stored else ABSENT_VERSION),
                Condition(
                    liveness_key(self._identity.member), self._identity.alive_version
                ),
            ),
        )
        outcome = await transact_with_readback(self._table, transaction)
        if isinstance(outcome, Err):
            self._tools.counters.add(f"ownership.take.{outcome.err_value.value}")
            self._wake.set()
            return
        await self._open(
            name, pool, config, taken, outcome.ok_value.version, taken_over
        )

    def _taken_row(
        self,
        name: str,
        pool: str,
        config: PoolConfig,
        row: PartitionRow | None,
        epoch: int,
    ) -> PartitionRow:
        segment = JournalSegment(self._identity.member, self._tools.journal.next_number)
        if row is None:
            listed = self._worker_list.of_partition(pool, config.slices, name)
            witnesses = tuple(sorted(info.name for info in listed))
            return PartitionRow(
                self._identity.member, epoch, witnesses, segments=(segment,)
            )
        return evolve(
            row,
            owner=self._identity.member,
            epoch=epoch,
            segments=(*row.segments, segment),
        )

    async def _open(
        self,
        name: str,
        pool: str,
        config: PoolConfig,
        row: PartitionRow,
        row_version: int,
        taken_over: bool,
    ) -> None:
        authority = Authority(
            self._tools.clock, row.witnesses, taken_over, config.fencing
        )
        if self._renewal_sent_s is not None:
            authority.record_lease_renewal(self._renewal_sent_s)
        events = await self._state.read(name, row)
        while isinstance(events, Err):
            log_message("recovery_failed", partition=name, error=events.err_value)
            self._tools.counters.add("ownership.recovery_retried")
            await asyncio.sleep(WATCH_PERIOD_S)
            events = await self._state.read(name, row)
        driver = PartitionDriver(
            name, row.epoch, authority, config.order, self._tools, self.lost
        )
        hosted = HostedPartition(
            pool,
            driver,
            authority,
            row,
            row_version,
            self._table,
            self._state,
            self._worker_list,
            self._identity,
            self._tools.journal,
            self._tools.counters,
        )
        self._hosted[name] = hosted
        driver.open(events.ok_value, hosted.listed_workers, row.witnesses)
        self._on_taken(driver)
        log_message(
            "partition_taken", partition=name, epoch=row.epoch, taken_over=taken_over
        )
        peer_address = self._identity.row(0, False).peer_address
        owner = Owner(self._identity.member, peer_address, row.epoch)
        self._directory.set_owner(name, owner)

    async def _hand_over(self, hosted: HostedPartition) -> None:
        """Stop deciding, put everything on record and free the partition."""
        name = hosted.driver.name
        await hosted.driver.settle()
        await hosted.driver.close()
        if await self._wait_for_journal():
            await hosted.release()
            self._tools.counters.add("ownership.handed_over")
            log_message("partition_handed_over", partition=name)
        self._hosted.pop(name, None)
        self._directory.set_owner(name, None)

    async def _wait_for_journal(self) -> bool:
        """Return whether everything handed in came on record in time."""
        give_up_s = self._tools.clock.now() + FLUSH_WAIT_S
        while not self._tools.journal.is_idle:
            if self._tools.clock.now() >= give_up_s:
                return False
            await asyncio.sleep(FLUSH_POLL_S)
        return True


def _partitions_of(configuration: Configuration) -> dict[str, str]:
    """Return the pool of every partition."""
    return {
        partition_name(pool, index): pool
        for pool, config in configuration.pools.items()
        for index in range(config.slices)
    }
