"""Configurations that the operator writes to the store."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Sequence

import aiohttp
import orjson
from attrs import define

from tests.soak.nodes import API_KEY, ROUTE_HOST, ROUTE_PREFIX, Node
from tests.soak.store import StoreStandIn
from tests.soak.workers import CAPACITY_CPU_MILLIS

APPLY_BOUND_S = 2.0
"""Seconds from the confirmation of a configuration until it must be in force."""

TENANT_CPU_MILLIS = 3 * CAPACITY_CPU_MILLIS
"""Default CPU that the tenant may have running, in thousandths of a core."""

MAX_ATTEMPTS = 3
"""Failed runs of one task after which its job is reported as failed."""

CHECK_INTERVAL_S = 0.05
FURTHER_QUEUE = "more-jobs"
STALE_TEXT = "since the configuration was confirmed"


async def write_configuration(
    store: StoreStandIn, version: int, tenant_cpu_millis: int = TENANT_CPU_MILLIS
) -> None:
    """Write a version of the configuration; each second one has a further queue."""
    queue_names = ("jobs", FURTHER_QUEUE) if version % 2 == 0 else ("jobs",)
    value = encode_configuration(version, queue_names, tenant_cpu_millis)
    await store.write_row("op", "config", value)


def encode_configuration(
    version: int, queue_names: Sequence[str], tenant_cpu_millis: int
) -> str:
    """Return a configuration with the given queues as the content of its row."""
    document = {
        "version": version,
        "routes": [_make_route(name) for name in queue_names],
        "tenants": [
            {
                "name": "workspace",
                "api_keys": [API_KEY],
                "weight": 100,
                "maximum": {"cpu": tenant_cpu_millis},
            }
        ],
    }
    return b64encode(orjson.dumps(document)).decode()


def _make_route(name: str) -> dict[str, object]:
    return {
        "name": name,
        "host": ROUTE_HOST,
        "path_prefix": ROUTE_PREFIX if name == "jobs" else f"/{name}/",
        "service": "pool",
        "priority": 0,
        "max_attempts": MAX_ATTEMPTS,
        "stretch": 2.0,
        "target_latency_ms": 500,
    }


@define
class WrittenVersion:
    """When a version of the configuration was sent to the store and confirmed."""

    sent_s: float
    confirmed_s: float = float("inf")


def is_outdated(
    status: int, sent_s: float, answered_s: float, versions: Sequence[WrittenVersion]
) -> bool:
    """Return whether a call to the further queue was handled by an outdated version.

    Parameters
    ----------
    status : int
        HTTP status of the answer; one that denies or serves nothing is never outdated.
    sent_s, answered_s : float
        When the call was sent and answered.
    versions : sequence of WrittenVersion
        The versions that were written, from version 1 on.
    """
    if status not in (200, 404):
        return False
    oldest = sum(item.confirmed_s <= sent_s - APPLY_BOUND_S for item in versions)
    newest = sum(item.sent_s <= answered_s for item in versions)
    return not any(
        status == (200 if version % 2 == 0 else 404)
        for version in range(max(1, oldest), newest + 1)
    )


class ConfigurationChecker:
    """Calls the further queue at each node and looks for outdated answers.

    A node must not say either that its configuration is too old.

    Parameters
    ----------
    nodes : list of Node
        The nodes.
    versions : list of WrittenVersion
        The versions that were written; grows while the checker runs.
    in_touch_from_s : dict of str to float
        When a node must apply configurations in time again, by name.
    problems : list of str
        Receives a sentence on each outdated answer.
    """

    def __init__(
        self,
        nodes: list[Node],
        versions: list[WrittenVersion],
        in_touch_from_s: dict[str, float],
        problems: list[str],
    ) -> None:
        self._nodes = nodes
        self._versions = versions
        self._in_touch_from_s = in_touch_from_s
        self._problems = problems

    async def run(self) -> None:
        """Check until cancelled."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        headers = {"Host": ROUTE_HOST, "X-Fuchsiadale-Credential": API_KEY}
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            while True:
                await asyncio.gather(*(self._check(session, n) for n in self._nodes))
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, session: aiohttp.ClientSession, node: Node) -> None:
        sent_s = asyncio.get_running_loop().time()
        try:
            async with session.get(f"{node.url}/{FURTHER_QUEUE}/") as response:
                status, body = response.status, await response.text()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return
        answered_s = asyncio.get_running_loop().time()
        if sent_s < self._in_touch_from_s.get(node.name, 0.0):
            return
        if STALE_TEXT in body:
            self._problems.append(f"{node.name} at {sent_s:.3f}: {status} {body}")
        elif is_outdated(status, sent_s, answered_s, self._versions):
            self._problems.append(
                f"{node.name} answered {status} at {sent_s:.3f} by an outdated"
                f" configuration; version {len(self._versions)} is the newest"
            )
