"""Runs every benchmark and writes one JSON file."""

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
from bench.paths import CALLERS, WORKER_COUNTS, PathBench
from bench.policies import list_experiments, run_experiment

RESULT = Path(__file__).resolve().parent / "results" / "latest.json"
PARALLEL_RUNS = 4


def main() -> None:
    """Measure decisions, memory, the whole path and the policies, in that order."""
    result: dict[str, Any] = {
        "machine": {
            "cores": os.cpu_count(),
            "memory_gb": round(psutil.virtual_memory().total / 2**30, 1),
            "python": platform.python_version(),
        }
    }
    result["decisions"] = _shown("decision", list(measure_all()))
    result["memory"] = _shown("memory", list(measure_memory()))
    result["paths"] = _shown("path", _measure_paths())
    with ProcessPoolExecutor(PARALLEL_RUNS) as executor:
        policies = list(executor.map(run_experiment, list_experiments()))
    result["policies"] = _shown("policy", policies)
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=1) + "\n", "utf-8")
    print(f"written: bench/results/{RESULT.name}")


def _measure_paths() -> list[Any]:
    results: list[Any] = []
    for workers in WORKER_COUNTS:
        with PathBench(workers) as bench:
            results.append(bench.measure_idle())
            for callers in CALLERS:
                for idempotent in (True, False):
                    results.append(bench.measure_load(callers, idempotent))
    return results


def _shown(kind: str, results: list[Any]) -> Any:
    """Print results one a line and return them as plain values."""
    plain = cattrs.unstructure(results)
    for each in plain:
        print(kind, json.dumps(each), flush=True)
    return plain


if __name__ == "__main__":
    main()
