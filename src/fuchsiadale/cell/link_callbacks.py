"""Functions through which the link to a worker reports to the owner."""

from __future__ import annotations

from collections.abc import Callable

from fuchsiadale.decision.workflow.messages import WorkerReport


class LinkCallbacks:
    """Functions through which a link reports to the owner.

    Each is called with the worker's id first.

    Parameters
    ----------
    on_report : callable
        Called with each report and the time at which the poll was sent, in seconds on
        the event loop's clock.
    on_unresponsive : callable
        Called each time a poll fails for a reason other than fencing or replacement,
        with that reason, and whether the connection was closed or refused; a reply that
        reports another error counts as unresponsive, too.
    on_replaced : callable
        Called when a worker with another id answers at the address.
    on_lease_extended : callable
        Called when leases may be extended, before each poll or start and after a reply,
        with the time at which they have expired and their runs are certainly killed, in
        seconds on the event loop's clock.
    on_misdated_lease : callable
        Called when a start was answered by an incarnation of the worker that has not
        reported yet, and after the first report of an incarnation that follows another
        one, with the same time for a lease of any length.
    on_fenced : callable
        Called when the worker rejects a call because it knows a higher fencing token.
    """

    def __init__(
        self,
        on_report: Callable[[str, WorkerReport, float], None],
        on_unresponsive: Callable[[str, str, bool], None],
        on_replaced: Callable[[str], None],
        on_lease_extended: Callable[[str, float], None],
        on_misdated_lease: Callable[[str, float], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self.on_report = on_report
        self.on_unresponsive = on_unresponsive
        self.on_replaced = on_replaced
        self.on_lease_extended = on_lease_extended
        self.on_misdated_lease = on_misdated_lease
        self.on_fenced = on_fenced
