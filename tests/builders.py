"""Builders of test data, and a partition to run tests on."""

from __future__ import annotations

import json

from attrs import evolve

from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.reconciliation import Reconciler
from fuchsiadale.decision.reports import WorkerReport
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import (
    Priority,
    Program,
    Submission,
    WorkKind,
)

PARTITION = "general.0"
SMALL_TASK_RESOURCES = Resources(1000, 1024, 0, 1, 1)
"""Resources of a task that fits on an empty worker eight times."""

WORKER_CAPACITY = Resources(8000, 16384, 0, 8, 64)


def make_worker_info(
    index: int, capacity: Resources = WORKER_CAPACITY, fencing: bool = True
) -> WorkerInfo:
    """Return the description of a worker of the test pool."""
    return WorkerInfo(
        name=f"worker-{index}",
        pool="general",
        address=f"http://worker-{index}",
        failure_domain=f"domain-{index % 3}",
        rack=f"rack-{index % 3}",
        capacity=capacity,
        fencing=fencing,
    )


def make_submission(
    number: int = 0,
    kind: WorkKind = WorkKind.REQUEST,
    team: str = "guild",
    resources: Resources = SMALL_TASK_RESOURCES,
    tasks: int = 1,
    priority: Priority = Priority.NORMAL,
    idempotent: bool = True,
    key: str = "",
    resubmitted: bool = False,
    payload: bytes = b"",
    declared_run_s: float = 0.0,
) -> Submission:
    """Return a submission to the test partition."""
    return Submission(
        work_id=f"{PARTITION}.{number}",
        kind=kind,
        team=team,
        queue="proofs",
        program=Program("echo", payload),
        resources=resources,
        tasks=tasks,
        priority=priority,
        idempotent=idempotent,
        key=key,
        resubmitted=resubmitted,
        declared_run_s=declared_run_s,
    )


def make_sleep_submission(
    number: int, run_s: float, idempotent: bool, kind: WorkKind = WorkKind.REQUEST
) -> Submission:
    """Return a submission whose task sleeps for `run_s` and then returns an answer."""
    payload = json.dumps({"run_s": run_s, "answer": f"answer {number}"}).encode()
    submission = make_submission(number, kind=kind, idempotent=idempotent)
    return evolve(submission, program=Program("sleep", payload), deadline_s=60.0)


class PartitionHarness:
    """A partition with its own manual clock and with all workers adopted."""

    def __init__(
        self, workers: int = 3, capacity: Resources = WORKER_CAPACITY, epoch: int = 1
    ) -> None:
        self.clock = ManualClock(100.0)
        infos = [make_worker_info(index, capacity) for index in range(workers)]
        names = [info.name for info in infos]
        self.authority = Authority(self.clock, names, taken_over=False)
        self.authority.record_lease_renewal(self.clock.now())
        self.partition = Partition(PARTITION, epoch, self.clock, self.authority)
        self.reconciliation = Reconciler(self.partition, self.clock)
        self.reconciliation.set_workers(infos, names)
        for name in names:
            report = WorkerReport(clock_s=1.0, boot_id="boot-1")
            self.reconciliation.process_adoption(name, report, self.clock.now())

    def advance(self, seconds: float) -> None:
        """Advance the clock and renew the member lease."""
        self.clock.advance(seconds)
        self.authority.record_lease_renewal(self.clock.now())
