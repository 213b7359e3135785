"""Interface of the platform's transactional table service."""

from __future__ import annotations

import uuid
from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from attrs import field, frozen
from result import Err, Ok, Result

ABSENT_VERSION = 0


@frozen
class Row:
    """A row of the table.

    Attributes
    ----------
    key : str
        Key of the row.
    version : int
        Increases with every change of the row; `ABSENT_VERSION` if the row does not
        exist.
    value : bytes
        Content of the row.
    nonce : str
        Nonce of the transaction that last wrote the row.
    """

    key: str
    version: int
    value: bytes
    nonce: str


@frozen
class Condition:
    """Requires that a row has this version, or with `ABSENT_VERSION` does not exist."""

    key: str
    version: int


@frozen
class Write:
    """Sets the content of a row, or deletes the row if `value` is None."""

    key: str
    value: bytes | None


@frozen
class Transaction:
    """Writes that are applied atomically if every condition holds.

    Attributes
    ----------
    writes : tuple of Write
        The writes.
    conditions : tuple of Condition
        Versions that rows must have for the writes to be applied.
    nonce : str
        Unique id stored with the written rows; reading one of them back shows whether
        the transaction was applied if its reply was lost.
    """

    writes: tuple[Write, ...]
    conditions: tuple[Condition, ...] = ()
    nonce: str = field(factory=lambda: uuid.uuid4().hex)


@frozen
class Committed:
    """Reports that a transaction was applied and gave its rows this version."""

    version: int


class TableFailure(Enum):
    """Reason why an operation failed.

    ``CONFLICT`` means that a condition of the transaction does not hold.
    ``UNAVAILABLE`` means that the service cannot be reached or refuses the call.
    ``UNKNOWN`` means that the transaction may have been applied.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class TableService(ABC):
    """Reads and writes the rows of the table."""

    @abstractmethod
    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""

    @abstractmethod
    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from key `start` on."""

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply all writes of a transaction if every condition holds."""


async def transact_with_readback(
    table: TableService, transaction: Transaction
) -> Result[Committed, TableFailure]:
    """Apply a transaction; if its outcome is unknown, read back whether it was applied.

    The first row that the transaction writes and does not delete is read: if the
    transaction was applied, that row has the transaction's nonce.

    Returns
    -------
    Result
        ``CONFLICT`` also if the row does not exist or has another nonce: the
        transaction was not applied, or another writer has since changed the row;
        ``UNKNOWN`` if the row cannot be read.
    """
    outcome = await table.transact(transaction)
    if not (isinstance(outcome, Err) and outcome.err_value is TableFailure.UNKNOWN):
        return outcome
    probe_key = next(
        write.key for write in transaction.writes if write.value is not None
    )
    read_back = await table.read(probe_key)
    if isinstance(read_back, Err):
        return Err(TableFailure.UNKNOWN)
    row = read_back.ok_value
    if row is not None and row.nonce == transaction.nonce:
        return Ok(Committed(row.version))
    return Err(TableFailure.CONFLICT)
