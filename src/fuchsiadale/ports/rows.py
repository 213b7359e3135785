"""Interface of a row store with tables, conditional transactions and change feeds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen
from result import Result

from fuchsiadale.ports.store_clock import StoreClock


class StoreFailure(Enum):
    """Reason why a call to the store failed.

    ``CONFLICT`` means that a condition of the transaction does not hold.
    ``UNAVAILABLE`` means that the store cannot be reached or refuses the call.
    ``UNKNOWN`` means that no complete reply arrived, or one without a version; a
    transaction may have been applied, or may still be applied.
    ``HISTORY_LOST`` means that the store no longer has the changes after the version
    given to `RowStore.watch`, so that the table must be read again.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history_lost"


@frozen
class TableRow:
    """A row, or its removal in a change feed.

    Attributes
    ----------
    table : str
        Table that the row belongs to.
    key : str
        Key of the row, unique in its table.
    value : bytes
        Content of the row; empty if it is deleted.
    version : int
        Version of the store that the last change of the row led to; increases with
        every transaction on the store.
    is_deleted : bool
        Whether this is a removal of the row, reported by a change feed.
    """

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@frozen
class RowCondition:
    """Requires that a row has this version, or does not exist if `version` is 0."""

    table: str
    key: str
    version: int


@frozen
class RowWrite:
    """Sets the content of a row, or removes the row if `value` is None."""

    table: str
    key: str
    value: bytes | None


@frozen
class RowPage:
    """Readable rows of a table at one version of the store.

    Attributes
    ----------
    rows : tuple of TableRow
        The rows, sorted by key, without those that cannot be read.
    next_start : str or None
        Key from which to read the rows that follow; None if there are none.
    version : int
        Version of the store.
    is_complete : bool
        Whether every row in the range could be read.
    """

    rows: tuple[TableRow, ...]
    next_start: str | None
    version: int
    is_complete: bool = True


@frozen
class RowChanges:
    """Changed rows in order of their versions, and the version to watch after next.

    A version below the one that was watched after comes from a store that is behind.
    """

    rows: tuple[TableRow, ...]
    version: int


class RowStore(ABC):
    """Reads, writes and watches rows."""

    @property
    def clock(self) -> StoreClock | None:
        """Last reading of the store's clock; None if it gives none."""
        return None

    @abstractmethod
    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply all writes if every condition holds; return the store's new version."""

    @abstractmethod
    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Return at most `limit` rows of a table, sorted by key, from `start` on.

        The call fails once nothing has arrived for `timeout_s` seconds. It may take
        longer while a long reply keeps arriving.
        """

    @abstractmethod
    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Return the changes of a table after a version.

        If there are none yet, the store waits at most `wait_s` seconds for one. The
        call may take longer while a long reply keeps arriving.
        """
