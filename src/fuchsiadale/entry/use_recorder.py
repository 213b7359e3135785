"""Records the past use of teams in a partition for its next owner."""

from __future__ import annotations

from eliot import log_message
from result import Err, Ok

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.past_use import PastUse, UseRecord
from fuchsiadale.decision.rows import liveness_key, use_key
from fuchsiadale.entry.identity import Identity
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.ports.table import Condition, TableService, Transaction, Write

USE_RECORD_INTERVAL_S = 30.0
"""Seconds between two records; a loss of the owner loses as much use."""


class UseRecorder:
    """Continues the past use that the earlier owner recorded, and records its own.

    Past use is not needed to schedule, so nothing waits for the record. The time
    between two owners does not count.

    Parameters
    ----------
    table : TableService
        The table that entry hosts share.
    identity : Identity
        Identity of this member; nothing is recorded once it was declared dead.
    partition : str
        Name of the partition.
    past_use : PastUse
        Past use that this owner counts.
    """

    def __init__(
        self,
        table: TableService,
        identity: Identity,
        partition: str,
        past_use: PastUse,
    ) -> None:
        self._table = table
        self._identity = identity
        self._partition = partition
        self._past_use = past_use
        self._is_restored = False
        self._recorded_s = LoopClock().now()

    async def record_if_due(self) -> None:
        """Restore the earlier record once, and write a new one every half minute."""
        if not self._past_use.is_enabled:
            await self._remove_record()
            return
        if not self._is_restored:
            self._is_restored = await self._restore()
            return
        now_s = LoopClock().now()
        if now_s - self._recorded_s < USE_RECORD_INTERVAL_S:
            return
        if await self._write(encode(self._past_use.make_record(0))):
            self._recorded_s = now_s

    async def _remove_record(self) -> None:
        """Remove the record once past use is switched off, as it would not age."""
        if self._is_restored and await self._write(None):
            self._is_restored = False

    async def _write(self, value: bytes | None) -> bool:
        """Write or remove the record; return whether that is certainly done."""
        alive = Condition(
            liveness_key(self._identity.member), self._identity.liveness_version
        )
        write = Write(use_key(self._partition), value)
        outcome = await self._table.transact(Transaction((write,), (alive,)))
        return isinstance(outcome, Ok)

    async def _restore(self) -> bool:
        """Add the earlier record; return whether it could be read from the table."""
        found = await self._table.read(use_key(self._partition))
        if isinstance(found, Err):
            return False
        if found.ok_value is None:
            return True
        decoded = decode(found.ok_value.value, as_type=UseRecord)
        if isinstance(decoded, Err):
            log_message(
                "row_unreadable",
                key=use_key(self._partition),
                problem=decoded.err_value,
            )
            return True
        left_out = self._past_use.restore(decoded.ok_value, 0.0)
        log_message("past_use_restored", partition=self._partition, left_out=left_out)
        return True
