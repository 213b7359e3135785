"""A store of rows in tables, with conditional transactions and change feeds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen
from result import Result


class StoreFailure(Enum):
    """Why a call to the store gave no result.

    ``UNKNOWN`` means that a transaction may have taken effect, or may still do so.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history_lost"


@frozen
class TableRow:
    """One row.

    Attributes
    ----------
    table : str
        Its table.
    key : str
        Its key.
    value : bytes
        The content; empty if deleted.
    version : int
        Grows with every transaction on the store.
    is_deleted : bool
        Whether a feed reports its removal.
    """

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@frozen
class RowCondition:
    """A row must have this version; 0 if it must not exist."""

    table: str
    key: str
    version: int


@frozen
class RowWrite:
    """A row's new content; None removes the row."""

    table: str
    key: str
    value: bytes | None


@frozen
class RowPage:
    """Rows as of one moment, and whether there are more."""

    rows: tuple[TableRow, ...]
    has_more: bool
    version: int


@frozen
class RowChanges:
    """Changed rows in order, and the version to go on from."""

    rows: tuple[TableRow, ...]
    version: int


class RowStore(ABC):
    """A client of the store."""

    @abstractmethod
    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply all writes if every condition holds; return the new version."""

    @abstractmethod
    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Return rows of a table, in the order of their keys from `start` on."""

    @abstractmethod
    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Wait for changes of a table after a version."""
