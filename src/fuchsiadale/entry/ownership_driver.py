"""Acquires, keeps and hands over partitions."""

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
from fuchsiadale.entry.driver_services import DriverServices
from fuchsiadale.entry.hosted_partition import HostedPartition
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.membership_driver import MembershipDriver
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.entry.recovery import PartitionStateStore
from fuchsiadale.entry.worker_list import WorkerList
from fuchsiadale.ports.table import (
    ABSENT_VERSION,
    Condition,
    TableService,
    Transaction,
    Write,
    transact_with_readback,
)

RECONCILE_INTERVAL_S = 1.0
# How long another owner must be preferred before a partition is handed over, unless
# this member drains.
HANDOVER_DELAY_S = 3.0
JOURNAL_FLUSH_TIMEOUT_S = 5.0
JOURNAL_FLUSH_POLL_INTERVAL_S = 0.01


@define
class _StoredPartitions:
    """The rows of the partitions and their versions, by partition name."""

    rows: dict[str, PartitionRow] = field(factory=dict)
    versions: dict[str, int] = field(factory=dict)


class OwnershipDriver:
    """Acquires and hands over partitions as the assignment to members requires.

    Parameters
    ----------
    table : TableService
        The table that entry hosts share.
    state_store : PartitionStateStore
        Stores the snapshots and journals of partitions.
    identity : Identity
        Identity of this member.
    membership : MembershipDriver
        Driver of the membership of this process.
    directory : Directory
        Directory that is updated with the owners.
    worker_list : WorkerList
        The listed workers.
    services : DriverServices
        Services that all partition drivers share.
    get_configuration : callable
        Returns the configuration in force, or None before one is known.
    on_acquired : callable
        Called with the driver of each acquired partition once it has started.
    """

    def __init__(
        self,
        table: TableService,
        state_store: PartitionStateStore,
        identity: Identity,
        membership: MembershipDriver,
        directory: Directory,
        worker_list: WorkerList,
        services: DriverServices,
        get_configuration: Callable[[], Configuration | None],
        on_acquired: Callable[[PartitionDriver], None],
    ) -> None:
        self._table = table
        self._state_store = state_store
        self._identity = identity
        self._membership = membership
        self._directory = directory
        self._worker_list = worker_list
        self._services = services
        self._get_configuration = get_configuration
        self._on_acquired = on_acquired
        self._hosted: dict[str, HostedPartition] = {}
        self._lease_renewal_sent_s: float | None = None
        self._reconcile_requested = asyncio.Event()
        self._lock = asyncio.Lock()

    @property
    def drivers(self) -> dict[str, PartitionDriver]:
        """The drivers of the partitions that this member owns, by partition name."""
        return {name: hosted.driver for name, hosted in self._hosted.items()}

    def record_lease_renewal(self, sent_s: float) -> None:
        """Record for all partitions a lease renewal that was sent at `sent_s`."""
        self._lease_renewal_sent_s = sent_s
        for hosted in self._hosted.values():
            hosted.authority.record_lease_renewal(sent_s)

    def request_reconciliation(self) -> None:
        """Request a reconciliation without waiting for the next interval."""
        self._reconcile_requested.set()

    def update_workers(self) -> None:
        """Pass the changed list of workers to all partitions."""
        for hosted in self._hosted.values():
            hosted.update_driver_workers()
        self.request_reconciliation()

    async def run(self) -> None:
        """Reconcile periodically and on request until cancelled."""
        while True:
            await self.reconcile()
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self._reconcile_requested.wait()
            except TimeoutError:
                pass
            self._reconcile_requested.clear()

    async def reconcile(self) -> None:
        """Read members and partitions once and act on what has changed.

        Members with expired leases are declared dead, lost partitions are dropped, and
        partitions are acquired or handed over as the assignment requires.
        """
        if not await self._membership.read_members():
            return
        partitions = await self._read_partitions()
        if partitions is None:
            return
        self._directory.update(dict(self._membership.members), partitions.rows)
        if not self._membership.has_joined:
            return
        await self._membership.declare_expired_members_dead()
        async with self._lock:
            await self._drop_lost_partitions(partitions)
            await self._apply_assignment(partitions)
            for hosted in list(self._hosted.values()):
                configuration = self._get_configuration()
                if configuration is not None:
                    await hosted.update_witnesses(configuration)
                await hosted.write_snapshot_if_due()
                await hosted.record_use_if_due()

    async def drop_all(self) -> None:
        """Stop driving all partitions after this member was declared dead."""
        async with self._lock:
            for name in list(self._hosted):
                await self._drop(name)

    async def hand_over_all(self) -> None:
        """Hand over all partitions before a planned stop."""
        async with self._lock:
            for hosted in list(self._hosted.values()):
                await self._hand_over(hosted)

    def drop_superseded(self, name: str) -> None:
        """Stop driving a partition after a worker reported a newer epoch.

        This does not read the partition row, as the table may be unavailable. It also
        stops the heartbeats of this owner. They must not renew the lease of a task on a
        worker that the new owner cannot reach, because the new owner waits for that
        lease to expire.
        """
        hosted = self._hosted.get(name)
        if hosted is None or hosted.authority.is_revoked:
            return
        hosted.authority.revoke()
        self._services.counters.add("ownership.stale_epoch")
        self._services.supervisor.start(f"drop/{name}", lambda: self._drop(name))
        self.request_reconciliation()

    async def _read_partitions(self) -> _StoredPartitions | None:
        """Return the partition rows that can be decoded, or None if the scan fails."""
        rows = await self._table.scan(PARTITION_PREFIX)
        if isinstance(rows, Err):
            return None
        partitions = _StoredPartitions()
        for row in rows.ok_value:
            decoded = decode(row.value, PartitionRow)
            if isinstance(decoded, Ok):
                name = row.key.removeprefix(PARTITION_PREFIX)
                partitions.rows[name] = decoded.ok_value
                partitions.versions[name] = row.version
        return partitions

    async def _drop_lost_partitions(self, partitions: _StoredPartitions) -> None:
        for name, hosted in list(self._hosted.items()):
            row = partitions.rows.get(name)
            has_newer_epoch = row is not None and row.epoch > hosted.row.epoch
            if has_newer_epoch or hosted.authority.is_revoked:
                await self._drop(name)

    async def _drop(self, name: str) -> None:
        hosted = self._hosted.pop(name, None)
        if hosted is None:
            return
        log_message("partition_lost", partition=name)
        self._services.counters.add("ownership.lost")
        await hosted.driver.close()
        self._directory.set_owner(name, None)

    async def _apply_assignment(self, partitions: _StoredPartitions) -> None:
        configuration = self._get_configuration()
        if configuration is None or not self._worker_list.is_loaded:
            return
        pools = _pools_by_partition(configuration)
        members = self._membership.members
        preferred_owners = assign_owners(pools, members)
        this_member = self._identity.member
        for name in set(self._hosted) - set(pools):
            await self._hand_over(self._hosted[name])
        for name, pool in pools.items():
            if name in self._hosted:
                await self._hand_over_if_not_preferred(name, preferred_owners.get(name))
                continue
            row = partitions.rows.get(name)
            is_owned = row is not None and row.owner in members
            if not is_owned and preferred_owners.get(name) == this_member:
                config = configuration.pools[pool]
                await self._acquire(name, pool, config, row, partitions)

    async def _hand_over_if_not_preferred(
        self, name: str, preferred_owner: str | None
    ) -> None:
        hosted = self._hosted[name]
        if preferred_owner is None or preferred_owner == self._identity.member:
            hosted.not_preferred_since_s = None
            return
        now_s = self._services.clock.now()
        if hosted.not_preferred_since_s is None:
            hosted.not_preferred_since_s = now_s
        delay_s = 0.0 if self._membership.is_draining else HANDOVER_DELAY_S
        if now_s - hosted.not_preferred_since_s >= delay_s:
            await self._hand_over(hosted)

    async def _acquire(
        self,
        name: str,
        pool: str,
        config: PoolConfig,
        row: PartitionRow | None,
        partitions: _StoredPartitions,
    ) -> None:
        """Make this member the owner in a new epoch and recover the partition.

        All partitions take their epochs from one counter.
        """
        epoch_row = await self._table.read(EPOCH_KEY)
        if isinstance(epoch_row, Err):
            return
        stored_epoch = epoch_row.ok_value
        last_epoch = 0
        if stored_epoch is not None:
            decoded = decode(stored_epoch.value, EpochRow)
            if isinstance(decoded, Err):
                return
            last_epoch = decoded.ok_value.epoch
        # An empty owner means that the former owner handed the partition over.
        taken_over = row is not None and row.owner != ""
        acquired_row = self._build_acquired_row(name, pool, config, row, last_epoch + 1)
        transaction = Transaction(
            writes=(
                Write(partition_key(name), encode(acquired_row)),
                Write(EPOCH_KEY, encode(EpochRow(acquired_row.epoch))),
            ),
            conditions=(
                Condition(
                    partition_key(name), partitions.versions.get(name, ABSENT_VERSION)
                ),
                Condition(
                    EPOCH_KEY, stored_epoch.version if stored_epoch else ABSENT_VERSION
                ),
                Condition(
                    liveness_key(self._identity.member), self._identity.liveness_version
                ),
            ),
        )
        outcome = await transact_with_readback(self._table, transaction)
        if isinstance(outcome, Err):
            self._services.counters.add(f"ownership.take.{outcome.err_value.value}")
            self._reconcile_requested.set()
            return
        await self._start_hosting(
            name, pool, config, acquired_row, outcome.ok_value.version, taken_over
        )

    def _build_acquired_row(
        self,
        name: str,
        pool: str,
        config: PoolConfig,
        row: PartitionRow | None,
        epoch: int,
    ) -> PartitionRow:
        segment = JournalSegment(
            self._identity.member, self._services.journal.next_number
        )
        if row is None:
            listed = self._worker_list.list_partition_workers(pool, config.slices, name)
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

    async def _start_hosting(
        self,
        name: str,
        pool: str,
        config: PoolConfig,
        row: PartitionRow,
        row_version: int,
        taken_over: bool,
    ) -> None:
        """Recover the partition, retry until it is readable, and start its driver."""
        authority = Authority(
            self._services.clock, row.witnesses, taken_over, config.fencing
        )
        if self._lease_renewal_sent_s is not None:
            authority.record_lease_renewal(self._lease_renewal_sent_s)
        events = await self._state_store.read_events(name, row)
        while isinstance(events, Err):
            log_message("recovery_failed", partition=name, error=events.err_value)
            self._services.counters.add("ownership.recovery_retried")
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            events = await self._state_store.read_events(name, row)
        driver = PartitionDriver(
            name,
            row.epoch,
            authority,
            config.order,
            self._services,
            self.drop_superseded,
        )
        hosted = HostedPartition(
            pool,
            driver,
            authority,
            row,
            row_version,
            self._table,
            self._state_store,
            self._worker_list,
            self._identity,
            self._services.journal,
            self._services.counters,
        )
        self._hosted[name] = hosted
        driver.recover_and_start(events.ok_value, hosted.listed_workers, row.witnesses)
        self._on_acquired(driver)
        log_message(
            "partition_taken", partition=name, epoch=row.epoch, taken_over=taken_over
        )
        peer_address = self._identity.build_row(0, False).peer_address
        owner = Owner(self._identity.member, peer_address, row.epoch)
        self._directory.set_owner(name, owner)

    async def _hand_over(self, hosted: HostedPartition) -> None:
        """Hand over a partition to its next owner.

        The driver stops first. The row is released only if the journal has recorded all
        events in time. Otherwise it still names this member, and no member, this one
        included, acquires the partition until this one has left or was declared dead.
        """
        name = hosted.driver.name
        await hosted.driver.drain_starts()
        await hosted.driver.close()
        if await self._wait_for_journal():
            await hosted.release()
            self._services.counters.add("ownership.handed_over")
            log_message("partition_handed_over", partition=name)
        self._hosted.pop(name, None)
        self._directory.set_owner(name, None)

    async def _wait_for_journal(self) -> bool:
        """Wait for the journal and return whether all events were recorded in time."""
        deadline_s = self._services.clock.now() + JOURNAL_FLUSH_TIMEOUT_S
        while not self._services.journal.is_idle:
            if self._services.clock.now() >= deadline_s:
                return False
            await asyncio.sleep(JOURNAL_FLUSH_POLL_INTERVAL_S)
        return True


def _pools_by_partition(configuration: Configuration) -> dict[str, str]:
    """Return the pool of each partition by partition name."""
    return {
        partition_name(pool, index): pool
        for pool, config in configuration.pools.items()
        for index in range(config.slices)
    }
