"""Rules by which a backend server accepts or refuses orders from partition owners.

A backend server that compares epochs keeps one `WorkerSession`. Each rule can be
disabled on its own, so that a test can show which failure the rule prevents.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from fuchsiadale.decision.constants import (
    MAX_START_VALIDITY_S,
    SESSION_TIMEOUT_S,
    TASK_LEASE_S,
)


class SessionRefusal(Enum):
    """The reason why a worker refused an order; a refused order has no effect."""

    STALE_EPOCH = "stale_epoch"
    SESSION_LAPSED = "session_lapsed"
    START_EXPIRED = "start_expired"
    LEAVING = "leaving"
    NO_ROOM = "no_room"


@frozen
class SessionRules:
    """Which rules a worker session enforces.

    Attributes
    ----------
    fencing : bool
        Whether orders of an older epoch are refused.
    session_timeout : bool
        Whether starts are refused without a recent heartbeat.
    echoed_clock : bool
        Whether a heartbeat renews the session from the reading of the worker's clock
        that it carries. Otherwise it renews from its arrival, and a delayed heartbeat
        prolongs the session.
    own_clock : bool
        Whether orders that name a later time than the worker's clock can have given
        are not followed. They were sent to an earlier boot of the worker.
    """

    fencing: bool = True
    session_timeout: bool = True
    echoed_clock: bool = True
    own_clock: bool = True


class WorkerSession:
    """The session of a worker with the owner of its partition.

    Parameters
    ----------
    now_s : float
        Current reading of the worker's clock, in seconds.
    rules : SessionRules, optional
        The rules to enforce; all by default.
    """

    def __init__(self, now_s: float, rules: SessionRules | None = None) -> None:
        self._rules = rules or SessionRules()
        self._epoch = 0
        # The session starts as expired; only a heartbeat opens it.
        self._renewed_at_s = now_s - SESSION_TIMEOUT_S - TASK_LEASE_S

    @property
    def epoch(self) -> int:
        """The highest epoch that this worker has accepted."""
        return self._epoch

    def adopt(self, epoch: int) -> SessionRefusal | None:
        """Accept the owner of `epoch`, unless a newer one was accepted before.

        The session starts with the first heartbeat of the owner.
        """
        if self._is_stale(epoch):
            return SessionRefusal.STALE_EPOCH
        self._epoch = max(self._epoch, epoch)
        return None

    def renew(self, epoch: int, echo_s: float, now_s: float) -> SessionRefusal | None:
        """Renew the session and the leases of the worker's tasks.

        A heartbeat for an earlier boot is accepted and renews nothing, so that its
        sender learns of this one from the report.

        Parameters
        ----------
        epoch : int
            Epoch of the owner that sent the heartbeat.
        echo_s : float
            The last reading of this worker's clock that the owner received.
        now_s : float
            Current reading of this worker's clock.

        Returns
        -------
        SessionRefusal or None
            Why the heartbeat is refused; None if it is accepted.
        """
        if self._is_stale(epoch):
            return SessionRefusal.STALE_EPOCH
        if self._rules.own_clock and echo_s > now_s:
            return None
        renewal_s = min(echo_s, now_s) if self._rules.echoed_clock else now_s
        self._renewed_at_s = max(self._renewed_at_s, renewal_s)
        return None

    def check_start(
        self, epoch: int, valid_until_s: float, now_s: float
    ) -> SessionRefusal | None:
        """Return why a start is refused, or None if it is accepted.

        Parameters
        ----------
        epoch : int
            Epoch of the owner that sent the start.
        valid_until_s : float
            Reading of this worker's clock after which the start is refused.
        now_s : float
            Current reading of this worker's clock.
        """
        if self._is_stale(epoch):
            return SessionRefusal.STALE_EPOCH
        if (
            self._rules.session_timeout
            and now_s - self._renewed_at_s > SESSION_TIMEOUT_S
        ):
            return SessionRefusal.SESSION_LAPSED
        is_for_earlier_boot = valid_until_s - now_s > MAX_START_VALIDITY_S
        if now_s > valid_until_s or (self._rules.own_clock and is_for_earlier_boot):
            return SessionRefusal.START_EXPIRED
        return None

    def have_leases_expired(self, now_s: float) -> bool:
        """Return whether the task leases have expired, so that the tasks must end."""
        return now_s - self._renewed_at_s > TASK_LEASE_S

    def _is_stale(self, epoch: int) -> bool:
        return self._rules.fencing and epoch < self._epoch
