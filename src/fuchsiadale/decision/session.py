"""The rules by which a backend server accepts orders from partition owners.

A backend server that compares epochs keeps one `WorkerSession`. The rules can be
switched off one by one, so that a test can show what each of them prevents.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from fuchsiadale.decision.constants import SESSION_TIMEOUT_S, TASK_LEASE_S


class SessionRefusal(Enum):
    """Why an order was refused; a refused order had no effect."""

    STALE_EPOCH = "stale_epoch"
    SESSION_LAPSED = "session_lapsed"
    START_EXPIRED = "start_expired"
    LEAVING = "leaving"
    NO_ROOM = "no_room"


@frozen
class SessionRules:
    """Which rules are in force.

    Attributes
    ----------
    fencing : bool
        Orders of an older epoch are refused.
    session_timeout : bool
        Starts are refused without a recent heartbeat.
    echoed_clock : bool
        Heartbeats renew from the clock reading they echo, not from their arrival.
    """

    fencing: bool = True
    session_timeout: bool = True
    echoed_clock: bool = True


class WorkerSession:
    """The one session that a worker has with the owner of its partition.

    Parameters
    ----------
    now_s : float
        Reading of the worker's clock.
    rules : SessionRules, optional
        Which rules are in force.
    """

    def __init__(self, now_s: float, rules: SessionRules | None = None) -> None:
        self._rules = rules or SessionRules()
        self._epoch = 0
        self._renewed_s = now_s - SESSION_TIMEOUT_S - TASK_LEASE_S

    @property
    def epoch(self) -> int:
        """The highest epoch that adopted this worker."""
        return self._epoch

    def adopt(self, epoch: int) -> SessionRefusal | None:
        """Take a new owner; the session opens with its first heartbeat."""
        if self._is_stale(epoch):
            return SessionRefusal.STALE_EPOCH
        self._epoch = max(self._epoch, epoch)
        return None

    def renew(self, epoch: int, echo_s: float, now_s: float) -> SessionRefusal | None:
        """Renew the session and the leases of its tasks.

        Parameters
        ----------
        epoch : int
            Epoch of the sender.
        echo_s : float
            The last reading of this worker's clock that the sender received.
        now_s : float
            Reading of this worker's clock.
        """
        if self._is_stale(epoch):
            return SessionRefusal.STALE_EPOCH
        renewal_s = min(echo_s, now_s) if self._rules.echoed_clock else now_s
        self._renewed_s = max(self._renewed_s, renewal_s)
        return None

    def check_start(
        self, epoch: int, valid_until_s: float, now_s: float
    ) -> SessionRefusal | None:
        """Return why a start is refused, or None if it may take effect."""
        if self._is_stale(epoch):
            return SessionRefusal.STALE_EPOCH
        if self._rules.session_timeout and now_s - self._renewed_s > SESSION_TIMEOUT_S:
            return SessionRefusal.SESSION_LAPSED
        if now_s > valid_until_s:
            return SessionRefusal.START_EXPIRED
        return None

    def have_leases_expired(self, now_s: float) -> bool:
        """Tell whether the tasks must be ended for want of a renewal."""
        return now_s - self._renewed_s > TASK_LEASE_S

    def _is_stale(self, epoch: int) -> bool:
        return self._rules.fencing and epoch < self._epoch
