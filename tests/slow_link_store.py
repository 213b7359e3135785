"""In-memory row store behind a link of a limited rate, for tests."""

from __future__ import annotations

import asyncio
from base64 import b64encode

from result import Err, Result

from fuchsiadale.ports.rows import RowCondition, RowWrite, StoreFailure
from tests.row_store import MemoryRowStore

ENTRY_BYTES = 80
"""Size of a write in a transaction besides its content, roughly."""


class SlowLinkRowStore(MemoryRowStore):
    """Row store that a transaction reaches only once the link has carried all of it.

    Attributes
    ----------
    bytes_per_s : float
        Rate of the link; without limit at first.
    given_up_bytes : list of int
        Size of each transaction that was given up before the link had carried it.
    is_sending : bool
        Whether a transaction is in progress.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bytes_per_s = float("inf")
        self.given_up_bytes: list[int] = []
        self.is_sending = False

    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply all writes if every condition holds and the link carries them."""
        size = sum(ENTRY_BYTES + len(b64encode(item.value or b"")) for item in writes)
        transfer_s = size / self.bytes_per_s
        self.is_sending = True
        try:
            await asyncio.sleep(min(transfer_s, timeout_s))
            if transfer_s <= timeout_s:
                return await super().transact(writes, conditions, timeout_s)
        finally:
            self.is_sending = False
        self.given_up_bytes.append(size)
        return Err(StoreFailure.UNKNOWN)
