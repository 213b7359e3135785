"""Paused processes, silent connections and rolling restarts, under load."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from signal import SIGCONT, SIGSTOP, SIGTERM
from typing import Any

import pytest

from tools.processes import HttpReply, ProcessCluster, call_http

CONFIG = """\
teams: {guild: {}}
pools: {general: {}, imaging: {}}
queues: {proofs: {pool: general}}
"""

pytestmark = pytest.mark.processes


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    cluster = ProcessCluster(tmp_path)
    try:
        cluster.start()
        cluster.call_admin("PUT", "/config", {"files": {"all.yaml": CONFIG}})
        cluster.wait_for_owner("general.0")
        cluster.wait_for_owner("imaging.0")
        cluster.wait_until_ready()
        yield cluster
    finally:
        cluster.stop()


class RequestLoad:
    """Clients that keep sending requests, each to all entries in turn."""

    def __init__(self, cluster: ProcessCluster, idempotent: bool) -> None:
        reply = cluster.call_admin("POST", "/keys", {"team": "guild"})
        cluster.wait_for_common_configuration()
        self.replies: list[tuple[str, HttpReply]] = []
        self._headers = {"Authorization": f"Bearer {reply.body['key']}"}
        self._cluster = cluster
        self._idempotent = idempotent
        self._is_stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(number,)) for number in range(6)
        ]

    def __enter__(self) -> RequestLoad:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._is_stopping.set()
        for thread in self._threads:
            thread.join()

    def _send(self, number: int) -> None:
        count = 0
        while not self._is_stopping.is_set():
            count += 1
            payload = f"client {number} request {count}"
            body = {
                "program": "echo",
                "payload": payload,
                "idempotent": self._idempotent,
            }
            entries = self._cluster.entries
            url = self._cluster.entry_url(entries[(number + count) % len(entries)])
            # The platform's load balancer sends no requests to unready entries.
            if call_http("GET", f"{url}/readyz", timeout_s=5.0).status != 200:
                continue
            path = "/v1/queues/proofs/requests"
            reply = call_http("POST", url + path, body, self._headers)
            self.replies.append((payload, reply))

    def check_outcomes(self, cluster: ProcessCluster) -> Counter[str]:
        """Check replies against the runs that workers recorded; count the outcomes.

        No worker may have exceeded its capacity. A request with the outcome ``ran``
        must have returned its payload and have run exactly once, and one with
        ``not_run`` must not have run. Other outcomes and requests without a reply are
        only counted.
        """
        recorded = cluster.fetch_observations("general")
        assert recorded["overfilled"] == []
        run_counts = Counter(
            observation["attempt_id"].rpartition("/")[0]
            for observation in recorded["observations"]
        )
        outcomes: Counter[str] = Counter()
        for payload, reply in self.replies:
            if reply.status == 0:
                outcomes["no reply"] += 1
                continue
            body: Any = reply.body
            outcomes[body["outcome"]] += 1
            if body["outcome"] == "ran":
                assert body["answer"] == payload
                assert run_counts[body["work_id"]] == 1
            elif body["outcome"] == "not_run":
                assert run_counts[body.get("work_id", "")] == 0
        return outcomes


# Guards against an owner that resumes after a pause and starts requests again that
# another entry has taken over meanwhile.
def test_paused_owner_runs_no_request_twice_after_it_resumes(
    cluster: ProcessCluster,
) -> None:
    owner = cluster.find_owner("general.0") or ""
    with RequestLoad(cluster, idempotent=False) as load:
        time.sleep(1.0)
        cluster.send_signal(owner, SIGSTOP)
        time.sleep(15.0)
        cluster.send_signal(owner, SIGCONT)
        time.sleep(5.0)
    outcomes = load.check_outcomes(cluster)
    assert outcomes["ran"] > 0
    cluster.wait_for_owner("general.0")


# Guards against calls that keep using connections on which no reply arrives any more.
def test_requests_run_on_new_connections_after_open_ones_stop_replying(
    cluster: ProcessCluster,
) -> None:
    with RequestLoad(cluster, idempotent=False) as load:
        time.sleep(1.0)
        call_http("POST", f"{cluster.workers_url('general')}/silence")
        time.sleep(6.0)
        count = len(load.replies)
        time.sleep(2.0)
        assert len(load.replies) > count
    outcomes = load.check_outcomes(cluster)
    assert set(outcomes) == {"ran"}


# Guards against requests that fail because an entry stops on SIGTERM.
def test_rolling_restart_of_all_entries_fails_no_request(
    cluster: ProcessCluster,
) -> None:
    with RequestLoad(cluster, idempotent=False) as load:
        for entry in list(cluster.entries):
            time.sleep(1.0)
            assert cluster.stop_process(entry, SIGTERM) == 0
            cluster.start_entry(entry)
            cluster.wait_until_ready()
    outcomes = load.check_outcomes(cluster)
    assert set(outcomes) == {"ran"}
