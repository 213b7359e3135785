"""Configurations that the operator writes to the store."""

from __future__ import annotations

from base64 import b64encode

import orjson

from tests.soak.nodes import API_KEY, ROUTE_HOST, ROUTE_PREFIX
from tests.soak.store import StoreStandIn
from tests.soak.workers import CAPACITY_CPU_MILLIS


async def write_configuration(store: StoreStandIn, version: int) -> None:
    """Write a version of the configuration; each second one has a further queue."""
    queue_names = ("jobs", "more-jobs") if version % 2 == 0 else ("jobs",)
    document = {
        "version": version,
        "routes": [_make_route(name) for name in queue_names],
        "tenants": [
            {
                "name": "workspace",
                "api_keys": [API_KEY],
                "weight": 100,
                "maximum": {"cpu": 3 * CAPACITY_CPU_MILLIS},
            }
        ],
    }
    await store.write_row("op", "config", b64encode(orjson.dumps(document)).decode())


def _make_route(name: str) -> dict[str, object]:
    return {
        "name": name,
        "host": ROUTE_HOST,
        "path_prefix": ROUTE_PREFIX if name == "jobs" else f"/{name}/",
        "service": "pool",
        "priority": 0,
        "max_attempts": 5,
        "stretch": 2.0,
        "target_latency_ms": 500,
    }
