"""Services that all partition drivers of a process share."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from fuchsiadale.backend.server import BackendConnector
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.work import Work
from fuchsiadale.entry.journal import Journal
from fuchsiadale.metrics import Counters
from fuchsiadale.supervisor import Supervisor

ResultSender = Callable[[str, Work, Callable[[], None]], None]


@frozen
class DriverServices:
    """Services that all partition drivers of a process share.

    Attributes
    ----------
    clock : Clock
        Clock of the process.
    journal : Journal
        Journal of the member, which all its partitions write to.
    connector : BackendConnector
        Creates clients of backend servers.
    counters : Counters
        Counts events by name.
    supervisor : Supervisor
        Parent of the supervisors of the drivers.
    send_result : callable
        Sends the result of finished work to a member. Takes the name of the member, the
        work, and a callable that is called once the member has received the result.
    is_table_failing : callable
        Returns whether the last call to the table failed for a reason other than a
        conflict.
    """

    clock: Clock
    journal: Journal
    connector: BackendConnector
    counters: Counters
    supervisor: Supervisor
    send_result: ResultSender
    is_table_failing: Callable[[], bool]
