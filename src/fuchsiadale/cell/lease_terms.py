"""How long the leases that an owner grants may outlast its last renewal."""

from __future__ import annotations

from fuchsiadale.cell.worker_clock import LEASE_S, lease_expiry_delay_s

MAX_RENEWAL_AGE_S = 8.0
"""Seconds without a renewal after which an owner stops.

An owner keeps the ownership during an outage of the store of up to this length.
"""

MAX_LEASE_EXTENSION_S = 0.5
"""Seconds by which a lease may outlast one that was granted at the last confirmation.

An owner renews once in this time. A renewal or an outage that the witnesses confirm is
such a confirmation.
"""

TAKEOVER_MARGIN_S = 0.5
"""Seconds added to a previous owner's leases, as clocks of machines differ in speed."""

UNCONFIRMED_LEASES_END_S = MAX_RENEWAL_AGE_S + (
    lease_expiry_delay_s(LEASE_S) + TAKEOVER_MARGIN_S
)
"""Seconds from an owner's last renewal until its leases have ended in any case."""


def leases_end_s(max_lease_s: float) -> float:
    """Return how long after a confirmation all leases on the strength of it have ended.

    Parameters
    ----------
    max_lease_s : float
        Longest lease that workers accept, in seconds.

    Returns
    -------
    duration_s : float
        Time from the confirmation until the runs are certainly killed, in seconds.
    """
    return MAX_LEASE_EXTENSION_S + lease_expiry_delay_s(max_lease_s) + TAKEOVER_MARGIN_S
