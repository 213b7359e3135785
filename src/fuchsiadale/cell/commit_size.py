"""Limits the size of the owner's transactions to what its link carries in time."""

from __future__ import annotations

TARGET_TRANSFER_S = 0.3
"""Seconds that a transaction may take at the measured rate.

Peers suspect an owner whose renewal is 0.9 s old, which is the time of two transactions
in a row and their answers; see `STALE_RENEWAL_AGE_S` in the module `ownership`.
"""

MAX_COMMIT_BYTES = 700_000
"""Maximum size of the contents of a transaction in bytes.

The store accepts 1 MB, in which contents are written in base64.
"""

FIRST_COMMIT_BYTES = 140_000
"""Size in bytes before any measurement; the slowest links, of 5 Mbit/s, carry it."""

MIN_COMMIT_BYTES = 65_536
"""Size in bytes that is not reduced any more: that of the largest row."""

MAX_GROWTH = 2.0
"""Factor by which the limit grows at most after a transaction."""


class CommitSize:
    """Adapts the size of transactions to the times that they take.

    A transaction that is given up is repeated, so it must not be as large as before.
    """

    def __init__(self) -> None:
        self._limit_bytes = FIRST_COMMIT_BYTES

    @property
    def limit_bytes(self) -> int:
        """Maximum size of the contents of the next transaction in bytes."""
        return self._limit_bytes

    def note_answered(self, content_bytes: int, duration_s: float) -> None:
        """Raise the limit if a transaction shows that the link carries more in time."""
        carried_bytes = content_bytes * TARGET_TRANSFER_S / max(duration_s, 1e-3)
        grown_bytes = min(carried_bytes, MAX_GROWTH * self._limit_bytes)
        self._limit_bytes = round(
            min(max(self._limit_bytes, grown_bytes), MAX_COMMIT_BYTES)
        )

    def note_unanswered(self) -> None:
        """Lower the limit after a transaction without an answer."""
        self._limit_bytes = max(MIN_COMMIT_BYTES, self._limit_bytes // 2)
