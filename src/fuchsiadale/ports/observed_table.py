"""A table client that remembers whether the store answers."""

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
    """Passes calls on, counts them and remembers how the last one ended.

    Parameters
    ----------
    table : TableService
        The client that makes the calls.
    counters : Counters
        Takes the counts.
    """

    def __init__(self, table: TableService, counters: Counters) -> None:
        self._table = table
        self._counters = counters
        self._failing = False

    @property
    def is_failing(self) -> bool:
        """Whether the last call got no answer from the store."""
        return self._failing

    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""
        return self._note("read", await self._table.read(key))

    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from `start` on."""
        return self._note("scan", await self._table.scan(prefix, start))

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply a transaction."""
        return self._note("transact", await self._table.transact(transaction))

    def _note(
        self, operation: str, outcome: Result[T, TableFailure]
    ) -> Result[T, TableFailure]:
        self._counters.add(f"table.{operation}")
        self._failing = (
            isinstance(outcome, Err) and outcome.err_value is not TableFailure.CONFLICT
        )
        if isinstance(outcome, Err):
            name = outcome.err_value.value
            self._counters.add(f"table.{operation}.{name}")
        return outcome
