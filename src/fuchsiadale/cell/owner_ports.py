"""What an owner talks to."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.cell.advice_pool import AdvicePool
from fuchsiadale.ports.rows import RowStore
from fuchsiadale.ports.task_workers import WorkerClient
from fuchsiadale.ports.worker_list import WorkerList


@frozen
class OwnerPorts:
    """What an owner talks to."""

    store: RowStore
    workers: WorkerClient
    worker_list: WorkerList
    advice: AdvicePool
