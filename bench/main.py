"""Runs all benchmarks and writes their results to one JSON file."""

from __future__ import annotations

import json
import os
import platform
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import cattrs
import psutil

from bench.decisions import measure_all
from bench.memory import measure_all as measure_memory
from bench.paths import CLIENT_COUNTS, WORKER_COUNTS, PathBenchmark
from bench.policies import list_experiments, run_experiment

RESULT_FILE = Path(__file__).resolve().parent / "results" / "latest.json"
PARALLEL_RUNS = 4
"""Number of policy simulations that run at the same time."""


def main() -> None:
    """Run the benchmarks of decisions, memory, the request path and the policies."""
    result: dict[str, Any] = {
        "machine": {
            "cores": os.cpu_count(),
            "memory_gb": round(psutil.virtual_memory().total / 2**30, 1),
            "python": platform.python_version(),
        }
    }
    result["decisions"] = _print_results("decision", list(measure_all()))
    result["memory"] = _print_results("memory", list(measure_memory()))
    result["paths"] = _print_results("path", _measure_paths())
    with ProcessPoolExecutor(PARALLEL_RUNS) as executor:
        policies = list(executor.map(run_experiment, list_experiments()))
    result["policies"] = _print_results("policy", policies)
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps(result, indent=1) + "\n", "utf-8")
    print(f"results are in bench/results/{RESULT_FILE.name}")


def _measure_paths() -> list[Any]:
    results: list[Any] = []
    for workers in WORKER_COUNTS:
        with PathBenchmark(workers) as benchmark:
            results.append(benchmark.measure_idle())
            for client_count in CLIENT_COUNTS:
                for idempotent in (True, False):
                    results.append(benchmark.measure_load(client_count, idempotent))
    return results


def _print_results(kind: str, results: list[Any]) -> Any:
    """Print one result per line as JSON; return the results as plain values."""
    plain_results = cattrs.unstructure(results)
    for result in plain_results:
        print(kind, json.dumps(result), flush=True)
    return plain_results


if __name__ == "__main__":
    main()
