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

CLEANING_PERIOD_S = 20.0
ROWS_PER_TRANSACTION = 100
HOME_KEY = "janitor"


class Janitor:
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
        members: Callable[[], Sequence[str]],
        counters: Counters,
    ) -> None:
        self._table = table
        self._identity = identity
        self._journal = journal
        self._members = members
        self._counters = counters
        self._member = ""
        self._first_kept = 1

    async def run(self) -> None:
        """Clean, for ever."""
        while True:
            await asyncio.sleep(CLEANING_PERIOD_S)
            await self.clean()

    async def clean(self) -> None:
        """Remove once what is not needed."""
        # Read before the rows: a partition taken from now on begins at a later number.
        bound = self._journal.next_number
        needed = await self._first_needed()
        if needed is None:
            return
        member = self._identity.member
        if member != self._member:
            self._member = member
            self._first_kept = 1
        await self._cut_own(min(bound, needed.get(member, bound)))
        if preferred_member(HOME_KEY, self._members()) == member:
            await self._remove_orphaned(set(needed))

    async def _first_needed(self) -> dict[str, int] | None:
        """Return the first row that some partition needs of each journal."""
        rows = await self._table.scan(PARTITION_PREFIX)
        if isinstance(rows, Err):
            return None
        needed: dict[str, int] = {}
        for row in rows.ok_value:
            decoded = decode(row.value, PartitionRow)
            if isinstance(decoded, Err):
                return None
            for segment in decoded.ok_value.segments:
                first = needed.get(segment.member, segment.first)
                needed[segment.member] = min(first, segment.first)
        return needed

    async def _cut_own(self, first_kept: int) -> None:
        keys = [
            journal_key(self._member, number)
            for number in range(self._first_kept, first_kept)
        ]
        if await self._delete(keys):
            self._first_kept = max(self._first_kept, first_kept)

    async def _remove_orphaned(self, needed: set[str]) -> None:
        """Remove the journals of members that are gone and that nobody needs."""
        streams = await self._table.scan(JOURNAL_MARKER_PREFIX)
        if isinstance(streams, Err):
            return
        alive = set(self._members())
        for stream in streams.ok_value:
            member = stream.key.removeprefix(JOURNAL_MARKER_PREFIX)
            if member in alive or member in needed:
                continue
            rows = await self._table.scan(journal_prefix(member))
            if isinstance(rows, Ok) and await self._delete(
                [row.key for row in rows.ok_value]
            ):
                await self._delete([journal_marker_key(member)])

    async def _delete(self, keys: list[str]) -> bool:
        """Delete rows in batches; return whether all of them are gone."""
        for start in range(0, len(keys), ROWS_PER_TRANSACTION):
            batch = keys[start : start + ROWS_PER_TRANSACTION]
            writes = tuple(Write(key, None) for key in batch)
            outcome = await self._table.transact(Transaction(writes))
            if isinstance(outcome, Err):
                return False
            self._counters.add("journal.rows_removed", len(batch))
        return True
