"""Reads and writes the recorded state of partitions."""

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


class RecordedState:
    """The snapshots and journals of all partitions.

    Parameters
    ----------
    table : TableService
        Holds the journals.
    objects : ObjectStore
        Holds the snapshots.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read(
        self, partition: str, row: PartitionRow
    ) -> Result[list[JournalEvent], str]:
        """Return the events that lead to a partition's state, in order."""
        events: list[JournalEvent] = []
        if row.snapshot:
            body = await self._objects.get(row.snapshot)
            if isinstance(body, Err):
                return Err(f"snapshot {row.snapshot} cannot be read")
            decoded = decode(body.ok_value, JournalRow)
            if isinstance(decoded, Err):
                return Err(f"snapshot {row.snapshot}: {decoded.err_value}")
            events.extend(_events_of(decoded.ok_value, partition))
        for segment in row.segments:
            found = await self._read_segment(partition, segment)
            if isinstance(found, Err):
                return found
            events.extend(found.ok_value)
        return Ok(events)

    async def write_snapshot(self, name: str, entry: JournalRow) -> Result[None, str]:
        """Write a snapshot under a name that was never used."""
        written = await self._objects.put(name, encode(entry))
        if isinstance(written, Err):
            return Err(f"snapshot {name} cannot be written")
        return Ok(None)

    async def discard_snapshot(self, name: str) -> None:
        """Remove a snapshot that no row refers to."""
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
            return Err(f"journal of {segment.member} cannot be read")
        for row in rows.ok_value:
            if segment.last is not None and journal_row_number(row.key) > segment.last:
                break
            decoded = decode(row.value, JournalRow)
            if isinstance(decoded, Err):
                return Err(f"journal row {row.key}: {decoded.err_value}")
            events.extend(_events_of(decoded.ok_value, partition))
        return Ok(events)


def _events_of(row: JournalRow, partition: str) -> list[JournalEvent]:
    return [
        event
        for entry in row.entries
        if entry.partition == partition
        for event in entry.events
    ]
