"""Selects the waiting jobs to defer when a pool cannot serve all of them in time.

In a burst, or a backlog after an outage, of jobs of one priority, serving the earliest
deadline first would meet hardly any objective. Instead, jobs are accepted in the order
of their deadlines, and whenever one would be late, the largest job accepted so far is
deferred. This keeps the most jobs in time (Moore, "An n job, one machine sequencing
algorithm for minimizing the number of late jobs", Management Science, 1968).
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop, heappush

from attrs import frozen


@frozen
class Demand:
    """Remaining work and deadline of a waiting job.

    Attributes
    ----------
    job_id : str
        Id of the job.
    work_s : float
        Time for which its remaining work would fill the whole pool, in seconds.
    least_remaining_s : float
        Least time that the critical path of its remaining work takes, in seconds.
    due_s : float
        Its deadline by the objective, on the loop's clock.
    """

    job_id: str
    work_s: float
    least_remaining_s: float
    due_s: float


def select_deferred_jobs(demands: Iterable[Demand], now_s: float) -> set[str]:
    """Return the ids of the jobs to serve after the others to keep the most in time."""
    accepted: list[tuple[float, str]] = []
    deferred: set[str] = set()
    total_work_s = 0.0
    for demand in sorted(demands, key=lambda item: item.due_s):
        heappush(accepted, (-demand.work_s, demand.job_id))
        total_work_s += demand.work_s
        if now_s + max(total_work_s, demand.least_remaining_s) > demand.due_s:
            negative_work_s, job_id = heappop(accepted)
            total_work_s += negative_work_s
            deferred.add(job_id)
    return deferred
