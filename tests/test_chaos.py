"""Any two faults at once, under load: what callers are told is what the workers saw."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict

import pytest
from attrs import evolve, frozen
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Result

from fuchsiadale.decision.errors import ExecutionOutcome, Refusal
from fuchsiadale.decision.views import WorkView
from fuchsiadale.decision.work import Program, Submission, TaskState, WorkKind
from fuchsiadale.standin.worker import Observation
from tests.builders import make_submission, make_worker_info
from tests.cluster import CONFIG, TestCluster
from tests.virtual_loop import run_with_virtual_clock

HOSTS = ("entry-0", "entry-1", "entry-2")
WORKERS = tuple(f"worker-{index}" for index in range(4))
LOAD_S = 25.0
REQUESTS = 150
SETTLED_WITHIN_S = 120.0


@frozen
class Fault:
    """One fault: what, to whom, from when and for how long."""

    kind: str
    host: str
    worker: str
    at_s: float
    lasts_s: float


FAULTS = st.lists(
    st.builds(
        Fault,
        kind=st.sampled_from(
            [
                "kill",
                "drain",
                "cut store",
                "cut peers",
                "cut worker",
                "lose worker answers",
                "store down",
                "lose store answers",
                "lose store calls",
                "reboot worker",
                "worker leaves",
            ]
        ),
        host=st.sampled_from(HOSTS),
        worker=st.sampled_from(WORKERS),
        at_s=st.sampled_from([1.0, 2.0, 3.3, 6.0, 9.7, 15.0]),
        lasts_s=st.sampled_from([0.3, 2.0, 5.0, 9.0, 14.0]),
    ),
    min_size=1,
    max_size=4,
)


class Chaos:
    """Callers, faults, and a comparison of what was told with what was seen."""

    def __init__(self, cluster: TestCluster) -> None:
        self._cluster = cluster
        self.told: dict[str, Result[WorkView, Refusal]] = {}
        self._submissions: dict[str, Submission] = {}

    async def run(self, faults: list[Fault]) -> None:
        """Send requests while faults come and go, then wait for every answer."""
        calls = [asyncio.ensure_future(self._call(n)) for n in range(REQUESTS)]
        waves = [asyncio.ensure_future(self._inflict(fault)) for fault in faults]
        await asyncio.wait([*calls, *waves], timeout=SETTLED_WITHIN_S)
        for wave in waves:
            wave.result()
        await self._cluster.wait_until(
            lambda: (
                not any(w.running_attempt_ids for w in self._cluster.workers.values())
            )
        )

    def check(self) -> None:
        """Compare what callers were told with what the workers saw."""
        runs: defaultdict[str, list[Observation]] = defaultdict(list)
        for seen in self._cluster.observations:
            runs[seen.attempt_id.rpartition("/")[0]].append(seen)
        for work_id, submission in self._submissions.items():
            self._check_runs(submission, runs[work_id])
            outcome = self.told.get(work_id)
            if outcome is not None:
                self._check_told(submission, outcome, runs[work_id])
        for worker in self._cluster.workers.values():
            assert not worker.has_exceeded_capacity

    def _check_runs(self, submission: Submission, runs: list[Observation]) -> None:
        if not submission.idempotent:
            assert len(runs) <= 1
        ordered = sorted(runs, key=lambda run: run.started_s)
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            assert earlier.ended_s is not None
            assert earlier.ended_s <= later.started_s

    def _check_told(
        self,
        submission: Submission,
        outcome: Result[WorkView, Refusal],
        runs: list[Observation],
    ) -> None:
        if isinstance(outcome, Err):
            state = outcome.err_value.error_response.execution_outcome
        elif outcome.ok_value.tasks[0].state is TaskState.SUCCEEDED:
            state = ExecutionOutcome.RAN
            answer = json.loads(submission.program.payload)["answer"]
            assert outcome.ok_value.tasks[0].answer == answer.encode()
        else:
            assert outcome.ok_value.refusal is not None
            state = outcome.ok_value.refusal.error_response.execution_outcome
        if state is ExecutionOutcome.RAN:
            assert len(runs) >= 1
        if state is ExecutionOutcome.NOT_RUN:
            assert runs == []

    async def _call(self, number: int) -> None:
        await asyncio.sleep(LOAD_S * number / REQUESTS)
        run_s = (0.05, 0.5, 4.0)[number % 3]
        payload = json.dumps({"run_s": run_s, "answer": f"answer {number}"})
        submission = make_submission(number, idempotent=number % 2 == 0)
        submission = evolve(
            submission,
            program=Program("sleep", payload.encode()),
            deadline_s=60.0 if number % 5 else 6.0,
        )
        self._submissions[submission.work_id] = submission
        hosts = sorted(self._cluster.nodes)
        if not hosts:
            return
        host = hosts[number % len(hosts)]
        node = self._cluster.nodes[host]
        outcome = await node.router.run_request(submission)
        # The caller of an entry that was killed is told nothing.
        if self._cluster.nodes.get(host) is node:
            self.told[submission.work_id] = outcome

    async def _inflict(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        cluster = self._cluster
        if fault.kind in ("kill", "drain"):
            await self._stop_and_start(fault)
            return
        if fault.kind == "reboot worker":
            cluster.workers[fault.worker].reboot()
            return
        self._switch(fault, is_on=True)
        await asyncio.sleep(fault.lasts_s)
        self._switch(fault, is_on=False)

    async def _stop_and_start(self, fault: Fault) -> None:
        cluster = self._cluster
        if fault.host not in cluster.nodes:
            return
        if fault.kind == "drain":
            try:
                async with asyncio.timeout(30.0):
                    await cluster.nodes[fault.host].drain()
            except TimeoutError:
                pass
        if fault.host in cluster.nodes:
            await cluster.kill(fault.host)
        await asyncio.sleep(fault.lasts_s)
        if fault.host not in cluster.nodes:
            cluster.start_node(fault.host)

    def _switch(self, fault: Fault, is_on: bool) -> None:
        cluster = self._cluster
        links = cluster.network_faults[fault.host]
        if fault.kind == "cut store":
            links.is_store_unreachable = is_on
        elif fault.kind == "cut peers" and is_on:
            cluster.isolate(fault.host)
        elif fault.kind == "cut peers":
            for other in cluster.network_faults.values():
                other.unreachable_peers.clear()
        elif fault.kind == "store down":
            cluster.platform_faults.table_down = is_on
        elif fault.kind == "lose store answers" and is_on:
            cluster.platform_faults.lost_answers += 5
        elif fault.kind == "lose store calls" and is_on:
            cluster.platform_faults.lost_calls += 5
        elif fault.kind == "worker leaves":
            cluster.workers[fault.worker].faults.leaving = is_on
        elif fault.kind in ("cut worker", "lose worker answers"):
            is_cut = fault.kind == "cut worker"
            names = (
                links.unreachable_workers if is_cut else links.workers_losing_replies
            )
            (names.add if is_on else names.discard)(fault.worker)


async def play(faults: list[Fault], fencing: bool = True) -> None:
    workers = [make_worker_info(index, fencing=fencing) for index in range(4)]
    config = CONFIG if fencing else CONFIG.replace("{}", "{fencing: false}")
    async with TestCluster(3, workers, config) as cluster:
        chaos = Chaos(cluster)
        await chaos.run(faults)
        chaos.check()


@settings(derandomize=True, max_examples=40, deadline=None)
@given(FAULTS)
def test_callers_are_told_what_the_workers_saw(faults: list[Fault]) -> None:
    run_with_virtual_clock(play(faults))


FOUND = {
    "cancelled by an owner that had lost the partition": [
        Fault("cut store", "entry-2", "worker-2", 6.0, 5.0),
        Fault("lose store calls", "entry-2", "worker-0", 6.0, 5.0),
        Fault("drain", "entry-2", "worker-1", 6.0, 0.3),
        Fault("worker leaves", "entry-1", "worker-1", 3.3, 0.3),
        Fault("cut store", "entry-1", "worker-3", 15.0, 14.0),
    ],
    "cancelled while a former owner's run was not reached": [
        Fault("drain", "entry-2", "worker-0", 3.3, 2.0),
        Fault("lose worker answers", "entry-1", "worker-2", 2.0, 9.0),
        Fault("lose worker answers", "entry-1", "worker-3", 3.3, 9.0),
    ],
}


@pytest.mark.parametrize("name", list(FOUND))
def test_faults_that_once_misled_a_caller(name: str) -> None:
    run_with_virtual_clock(play(FOUND[name]))


@pytest.mark.parametrize("fencing", [True, False])
def test_two_believers_never_overfill_or_double(fencing: bool) -> None:
    faults = [
        Fault(kind, host, "worker-0", 2.0, 14.0)
        for host in HOSTS[:2]
        for kind in ("cut store", "cut peers")
    ]
    run_with_virtual_clock(play(faults, fencing))


def test_gang_is_not_split_by_a_kill() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            payload = b'{"run_s": 20, "answer": "together"}'
            gang = evolve(
                make_submission(1, WorkKind.GANG, tasks=6),
                program=Program("sleep", payload),
            )
            work_id = (await entry.router.submit_job(gang)).unwrap()
            await asyncio.sleep(1.0)
            await cluster.kill(owner)
            await asyncio.sleep(40.0)
            view = (await entry.router.show(work_id, 30.0)).unwrap()
            assert {task.state for task in view.tasks} == {TaskState.SUCCEEDED}
            runs = cluster.list_runs(work_id + "/")
            assert len(runs) == 6
            assert len({run.started_s for run in runs}) <= 3

    run_with_virtual_clock(session())
