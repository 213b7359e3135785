"""Benchmark of requests through three entry processes, and of their idle cost."""

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
"""Numbers of workers in each pool to measure with."""

CLIENT_COUNTS = (8, 64)
"""Numbers of concurrent clients to measure with."""

LOAD_DURATION_S = 8.0
"""Duration of a measurement under load, in seconds."""

IDLE_DURATION_S = 10.0
"""Duration of a measurement without load, in seconds."""

MAX_LATENCY_US = 60_000_000
"""Highest latency that the histogram can record, in microseconds."""


@frozen
class ProcessCost:
    """Processor time and memory that one process used during a measurement.

    Attributes
    ----------
    name : str
        Name of the process.
    cpu_fraction : float
        Processor time as a fraction of one core's time.
    resident_mb : float
        Resident memory at the end of the measurement, in MiB.
    """

    name: str
    cpu_fraction: float
    resident_mb: float


@frozen
class PathResult:
    """Result of one measurement.

    Attributes
    ----------
    workers : int
        Number of workers in each of two pools.
    callers : int
        Number of clients that send one request after another; 0 without load.
    idempotent : bool
        Whether the requests are idempotent, so that their starts are not recorded; of
        no meaning without load.
    per_second : float
        Requests answered per second; 0 without load.
    p50_ms, p99_ms : float
        Percentiles of the latency of the requests, in milliseconds; 0 without load.
    transactions_per_s, rows_read_per_s : float
        Load on the table service, per second.
    bytes_per_s_per_worker : float
        Bytes sent over loopback by all processes, per second and worker.
    costs : list of ProcessCost
        Cost of each process.
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


class PathBenchmark:
    """Measures a cluster of processes with and without load.

    Parameters
    ----------
    workers : int
        Number of workers in each of two pools.
    """

    def __init__(self, workers: int) -> None:
        self._workers = workers
        self._folder = tempfile.TemporaryDirectory()
        self._cluster = ProcessCluster(Path(self._folder.name), workers=workers)
        self._key = ""

    def __enter__(self) -> PathBenchmark:
        """Start and configure the cluster, and wait until it is ready.

        Another 8 seconds pass before it is measured, so that the partitions settle.
        """
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
        """Measure the cost of the control traffic while no work runs."""
        return self._measure(0, True, lambda histogram: time.sleep(IDLE_DURATION_S))

    def measure_load(self, client_count: int, idempotent: bool) -> PathResult:
        """Measure requests of clients that each wait for the reply to the last one."""
        return self._measure(
            client_count,
            idempotent,
            lambda histogram: asyncio.run(
                self._send_load(client_count, idempotent, histogram)
            ),
        )

    def _measure(self, client_count: int, idempotent: bool, load: Any) -> PathResult:
        """Call `load` with a histogram to record latencies in, and return the result.

        The result covers the costs of the processes and the traffic during the call.
        """
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        processes = {
            name: psutil.Process(pid) for name, pid in self._cluster.process_ids.items()
        }
        cpu_before = {name: _read_cpu_s(process) for name, process in processes.items()}
        counts_before = self._fetch_counts()
        bytes_before = _read_loopback_bytes()
        started_s = time.perf_counter()
        load(histogram)
        elapsed_s = time.perf_counter() - started_s
        counts = self._fetch_counts()
        bytes_sent = _read_loopback_bytes() - bytes_before
        costs = [
            ProcessCost(
                name,
                round((_read_cpu_s(process) - cpu_before[name]) / elapsed_s, 4),
                round(process.memory_info().rss / 2**20, 1),
            )
            for name, process in processes.items()
        ]
        transactions = counts["transactions"] - counts_before["transactions"]
        rows_read = counts["rows_read"] - counts_before["rows_read"]
        return PathResult(
            workers=self._workers,
            callers=client_count,
            idempotent=idempotent,
            per_second=round(histogram.get_total_count() / elapsed_s, 1),
            p50_ms=round(histogram.get_value_at_percentile(50) / 1000, 2),
            p99_ms=round(histogram.get_value_at_percentile(99) / 1000, 2),
            transactions_per_s=round(transactions / elapsed_s, 1),
            rows_read_per_s=round(rows_read / elapsed_s, 1),
            bytes_per_s_per_worker=round(bytes_sent / elapsed_s / (2 * self._workers)),
            costs=costs,
        )

    async def _send_load(
        self, client_count: int, idempotent: bool, histogram: HdrHistogram
    ) -> None:
        """Run concurrent clients for `LOAD_DURATION_S` seconds."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            deadline_s = time.perf_counter() + LOAD_DURATION_S
            await asyncio.gather(
                *(
                    self._send_requests(
                        session, number, idempotent, deadline_s, histogram
                    )
                    for number in range(client_count)
                )
            )

    async def _send_requests(
        self,
        session: aiohttp.ClientSession,
        number: int,
        idempotent: bool,
        deadline_s: float,
        histogram: HdrHistogram,
    ) -> None:
        """Send one request after another until the deadline; record the latencies."""
        entry = self._cluster.entries[number % len(self._cluster.entries)]
        url = f"{self._cluster.entry_url(entry)}/v1/queues/proofs/requests"
        headers = {"Authorization": f"Bearer {self._key}"}
        body = json.dumps(
            {
                "program": "echo",
                "payload": "crest",
                "idempotent": idempotent,
                "resources": {"cores": 0.1, "memory_gb": 0.1},
            }
        )
        while time.perf_counter() < deadline_s:
            started_s = time.perf_counter()
            async with session.post(url, data=body, headers=headers) as response:
                reply = await response.json()
                if reply.get("outcome") != "ran":
                    raise RuntimeError(f"reply without the outcome 'ran': {reply}")
            histogram.record_value(round((time.perf_counter() - started_s) * 1e6))

    def _fetch_counts(self) -> dict[str, int]:
        counts: dict[str, int] = call_http(
            "GET", f"{self._cluster.platform_url}/counts"
        ).body
        return counts


def _read_cpu_s(process: psutil.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


def _read_loopback_bytes() -> int:
    """Return the number of bytes sent over loopback; each byte is counted once."""
    return int(psutil.net_io_counters(pernic=True)["lo"].bytes_sent)
