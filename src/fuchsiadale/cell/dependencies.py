"""Interfaces of the systems that a process of a cell uses."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.ports.configuration_source import ConfigurationSource
from fuchsiadale.ports.rows import RowStore
from fuchsiadale.ports.task_workers import AdviceClient, WorkerClient
from fuchsiadale.ports.worker_list import WorkerList


@frozen
class CellDependencies:
    """Interfaces of the external systems that a process of a cell uses.

    Attributes
    ----------
    store : RowStore
        Store of jobs, their progress, the workers and the owner's row.
    workers : WorkerClient
        Sends orders to workers.
    worker_list : WorkerList
        Lists the registered workers.
    configuration : ConfigurationSource
        Provides the configuration and its changes.
    advisor : AdviceClient
        Requests advice from the advice service on behalf of this machine.
    """

    store: RowStore
    workers: WorkerClient
    worker_list: WorkerList
    configuration: ConfigurationSource
    advisor: AdviceClient
