"""Table client that counts calls and records whether the last one failed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from result import Err, Result

from fuchsiadale.metrics import Counters
from fuchsiadale.ports.table import (
    Committed,
    Row,
    TableFailure,
    TableService,
    Transaction,
)

T = TypeVar("T")


class ObservedTable(TableService):
    """Forwards calls to another client and counts them by operation and failure.

    Parameters
    ----------
    table : TableService
        Client that sends the calls to the table service.
    counters : Counters
        Counters that the calls are added to.
    """

    def __init__(self, table: TableService, counters: Counters) -> None:
        self._table = table
        self._counters = counters
        self._is_failing = False

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed for a reason other than a conflict."""
        return self._is_failing

    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""
        return self._record_outcome("read", await self._table.read(key))

    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from key `start` on."""
        return self._record_outcome("scan", await self._table.scan(prefix, start))

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply all writes of a transaction if every condition holds."""
        return self._record_outcome("transact", await self._table.transact(transaction))

    def _record_outcome(
        self, operation: str, outcome: Result[T, TableFailure]
    ) -> Result[T, TableFailure]:
        self._counters.add(f"table.{operation}")
        self._is_failing = (
            isinstance(outcome, Err) and outcome.err_value is not TableFailure.CONFLICT
        )
        if isinstance(outcome, Err):
            name = outcome.err_value.value
            self._counters.add(f"table.{operation}.{name}")
        return outcome
