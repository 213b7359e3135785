"""Compares the outcomes that callers get with the runs on the workers, under faults.

Each random scenario injects one to four faults, which may overlap, while callers send
requests.
"""

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
# Seconds over which the requests are spread.
LOAD_DURATION_S = 25.0
REQUEST_COUNT = 150
# Seconds for which a scenario waits for the outcomes of its requests.
SETTLE_TIMEOUT_S = 120.0


@frozen
class Fault:
    """A fault that is injected into the cluster.

    Attributes
    ----------
    kind : str
        What fails. "cut" means that one host loses a link. A lost call never arrives;
        if the answer is lost, the call has taken effect. "store down" and lost calls
        and answers of the store affect all hosts.
    host : str
        The entry host that it affects, if the kind affects one.
    worker : str
        The worker that it affects, if the kind affects one.
    at_s : float
        Seconds from the start of the load to the fault.
    duration_s : float
        Seconds for which the fault lasts, if the kind has a duration.
    """

    kind: str
    host: str
    worker: str
    at_s: float
    duration_s: float


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
        duration_s=st.sampled_from([0.3, 2.0, 5.0, 9.0, 14.0]),
    ),
    min_size=1,
    max_size=4,
)


class FaultScenario:
    """Sends requests to a cluster under faults and checks the outcomes.

    Parameters
    ----------
    cluster : TestCluster
        The cluster.

    Attributes
    ----------
    outcomes : dict of str to Result
        What the callers were told, by work id.
    """

    def __init__(self, cluster: TestCluster) -> None:
        self._cluster = cluster
        self.outcomes: dict[str, Result[WorkView, Refusal]] = {}
        self._submissions: dict[str, Submission] = {}

    async def run(self, faults: list[Fault]) -> None:
        """Send requests while faults occur, then wait until no worker runs a task."""
        calls = [
            asyncio.ensure_future(self._send_request(n)) for n in range(REQUEST_COUNT)
        ]
        injections = [asyncio.ensure_future(self._inject(fault)) for fault in faults]
        await asyncio.wait([*calls, *injections], timeout=SETTLE_TIMEOUT_S)
        for injection in injections:
            injection.result()
        await self._cluster.wait_until(
            lambda: not any(w.running_ids for w in self._cluster.workers.values())
        )

    def check_consistency(self) -> None:
        """Compare the outcomes that callers got with the runs that workers observed."""
        runs: defaultdict[str, list[Observation]] = defaultdict(list)
        for observation in self._cluster.observations:
            runs[observation.attempt_id.rpartition("/")[0]].append(observation)
        for work_id, submission in self._submissions.items():
            self._check_runs(submission, runs[work_id])
            outcome = self.outcomes.get(work_id)
            if outcome is not None:
                self._check_outcome(submission, outcome, runs[work_id])
        for worker in self._cluster.workers.values():
            assert not worker.has_exceeded_capacity

    def _check_runs(self, submission: Submission, runs: list[Observation]) -> None:
        if not submission.idempotent:
            assert len(runs) <= 1
        ordered = sorted(runs, key=lambda run: run.started_s)
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            assert earlier.ended_s is not None
            assert earlier.ended_s <= later.started_s

    def _check_outcome(
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

    async def _send_request(self, number: int) -> None:
        await asyncio.sleep(LOAD_DURATION_S * number / REQUEST_COUNT)
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
        # A killed entry returns nothing to its callers.
        if self._cluster.nodes.get(host) is node:
            self.outcomes[submission.work_id] = outcome

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        cluster = self._cluster
        if fault.kind in ("kill", "drain"):
            await self._restart_entry(fault)
            return
        if fault.kind == "reboot worker":
            cluster.workers[fault.worker].reboot()
            return
        self._set_fault(fault, is_on=True)
        await asyncio.sleep(fault.duration_s)
        self._set_fault(fault, is_on=False)

    async def _restart_entry(self, fault: Fault) -> None:
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
        await asyncio.sleep(fault.duration_s)
        if fault.host not in cluster.nodes:
            cluster.start_node(fault.host)

    def _set_fault(self, fault: Fault, is_on: bool) -> None:
        cluster = self._cluster
        node_faults = cluster.network_faults[fault.host]
        if fault.kind == "cut store":
            node_faults.is_store_unreachable = is_on
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
                node_faults.unreachable_workers
                if is_cut
                else node_faults.workers_losing_replies
            )
            (names.add if is_on else names.discard)(fault.worker)


async def run_scenario(faults: list[Fault], fencing: bool = True) -> None:
    workers = [make_worker_info(index, fencing=fencing) for index in range(4)]
    config = CONFIG if fencing else CONFIG.replace("{}", "{fencing: false}")
    async with TestCluster(3, workers, config) as cluster:
        scenario = FaultScenario(cluster)
        await scenario.run(faults)
        scenario.check_consistency()


@settings(derandomize=True, max_examples=40, deadline=None)
@given(FAULTS)
def test_reported_outcomes_match_the_runs_on_workers_under_random_faults(
    faults: list[Fault],
) -> None:
    run_with_virtual_clock(run_scenario(faults))


# Faults, found by random tests, under which a caller was once told that its work had
# not run although it had run.
FAULTS_OF_PAST_FAILURES = {
    "cancelled by an owner that had lost the partition": [
        Fault("cut store", "entry-2", "worker-2", 6.0, 5.0),
        Fault("lose store calls", "entry-2", "worker-0", 6.0, 5.0),
        Fault("drain", "entry-2", "worker-1", 6.0, 0.3),
        Fault("worker leaves", "entry-1", "worker-1", 3.3, 0.3),
        Fault("cut store", "entry-1", "worker-3", 15.0, 14.0),
    ],
    "cancelled while the worker that a former owner used was unreachable": [
        Fault("drain", "entry-2", "worker-0", 3.3, 2.0),
        Fault("lose worker answers", "entry-1", "worker-2", 2.0, 9.0),
        Fault("lose worker answers", "entry-1", "worker-3", 3.3, 9.0),
    ],
}


@pytest.mark.parametrize("name", list(FAULTS_OF_PAST_FAILURES))
def test_reported_outcomes_match_the_runs_on_workers_under_past_faults(
    name: str,
) -> None:
    run_with_virtual_clock(run_scenario(FAULTS_OF_PAST_FAILURES[name]))


@pytest.mark.parametrize("fencing", [True, False])
def test_two_isolated_owners_never_overfill_a_worker_or_run_work_concurrently(
    fencing: bool,
) -> None:
    """Two hosts lose the store and their peers at once, but keep their workers.

    Their partitions are taken over while they may still regard themselves as owners.
    Work that is not idempotent runs at most once, and runs of a task never overlap.
    """
    faults = [
        Fault(kind, host, "worker-0", 2.0, 14.0)
        for host in HOSTS[:2]
        for kind in ("cut store", "cut peers")
    ]
    run_with_virtual_clock(run_scenario(faults, fencing))


def test_gang_is_not_restarted_in_parts_after_its_owner_is_killed() -> None:
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
            # Each of the three workers may receive its tasks in a batch of its own.
            assert len({run.started_s for run in runs}) <= 3

    run_with_virtual_clock(session())
