"""Chooses which waiting jobs to defer when a pool cannot serve all in time.

Answers a burst, or a backlog after an outage, on queues of one urgency: serving the
earliest objective first would then meet hardly any. Jobs are taken in the order of
their objectives; whenever one would be late, the largest taken so far is deferred,
which keeps the most jobs in time (Moore, "An n job, one machine sequencing algorithm
for minimizing the number of late jobs", Management Science, 1968).
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop, heappush

from attrs import frozen


@frozen
class Demand:
    """What a waiting job still needs.

    Attributes
    ----------
    job_id : str
        The job.
    work_s : float
        Seconds for which its remaining work would fill the whole pool.
    chain_s : float
        Its longest chain of remaining work, in seconds.
    due_s : float
        When its objective lapses, on the loop's clock.
    """

    job_id: str
    work_s: float
    critical_path_s: float
    due_s: float


def select_deferred_jobs(demands: Iterable[Demand], now_s: float) -> set[str]:
    """Return the jobs to serve after all others so that most are in time."""
    accepted: list[tuple[float, str]] = []
    deferred: set[str] = set()
    total_work_s = 0.0
    for demand in sorted(demands, key=lambda item: item.due_s):
        heappush(accepted, (-demand.work_s, demand.job_id))
        total_work_s += demand.work_s
        if now_s + max(total_work_s, demand.critical_path_s) > demand.due_s:
            negative_work_s, job_id = heappop(accepted)
            total_work_s += negative_work_s
            deferred.add(job_id)
    return deferred
