"""Tells from which crashes on the job of a task is given up."""

from __future__ import annotations

from fuchsiadale.decision.workflow.attempts import CrashHistory

MIN_CRASHED_WORKERS = 2
"""Workers that crashed when they had started a task, from which its job is given up if
only its tasks can be the cause, and none of the workers was found to have crashed only
after the lease of its runs had lapsed.
"""

MAX_CRASHED_WORKERS = 3
"""Workers that crashed so from which the job is given up in any case.

Also the number of workers that crashed under a task at the same age of its runs.
"""

MAX_CRASHES = 4
"""Crashes from which it is given up even if the same worker crashed each time, or if no
run of the task is known to have started: one that crashes its worker at once never is.

One of them at least must be of a run that the owner has started itself: crashes while
there is no owner cannot be compared with others at the same moment.
"""

MAX_EXCUSED_CRASHES = 5
"""Crashes in a row beside losses noticed at another time from which they all count.

Losses that only may be simultaneous must not hide a task that crashes each worker.
"""


def must_be_given_up(crashes: CrashHistory, is_one_job: bool) -> bool:
    """Tell whether a task has crashed so many workers that its job has to end."""
    late = crashes.similar_late_crashes
    has_own_run = len(crashes.inherited) < len(crashes.runs)
    return (
        (is_one_job and len(crashes.proven_workers_at_start) >= MIN_CRASHED_WORKERS)
        or len(crashes.workers_at_start) >= MAX_CRASHED_WORKERS
        or (len(crashes.runs) >= MAX_CRASHES and has_own_run)
        or len({crash.address for crash in late}) >= MAX_CRASHED_WORKERS
        or len(late) >= MAX_CRASHES
    )
