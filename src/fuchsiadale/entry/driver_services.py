"""What the partition drivers of a process share."""

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
    """What every partition driver of a process shares.

    Attributes
    ----------
    clock : Clock
        The clock.
    journal : Journal
        The member's journal.
    connector : BackendConnector
        Makes clients of backend servers.
    counters : Counters
        Takes the counts.
    supervisor : Supervisor
        The parent of the drivers' supervisors.
    send_result : callable
        Takes a member, finished work and what to call once the member has it.
    is_store_failing : callable
        Tells whether the table service answers.
    """

    clock: Clock
    journal: Journal
    connector: BackendConnector
    counters: Counters
    supervisor: Supervisor
    send_result: ResultSender
    is_store_failing: Callable[[], bool]
