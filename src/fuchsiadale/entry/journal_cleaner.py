"""Removes journal rows that no partition needs any more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok

from fuchsiadale.codec import decode
from fuchsiadale.decision.membership import preferred_member
from fuchsiadale.decision.rows import (
    JOURNAL_MARKER_PREFIX,
    PARTITION_PREFIX,
    PartitionRow,
    journal_key,
    journal_marker_key,
    journal_prefix,
)
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.journal import Journal
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.table import TableService, Transaction, Write

CLEANING_INTERVAL_S = 20.0
ROWS_PER_TRANSACTION = 100
ORPHAN_REMOVER_KEY = "janitor"


class JournalCleaner:
    """Cuts this member's journal, and removes those of members that are gone.

    Parameters
    ----------
    table : TableService
        The table.
    identity : Identity
        This member.
    journal : Journal
        Its journal.
    members : callable
        Returns the names of the members.
    counters : Counters
        Takes the counts.
    """

    def __init__(
        self,
        table: TableService,
        identity: Identity,
        journal: Journal,
        list_members: Callable[[], Sequence[str]],
        counters: Counters,
    ) -> None:
        self._table = table
        self._identity = identity
        self._journal = journal
        self._list_members = list_members
        self._counters = counters
        self._truncated_member = ""
        self._first_kept_row = 1

    async def run(self) -> None:
        """Clean, for ever."""
        while True:
            await asyncio.sleep(CLEANING_INTERVAL_S)
            await self.clean()

    async def clean(self) -> None:
        """Remove once what is not needed."""
        # Read before the rows: a partition taken from now on begins at a later number.
        next_number = self._journal.next_number
        first_needed_rows = await self._read_first_needed_rows()
        if first_needed_rows is None:
            return
        member = self._identity.member
        if member != self._truncated_member:
            self._truncated_member = member
            self._first_kept_row = 1
        await self._truncate_own_journal(
            min(next_number, first_needed_rows.get(member, next_number))
        )
        if preferred_member(ORPHAN_REMOVER_KEY, self._list_members()) == member:
            await self._remove_orphaned_journals(set(first_needed_rows))

    async def _read_first_needed_rows(self) -> dict[str, int] | None:
        """Return the first row that some partition needs of each journal."""
        rows = await self._table.scan(PARTITION_PREFIX)
        if isinstance(rows, Err):
            return None
        first_needed_rows: dict[str, int] = {}
        for row in rows.ok_value:
            decoded = decode(row.value, PartitionRow)
            if isinstance(decoded, Err):
                return None
            for segment in decoded.ok_value.segments:
                first_row = first_needed_rows.get(segment.member, segment.first)
                first_needed_rows[segment.member] = min(first_row, segment.first)
        return first_needed_rows

    async def _truncate_own_journal(self, first_kept_row: int) -> None:
        keys = [
            journal_key(self._truncated_member, number)
            for number in range(self._first_kept_row, first_kept_row)
        ]
        if await self._delete_rows(keys):
            self._first_kept_row = max(self._first_kept_row, first_kept_row)

    async def _remove_orphaned_journals(self, needed_members: set[str]) -> None:
        """Remove the journals of members that are gone and that nobody needs."""
        markers = await self._table.scan(JOURNAL_MARKER_PREFIX)
        if isinstance(markers, Err):
            return
        current_members = set(self._list_members())
        for marker in markers.ok_value:
            member = marker.key.removeprefix(JOURNAL_MARKER_PREFIX)
            if member in current_members or member in needed_members:
                continue
            rows = await self._table.scan(journal_prefix(member))
            if isinstance(rows, Ok) and await self._delete_rows(
                [row.key for row in rows.ok_value]
            ):
                await self._delete_rows([journal_marker_key(member)])

    async def _delete_rows(self, keys: list[str]) -> bool:
        """Delete rows in batches; return whether all of them are gone."""
        for start in range(0, len(keys), ROWS_PER_TRANSACTION):
            batch = keys[start : start + ROWS_PER_TRANSACTION]
            writes = tuple(Write(key, None) for key in batch)
            outcome = await self._table.transact(Transaction(writes))
            if isinstance(outcome, Err):
                return False
            self._counters.add("journal.rows_removed", len(batch))
        return True
