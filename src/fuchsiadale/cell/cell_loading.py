"""Loads what a new owner needs before it can schedule."""

from __future__ import annotations

import asyncio

from result import Ok

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.rows import StoredCell, load_stored_cell
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.ports.rows import RowStore

MAX_LOAD_ATTEMPTS = 8
"""Attempts of a new owner to load the stored cell before it gives up the ownership."""

LOAD_RETRY_DELAY_S = 0.2
"""Seconds between two attempts of a new owner to read the stored cell."""


async def load_cell(
    store: RowStore, configuration: ConfigurationWatch
) -> tuple[StoredCell, CellConfiguration] | None:
    """Return the stored cell and the configuration; None without either of them."""
    for _ in range(MAX_LOAD_ATTEMPTS):
        stored = await load_stored_cell(store)
        current = configuration.current
        if isinstance(stored, Ok) and current is not None:
            return stored.ok_value, current
        await asyncio.sleep(LOAD_RETRY_DELAY_S)
    return None
