"""Failures of real processes: pauses, silent connections and planned stops."""

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


class Callers:
    """Callers that keep sending requests, each to the entries in turn."""

    def __init__(self, cluster: ProcessCluster, idempotent: bool) -> None:
        reply = cluster.call_admin("POST", "/keys", {"team": "guild"})
        cluster.wait_for_common_configuration()
        self.replies: list[tuple[str, HttpReply]] = []
        self._headers = {"Authorization": f"Bearer {reply.body['key']}"}
        self._cluster = cluster
        self._idempotent = idempotent
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(number,)) for number in range(6)
        ]

    def __enter__(self) -> Callers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _send(self, number: int) -> None:
        count = 0
        while not self._is_over.is_set():
            count += 1
            payload = f"caller {number} request {count}"
            body = {
                "program": "echo",
                "payload": payload,
                "idempotent": self._idempotent,
            }
            entries = self._cluster.entries
            url = self._cluster.url(entries[(number + count) % len(entries)])
            # The platform's balancer sends nobody to an entry that is not ready.
            if call_http("GET", f"{url}/readyz", timeout_s=5.0).status != 200:
                continue
            path = "/v1/queues/proofs/requests"
            reply = call_http("POST", url + path, body, self._headers)
            self.replies.append((payload, reply))

    def check(self, cluster: ProcessCluster) -> Counter[str]:
        """Compare what callers were told with what the workers saw."""
        seen = cluster.fetch_observations("general")
        assert seen["overfilled"] == []
        runs = Counter(
            observation["attempt_id"].rpartition("/")[0]
            for observation in seen["observations"]
        )
        told: Counter[str] = Counter()
        for payload, reply in self.replies:
            if reply.status == 0:
                told["not answered"] += 1
                continue
            body: Any = reply.body
            told[body["outcome"]] += 1
            if body["outcome"] == "ran":
                assert body["answer"] == payload
                assert runs[body["work_id"]] == 1
            elif body["outcome"] == "not_run":
                assert runs[body.get("work_id", "")] == 0
        return told


def test_paused_owner_doubles_nothing_when_it_wakes(cluster: ProcessCluster) -> None:
    owner = cluster.find_owner("general.0") or ""
    with Callers(cluster, idempotent=False) as callers:
        time.sleep(1.0)
        cluster.send_signal(owner, SIGSTOP)
        time.sleep(15.0)
        cluster.send_signal(owner, SIGCONT)
        time.sleep(5.0)
    told = callers.check(cluster)
    assert told["ran"] > 0
    cluster.wait_for_owner("general.0")


def test_silent_connections_are_replaced(cluster: ProcessCluster) -> None:
    with Callers(cluster, idempotent=False) as callers:
        time.sleep(1.0)
        call_http("POST", f"{cluster.workers_url('general')}/silence")
        time.sleep(6.0)
        count = len(callers.replies)
        time.sleep(2.0)
        assert len(callers.replies) > count
    told = callers.check(cluster)
    assert set(told) == {"ran"}


def test_planned_stop_of_every_entry_cuts_no_request(cluster: ProcessCluster) -> None:
    with Callers(cluster, idempotent=False) as callers:
        for entry in list(cluster.entries):
            time.sleep(1.0)
            assert cluster.stop_process(entry, SIGTERM) == 0
            cluster.start_entry(entry)
            cluster.wait_until_ready()
    told = callers.check(cluster)
    assert set(told) == {"ran"}
