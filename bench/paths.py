"""The whole path through three entry processes, and what control costs."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import psutil
from attrs import frozen
from hdrh.histogram import HdrHistogram

from tools.processes import ProcessCluster, call_http

CONFIG = """\
teams: {guild: {}}
pools: {general: {}, imaging: {}}
queues: {proofs: {pool: general}}
"""
WORKER_COUNTS = (20, 200)
CALLERS = (8, 64)
LOAD_S = 8.0
IDLE_S = 10.0
MAX_LATENCY_US = 60_000_000


@frozen
class ProcessCost:
    """What one process spent, idle or loaded.

    Attributes
    ----------
    name : str
        The process.
    cpu_fraction : float
        Processor time as a part of one core.
    resident_mb : float
        Resident memory in MiB.
    """

    name: str
    cpu_fraction: float
    resident_mb: float


@frozen
class PathResult:
    """One measurement of the whole path.

    Attributes
    ----------
    workers : int
        Workers in each of two pools.
    callers : int
        Callers that send one request after another; none when idle.
    idempotent : bool
        Whether the requests are idempotent, so that starts need no record.
    per_second : float
        Requests answered in a second.
    p50_ms, p99_ms : float
        Latency of the requests.
    transactions_per_s, rows_read_per_s : float
        Load on the table service.
    bytes_per_s_per_worker : float
        Bytes sent and received on loopback by all processes for each worker, idle.
    costs : list of ProcessCost
        What each process spent.
    """

    workers: int
    callers: int
    idempotent: bool
    per_second: float
    p50_ms: float
    p99_ms: float
    transactions_per_s: float
    rows_read_per_s: float
    bytes_per_s_per_worker: float
    costs: list[ProcessCost]


class PathBench:
    """A cluster of processes under load.

    Parameters
    ----------
    workers : int
        Workers in each of two pools.
    """

    def __init__(self, workers: int) -> None:
        self._workers = workers
        self._folder = tempfile.TemporaryDirectory()
        self._cluster = ProcessCluster(Path(self._folder.name), workers=workers)
        self._key = ""

    def __enter__(self) -> PathBench:
        """Start the cluster and wait until the partitions have settled."""
        self._cluster.start()
        self._cluster.call_admin("PUT", "/config", {"files": {"all.yaml": CONFIG}})
        self._cluster.wait_for_owner("general.0")
        self._cluster.wait_for_owner("imaging.0")
        self._cluster.wait_until_ready()
        self._key = self._cluster.call_admin("POST", "/keys", {"team": "guild"}).body[
            "key"
        ]
        self._cluster.wait_for_common_configuration()
        time.sleep(8.0)
        return self

    def __exit__(self, *error: object) -> None:
        """Stop the cluster."""
        self._cluster.stop()
        self._folder.cleanup()

    def measure_idle(self) -> PathResult:
        """Measure what control costs while no work runs."""
        return self._measure(0, True, lambda histogram: time.sleep(IDLE_S))

    def measure_load(self, callers: int, idempotent: bool) -> PathResult:
        """Measure requests of callers that each wait for their answer."""
        return self._measure(
            callers,
            idempotent,
            lambda histogram: asyncio.run(self._send(callers, idempotent, histogram)),
        )

    def _measure(self, callers: int, idempotent: bool, work: Any) -> PathResult:
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        processes = {
            name: psutil.Process(pid) for name, pid in self._cluster.process_ids.items()
        }
        cpu_before = {name: _cpu_s(each) for name, each in processes.items()}
        counts_before = self._counts()
        bytes_before = _loopback_bytes()
        began = time.perf_counter()
        work(histogram)
        elapsed_s = time.perf_counter() - began
        counts = self._counts()
        sent = _loopback_bytes() - bytes_before
        costs = [
            ProcessCost(
                name,
                round((_cpu_s(each) - cpu_before[name]) / elapsed_s, 4),
                round(each.memory_info().rss / 2**20, 1),
            )
            for name, each in processes.items()
        ]
        transactions = counts["transactions"] - counts_before["transactions"]
        rows_read = counts["rows_read"] - counts_before["rows_read"]
        return PathResult(
            workers=self._workers,
            callers=callers,
            idempotent=idempotent,
            per_second=round(histogram.get_total_count() / elapsed_s, 1),
            p50_ms=round(histogram.get_value_at_percentile(50) / 1000, 2),
            p99_ms=round(histogram.get_value_at_percentile(99) / 1000, 2),
            transactions_per_s=round(transactions / elapsed_s, 1),
            rows_read_per_s=round(rows_read / elapsed_s, 1),
            bytes_per_s_per_worker=round(sent / elapsed_s / (2 * self._workers)),
            costs=costs,
        )

    async def _send(
        self, callers: int, idempotent: bool, histogram: HdrHistogram
    ) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            stop_s = time.perf_counter() + LOAD_S
            await asyncio.gather(
                *(
                    self._call(session, number, idempotent, stop_s, histogram)
                    for number in range(callers)
                )
            )

    async def _call(
        self,
        session: aiohttp.ClientSession,
        number: int,
        idempotent: bool,
        stop_s: float,
        histogram: HdrHistogram,
    ) -> None:
        entry = self._cluster.entries[number % len(self._cluster.entries)]
        url = f"{self._cluster.url(entry)}/v1/queues/proofs/requests"
        headers = {"Authorization": f"Bearer {self._key}"}
        body = json.dumps(
            {
                "program": "echo",
                "payload": "crest",
                "idempotent": idempotent,
                "resources": {"cores": 0.1, "memory_gb": 0.1},
            }
        )
        while time.perf_counter() < stop_s:
            began = time.perf_counter()
            async with session.post(url, data=body, headers=headers) as response:
                answer = await response.json()
                if answer.get("outcome") != "ran":
                    raise RuntimeError(f"not answered: {answer}")
            histogram.record_value(round((time.perf_counter() - began) * 1e6))

    def _counts(self) -> dict[str, int]:
        counts: dict[str, int] = call_http(
            "GET", f"{self._cluster.platform_url}/counts"
        ).body
        return counts


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _loopback_bytes() -> int:
    """Return the bytes sent over loopback, each counted once."""
    return int(psutil.net_io_counters(pernic=True)["lo"].bytes_sent)
