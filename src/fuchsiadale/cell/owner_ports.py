"""Interfaces of the systems that the owner of a cell uses."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.cell.advice_pool import AdvicePool
from fuchsiadale.ports.rows import RowStore
from fuchsiadale.ports.task_workers import WorkerClient
from fuchsiadale.ports.worker_list import WorkerList


@frozen
class OwnerPorts:
    """Interfaces of the systems that the owner of a cell uses.

    Attributes
    ----------
    store : RowStore
        Store of jobs, their progress, the workers and the owner's row.
    workers : WorkerClient
        Sends orders to workers.
    worker_list : WorkerList
        Lists the registered workers.
    advice : AdvicePool
        Spreads requests to the advice service over the machines of the cell.
    """

    store: RowStore
    workers: WorkerClient
    worker_list: WorkerList
    advice: AdvicePool
