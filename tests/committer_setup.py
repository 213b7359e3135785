"""Builds a running committer with an in-memory store, for tests."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.committer import Committer
from fuchsiadale.cell.owner_row import CONTROL_TABLE, OWNER_KEY, OwnerRow
from fuchsiadale.cell.processed_end import ProcessedEnd
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.codec import encode
from tests.row_store import MemoryRowStore
from tests.workflow_builders import Cell

OWNER = OwnerRow("node", "1:1", "this", 1)


class CommitterSetup:
    """Running committer with an in-memory store and a simulated cell."""

    def __init__(self) -> None:
        self.store = MemoryRowStore()
        self.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
        self.cell = Cell(workers=1)
        self.processed_ends: list[dict[str, ProcessedEnd]] = []
        self.loss_reasons: list[str] = []
        self.tenure = Tenure(
            OWNER,
            self.store.get_version(CONTROL_TABLE, OWNER_KEY),
            asyncio.get_running_loop().time(),
        )
        self.committer = Committer(
            self.store,
            self.cell.scheduler,
            self.tenure,
            self.processed_ends.append,
            self.loss_reasons.append,
        )
        self.task = asyncio.create_task(self.committer.run())
