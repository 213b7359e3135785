"""Removes journal rows that no partition needs for its recovery."""

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
# Hashed to choose the one member that removes the journals of former members.
FORMER_JOURNALS_REMOVER_KEY = "janitor"


class JournalCleaner:
    """Truncates the journal of this member and removes the journals of former members.

    Each member truncates its own journal. All members choose the same one of them to
    remove the journals of former members.

    Parameters
    ----------
    table : TableService
        The table that entry hosts share.
    identity : Identity
        Identity of this member.
    journal : Journal
        Journal of this member.
    list_members : callable
        Returns the names of the current members.
    counters : Counters
        Counts the removed rows.
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
        # Member whose journal `_first_kept_row` refers to.
        self._first_kept_row_member = ""
        self._first_kept_row = 1

    async def run(self) -> None:
        """Remove unneeded rows periodically until cancelled."""
        while True:
            await asyncio.sleep(CLEANING_INTERVAL_S)
            await self.clean()

    async def clean(self) -> None:
        """Remove the journal rows that no partition needs at present."""
        # Must precede the read of the partition rows: a partition that this member
        # acquires from now on has no events in rows below this number.
        next_own_row = self._journal.next_number
        first_needed_rows = await self._read_first_needed_rows()
        if first_needed_rows is None:
            return
        member = self._identity.member
        if member != self._first_kept_row_member:
            self._first_kept_row_member = member
            self._first_kept_row = 1
        await self._truncate_own_journal(
            min(next_own_row, first_needed_rows.get(member, next_own_row))
        )
        if (
            preferred_member(FORMER_JOURNALS_REMOVER_KEY, self._list_members())
            == member
        ):
            await self._remove_former_journals(set(first_needed_rows))

    async def _read_first_needed_rows(self) -> dict[str, int] | None:
        """Return, for each journal that a partition needs, its first needed row.

        Returns
        -------
        dict of str to int or None
            The row numbers by member name; None if the partition rows cannot be read
            or one of them is invalid.
        """
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

    async def _truncate_own_journal(self, new_first_kept_row: int) -> None:
        """Delete the rows before `new_first_kept_row` that are not deleted yet."""
        keys = [
            journal_key(self._first_kept_row_member, number)
            for number in range(self._first_kept_row, new_first_kept_row)
        ]
        if await self._delete_rows(keys):
            self._first_kept_row = max(self._first_kept_row, new_first_kept_row)

    async def _remove_former_journals(self, needed_members: set[str]) -> None:
        """Remove the journals of former members that no partition needs.

        Each member that ever joined has a marker row, which is deleted after its
        journal rows.
        """
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
        """Delete rows in batches and return whether all of them were deleted."""
        for start in range(0, len(keys), ROWS_PER_TRANSACTION):
            batch = keys[start : start + ROWS_PER_TRANSACTION]
            writes = tuple(Write(key, None) for key in batch)
            outcome = await self._table.transact(Transaction(writes))
            if isinstance(outcome, Err):
                return False
            self._counters.add("journal.rows_removed", len(batch))
        return True
