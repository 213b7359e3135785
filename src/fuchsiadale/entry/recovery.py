"""Reads and writes the stored state from which an owner recovers a partition."""

from __future__ import annotations

from result import Err, Ok, Result

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.events import JournalEvent
from fuchsiadale.decision.rows import (
    JournalRow,
    JournalSegment,
    PartitionRow,
    journal_key,
    journal_prefix,
    journal_row_number,
)
from fuchsiadale.ports.objects import ObjectStore
from fuchsiadale.ports.table import TableService


class PartitionStateStore:
    """Stores the state of partitions as snapshots and journal segments.

    Parameters
    ----------
    table : TableService
        The table that holds the journals.
    objects : ObjectStore
        The object store that holds the snapshots.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_events(
        self, partition: str, row: PartitionRow
    ) -> Result[list[JournalEvent], str]:
        """Return the events from which the state of a partition is rebuilt.

        Parameters
        ----------
        partition : str
            Name of the partition.
        row : PartitionRow
            Row of the partition, which names its snapshot and journal segments.

        Returns
        -------
        Result
            The events of the snapshot and then of the journal, in order, or a message
            that says what could not be read.
        """
        events: list[JournalEvent] = []
        if row.snapshot:
            body = await self._objects.get(row.snapshot)
            if isinstance(body, Err):
                return Err(
                    f"snapshot {row.snapshot} cannot be read from the object store"
                )
            decoded = decode(body.ok_value, JournalRow)
            if isinstance(decoded, Err):
                return Err(f"snapshot {row.snapshot} is invalid: {decoded.err_value}")
            events.extend(_events_of_partition(decoded.ok_value, partition))
        for segment in row.segments:
            found = await self._read_segment(partition, segment)
            if isinstance(found, Err):
                return found
            events.extend(found.ok_value)
        return Ok(events)

    async def write_snapshot(self, name: str, row: JournalRow) -> Result[None, str]:
        """Write a snapshot.

        Parameters
        ----------
        name : str
            Name of the object, to which no partition row refers yet.
        row : JournalRow
            The events of the snapshot.

        Returns
        -------
        Result
            None, or a message that says what could not be written.
        """
        written = await self._objects.put(name, encode(row))
        if isinstance(written, Err):
            return Err(f"snapshot {name} cannot be written to the object store")
        return Ok(None)

    async def delete_snapshot(self, name: str) -> None:
        """Delete a snapshot that no partition row refers to."""
        await self._objects.delete(name)

    async def _read_segment(
        self, partition: str, segment: JournalSegment
    ) -> Result[list[JournalEvent], str]:
        events: list[JournalEvent] = []
        rows = await self._table.scan(
            journal_prefix(segment.member),
            journal_key(segment.member, segment.first),
        )
        if isinstance(rows, Err):
            return Err(
                f"journal of member {segment.member} cannot be read from the table"
            )
        for row in rows.ok_value:
            if segment.last is not None and journal_row_number(row.key) > segment.last:
                break
            decoded = decode(row.value, JournalRow)
            if isinstance(decoded, Err):
                return Err(f"journal row {row.key} is invalid: {decoded.err_value}")
            events.extend(_events_of_partition(decoded.ok_value, partition))
        return Ok(events)


def _events_of_partition(row: JournalRow, partition: str) -> list[JournalEvent]:
    """Return the events of one partition in a journal row or a snapshot."""
    return [
        event
        for entry in row.entries
        if entry.partition == partition
        for event in entry.events
    ]
