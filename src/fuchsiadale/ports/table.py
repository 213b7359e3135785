"""The platform's transactional table service."""

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
    """One row of the table.

    Attributes
    ----------
    key : str
        The row's key.
    version : int
        Increases with every change of the row; `ABSENT_VERSION` if the row does not
        exist.
    value : bytes
        The content.
    nonce : str
        The nonce of the transaction that wrote it.
    """

    key: str
    version: int
    value: bytes
    nonce: str


@frozen
class Condition:
    """A row must still have this version; `ABSENT_VERSION` if it must not exist."""

    key: str
    version: int


@frozen
class Write:
    """A row's new content; None deletes the row."""

    key: str
    value: bytes | None


@frozen
class Transaction:
    """Writes that take effect together if every condition holds.

    Attributes
    ----------
    writes : tuple of Write
        What to write.
    conditions : tuple of Condition
        What must hold.
    nonce : str
        Marks the rows written, so that a lost answer can be made good by reading.
    """

    writes: tuple[Write, ...]
    conditions: tuple[Condition, ...] = ()
    nonce: str = field(factory=lambda: uuid.uuid4().hex)


@frozen
class Committed:
    """A transaction took effect; its rows now have this version."""

    version: int


class TableFailure(Enum):
    """Why an operation gave no result.

    ``UNKNOWN`` means that a transaction may have taken effect.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class TableService(ABC):
    """A client of the table service."""

    @abstractmethod
    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""

    @abstractmethod
    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from `start` on."""

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply a transaction."""


async def transact_with_readback(
    table: TableService, transaction: Transaction
) -> Result[Committed, TableFailure]:
    """Apply a transaction, and read it back if its answer was lost.

    The first row that the transaction writes (and does not delete) tells whether it
    took effect: it then carries the transaction's nonce.

    Returns
    -------
    Result
        ``CONFLICT`` also if the row was read back with another nonce, since another
        writer's row is then in place; ``UNKNOWN`` if it could not be read either.
    """
    outcome = await table.transact(transaction)
    if not (isinstance(outcome, Err) and outcome.err_value is TableFailure.UNKNOWN):
        return outcome
    witness = next(w.key for w in transaction.writes if w.value is not None)
    found = await table.read(witness)
    if isinstance(found, Err):
        return Err(TableFailure.UNKNOWN)
    row = found.ok_value
    if row is not None and row.nonce == transaction.nonce:
        return Ok(Committed(row.version))
    return Err(TableFailure.CONFLICT)
