"""Loads what a new owner needs before it can schedule."""

from __future__ import annotations

import asyncio

from result import Err

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.rows import StoredCell, load_stored_cell
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.ports.rows import RowStore

CONFIGURATION_TIMEOUT_S = 1.6
"""Seconds that a new owner waits for the configuration, once the cell is loaded."""

CONFIGURATION_CHECK_S = 0.2
"""Seconds between two looks at whether the configuration has been received."""


async def load_cell(
    store: RowStore, configuration: ConfigurationWatch
) -> tuple[StoredCell, CellConfiguration] | None:
    """Return the stored cell and the configuration; None without either of them."""
    stored = await load_stored_cell(store)
    if isinstance(stored, Err):
        return None
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + CONFIGURATION_TIMEOUT_S
    while configuration.current is None and loop.time() < ends_s:
        await asyncio.sleep(CONFIGURATION_CHECK_S)
    current = configuration.current
    return None if current is None else (stored.ok_value, current)
