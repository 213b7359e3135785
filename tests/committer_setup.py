"""Builds a running committer with an in-memory store, for tests."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.committer import Committer
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.owner_row import CONTROL_TABLE, OWNER_KEY, OwnerRow
from fuchsiadale.cell.past_use_keeper import PastUseKeeper
from fuchsiadale.cell.processed_end import ProcessedEnd
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.hold_back import PastUseSettings
from tests.row_store import MemoryRowStore
from tests.workflow_builders import Cell

OWNER = OwnerRow("node", "1:1", "this", 1)


class CommitterSetup:
    """Running committer with an in-memory store and a simulated cell."""

    def __init__(
        self,
        past_use: PastUseSettings | None = None,
        store: MemoryRowStore | None = None,
    ) -> None:
        self.store = store or MemoryRowStore()
        self.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
        self.cell = Cell(workers=1)
        self.processed_ends: list[dict[str, ProcessedEnd]] = []
        self.loss_reasons: list[str] = []
        self.tenure = Tenure(
            OWNER,
            self.store.get_version(CONTROL_TABLE, OWNER_KEY),
            asyncio.get_running_loop().time(),
        )
        self.metrics = CellMetrics()
        self.cell.scheduler.hold_back.apply_settings(past_use or PastUseSettings())
        self.past_use_keeper = PastUseKeeper(
            self.store, self.cell.scheduler.hold_back.past_use, self.metrics
        )
        self.committer = Committer(
            self.store,
            self.cell.scheduler,
            self.tenure,
            self.processed_ends.append,
            self.loss_reasons.append,
            self.past_use_keeper,
        )
        self.task = asyncio.create_task(self.committer.run())
