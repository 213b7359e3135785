"""Table service, object store and host list in memory, with fault injection."""

from __future__ import annotations

import asyncio
from bisect import bisect_left, insort
from collections.abc import Sequence

from attrs import define, field
from result import Err, Ok, Result

from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.ports.hosts import HostList, HostListing
from fuchsiadale.ports.objects import ObjectFailure, ObjectStore
from fuchsiadale.ports.table import (
    ABSENT_VERSION,
    Committed,
    Row,
    TableFailure,
    TableService,
    Transaction,
)


@define
class PlatformFaults:
    """Faults that the platform stand-in simulates.

    Attributes
    ----------
    table_down : bool
        Whether the table service refuses every call.
    table_delay_s : float
        Delay of every call to the table service, in seconds.
    lost_answers : int
        Number of the next transactions that are processed but get no reply.
    lost_calls : int
        Number of the next transactions that are dropped and get no reply.
    objects_down : bool
        Whether the object store refuses every call.
    hosts_frozen : bool
        Whether the host list keeps returning its last listing despite changes.
    """

    table_down: bool = False
    table_delay_s: float = 0.0
    lost_answers: int = 0
    lost_calls: int = 0
    objects_down: bool = False
    hosts_frozen: bool = False


@define
class PlatformCounts:
    """Numbers of calls that the platform has served, and of rows read and written.

    Calls to a service that is down and deletions of objects are not counted.

    Attributes
    ----------
    reads : int
        Reads of a single row and scans.
    rows_read : int
        Rows returned by scans, and one for each read of a single row.
    transactions : int
        Transactions received, including those that conflict or that the fault
        `lost_calls` drops.
    rows_written : int
        Writes and deletions in committed transactions.
    object_puts, object_gets : int
        Objects written, and attempts to read one.
    host_fetches : int
        Fetches of the host list.
    """

    reads: int = 0
    rows_read: int = 0
    transactions: int = 0
    rows_written: int = 0
    object_puts: int = 0
    object_gets: int = 0
    host_fetches: int = 0


@define
class PlatformState:
    """State of the platform, with the faults to inject and the counts of calls.

    Attributes
    ----------
    faults : PlatformFaults
        Faults to inject.
    counts : PlatformCounts
        Counts of the calls served.
    rows : dict of str to Row
        Rows of the table, by key.
    sorted_keys : list of str
        Keys of the rows, in ascending order.
    last_version : int
        Version of the last committed transaction.
    objects : dict of str to bytes
        Content of the objects, by name.
    workers : dict of str to WorkerInfo
        Workers in the host list, by name.
    host_list_version : int
        Version of the host list; increases with every change.
    last_listing : HostListing or None
        Complete listing made for the last fetch; it is used again while the host list
        is frozen.
    """

    faults: PlatformFaults = field(factory=PlatformFaults)
    counts: PlatformCounts = field(factory=PlatformCounts)
    rows: dict[str, Row] = field(factory=dict)
    sorted_keys: list[str] = field(factory=list)
    last_version: int = 0
    objects: dict[str, bytes] = field(factory=dict)
    workers: dict[str, WorkerInfo] = field(factory=dict)
    host_list_version: int = 1
    last_listing: HostListing | None = None

    def scan(self, prefix: str, start: str) -> list[Row]:
        """Return the rows whose keys begin with `prefix`, from key `start` on."""
        matching_rows: list[Row] = []
        for key in self.sorted_keys[
            bisect_left(self.sorted_keys, max(prefix, start)) :
        ]:
            if not key.startswith(prefix):
                break
            matching_rows.append(self.rows[key])
        return matching_rows

    def apply(self, transaction: Transaction) -> int | None:
        """Apply a transaction; return its version, or None if a condition fails."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (
                row.version if row is not None else ABSENT_VERSION
            ) != condition.version:
                return None
        self.last_version += 1
        for write in transaction.writes:
            self.counts.rows_written += 1
            if write.value is None:
                self._delete_row(write.key)
                continue
            if write.key not in self.rows:
                insort(self.sorted_keys, write.key)
            self.rows[write.key] = Row(
                write.key, self.last_version, write.value, transaction.nonce
            )
        return self.last_version

    def put_worker(self, info: WorkerInfo) -> None:
        """Add a worker to the host list, or replace its description."""
        self.workers[info.name] = info
        self.host_list_version += 1

    def remove_worker(self, name: str) -> None:
        """Remove a worker from the host list."""
        if self.workers.pop(name, None) is not None:
            self.host_list_version += 1

    def list_hosts(self, known_version: int) -> HostListing:
        """Return the host list, without workers if its version is `known_version`.

        While the host list is frozen, the last complete listing is used instead of the
        present workers.
        """
        if not self.faults.hosts_frozen or self.last_listing is None:
            workers = tuple(self.workers[name] for name in sorted(self.workers))
            self.last_listing = HostListing(self.host_list_version, workers)
        if self.last_listing.version == known_version:
            return HostListing(self.last_listing.version, None)
        return self.last_listing

    def _delete_row(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            del self.sorted_keys[bisect_left(self.sorted_keys, key)]


class MemoryTable(TableService):
    """Table service on the state of the platform stand-in."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""
        if not await self._is_available():
            return Err(TableFailure.UNAVAILABLE)
        self._state.counts.reads += 1
        self._state.counts.rows_read += 1
        return Ok(self._state.rows.get(key))

    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from key `start` on."""
        if not await self._is_available():
            return Err(TableFailure.UNAVAILABLE)
        rows = self._state.scan(prefix, start)
        self._state.counts.reads += 1
        self._state.counts.rows_read += len(rows)
        return Ok(rows)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply all writes of a transaction if every condition holds."""
        if not await self._is_available():
            return Err(TableFailure.UNAVAILABLE)
        faults = self._state.faults
        self._state.counts.transactions += 1
        if faults.lost_calls > 0:
            faults.lost_calls -= 1
            return Err(TableFailure.UNKNOWN)
        version = self._state.apply(transaction)
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            return Err(TableFailure.UNKNOWN)
        if version is None:
            return Err(TableFailure.CONFLICT)
        return Ok(Committed(version))

    async def _is_available(self) -> bool:
        """Wait for the simulated delay; return whether the service takes the call."""
        if self._state.faults.table_delay_s > 0:
            await asyncio.sleep(self._state.faults.table_delay_s)
        return not self._state.faults.table_down


class MemoryObjectStore(ObjectStore):
    """Object store on the state of the platform stand-in."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    async def put(self, name: str, body: bytes) -> Result[None, ObjectFailure]:
        """Write an object under a name."""
        if self._state.faults.objects_down:
            return Err(ObjectFailure.UNAVAILABLE)
        self._state.counts.object_puts += 1
        self._state.objects[name] = body
        return Ok(None)

    async def get(self, name: str) -> Result[bytes, ObjectFailure]:
        """Return the content of an object."""
        if self._state.faults.objects_down:
            return Err(ObjectFailure.UNAVAILABLE)
        self._state.counts.object_gets += 1
        body = self._state.objects.get(name)
        return Ok(body) if body is not None else Err(ObjectFailure.NOT_FOUND)

    async def delete(self, name: str) -> Result[None, ObjectFailure]:
        """Delete an object; deleting one that does not exist succeeds."""
        if self._state.faults.objects_down:
            return Err(ObjectFailure.UNAVAILABLE)
        self._state.objects.pop(name, None)
        return Ok(None)


class MemoryHostList(HostList):
    """Host list on the state of the platform stand-in."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, without workers if its version is `known_version`."""
        self._state.counts.host_fetches += 1
        return Ok(self._state.list_hosts(known_version))
