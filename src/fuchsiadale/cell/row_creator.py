"""Stores rows that callers' requests create, directly or through the cell's owner."""

from __future__ import annotations

from result import Err, Ok, Result

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peer_messages import RowOutcome
from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.ports.rows import RowCondition, RowStore, RowWrite, StoreFailure

WRITE_TIMEOUT_S = 1.2
"""Timeout of one write in seconds; two writes fit into the 3 s that a caller waits."""

MAX_OWNER_STATUS_AGE_S = 1.5
"""Seconds since the owner last answered after which it is not asked to store a row.

The owner answers twice in this time.
"""


class RowCreator:
    """Creates rows of the job table; a row whose key exists counts as stored.

    The store may refuse this process and serve the others, so a row that it does not
    take is passed to the owner of the cell, which stores it on behalf of this process.

    Parameters
    ----------
    configuration : ConfigurationWatch
        Tells whether the store answers this process, as it holds the configuration.
    store : RowStore
        Store of jobs.
    ownership : Ownership
        Provides the client of the owner and the age of its last answer.
    """

    def __init__(
        self,
        configuration: ConfigurationWatch,
        store: RowStore,
        ownership: Ownership,
    ) -> None:
        self._configuration = configuration
        self._store = store
        self._ownership = ownership

    async def create(self, key: str, value: bytes) -> Result[None, Refusal]:
        """Store a row by at most two attempts, and tell truthfully if that failed."""
        outcome = RowOutcome.NOT_STORED
        # The configuration is read from the same store, which therefore does not
        # answer this process. What is not sent has no effect.
        if not self._configuration.is_failing:
            outcome = await self._create_directly(key, value)
        if outcome is not RowOutcome.STORED:
            outcome = _combine(outcome, await self._create_otherwise(key, value))
        if outcome is RowOutcome.STORED:
            return Ok(None)
        if outcome is RowOutcome.UNKNOWN:
            return Err(
                Refusal(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the store did not confirm whether the change was stored",
                )
            )
        return Err(
            Refusal(
                ErrorKind.STORE_UNAVAILABLE,
                "the store is unreachable or refuses the change; nothing was stored",
            )
        )

    async def create_for_peer(self, key: str, value: bytes) -> RowOutcome:
        """Store a row on behalf of a peer, by one attempt."""
        if self._configuration.is_failing:
            return RowOutcome.NOT_STORED
        return await self._create_directly(key, value)

    async def _create_otherwise(self, key: str, value: bytes) -> RowOutcome:
        """Store a row through the owner, or directly if this process may be it."""
        client = self._ownership.owner_client
        is_recent = self._ownership.owner_status_age_s < MAX_OWNER_STATUS_AGE_S
        if client is not None and is_recent:
            return await client.create_row(key, value)
        if self._configuration.is_failing:
            return RowOutcome.NOT_STORED
        return await self._create_directly(key, value)

    async def _create_directly(self, key: str, value: bytes) -> RowOutcome:
        outcome = await self._store.transact(
            (RowWrite(JOB_TABLE, key, value),),
            (RowCondition(JOB_TABLE, key, 0),),
            WRITE_TIMEOUT_S,
        )
        if isinstance(outcome, Ok) or outcome.err_value is StoreFailure.CONFLICT:
            return RowOutcome.STORED
        is_unknown = outcome.err_value is StoreFailure.UNKNOWN
        return RowOutcome.UNKNOWN if is_unknown else RowOutcome.NOT_STORED


def _combine(first: RowOutcome, second: RowOutcome) -> RowOutcome:
    """Return what two attempts tell; the second does not undo the first."""
    if second is RowOutcome.STORED:
        return second
    return RowOutcome.UNKNOWN if RowOutcome.UNKNOWN in (first, second) else second
