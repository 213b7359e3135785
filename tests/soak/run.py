"""Plays one seed of the soak, or many from the command line."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from base64 import b64encode
from pathlib import Path
from random import Random

import click
import orjson
from aiohttp import web
from attrs import frozen

from tests.soak.callers import HOST, KEY, PREFIX, Callers
from tests.soak.faults import ALL_KINDS, Faults, Surroundings
from tests.soak.nodes import Node
from tests.soak.observer import Observer
from tests.soak.proxy import Proxy
from tests.soak.store import StoreStandIn
from tests.soak.workers import CAPACITY_MILLIS, Worker, register

NODES, WORKERS = 3, 4
JOBS_PER_S = 3.0
FAULTS_S = 20.0
START_S = 2.0
"""Seconds that the processes are given to start."""

CALM_S = 1.0
"""Seconds of traffic before the first fault."""

ASK_S = 0.5
"""Seconds between two rounds of questions for jobs that have not ended."""

SETTLE_S = 60.0
"""Seconds after the last fault in which every accepted job has to end."""

FINAL = frozenset({"completed", "failed", "cancelled"})
HOST_IP = "127.0.0.1"


@frozen
class Verdict:
    """What one seed showed."""

    seed: int
    problems: tuple[str, ...]
    accepted: int
    starts: int
    cut: tuple[str, ...]


async def play(
    seed: int,
    folder: Path,
    seconds: float = FAULTS_S,
    kinds: tuple[str, ...] = ALL_KINDS,
) -> Verdict:
    """Play one seed over real processes and return what broke a promise."""
    random = Random(seed)
    # Runs side by side must not share addresses.
    pid = os.getpid()
    network = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}"
    observer = Observer()
    store = StoreStandIn(Random(seed + 1))
    servers: list[web.ServerRunner] = []
    store_port = await _serve(store.answer, servers)
    await _configure(store)
    around = Surroundings([], store, [], [], [], [])
    background = []
    for index in range(WORKERS):
        worker = Worker(f"worker-{index}", observer, Random(seed + 10 + index))
        worker.be_born()
        proxy = Proxy(HOST_IP, await _serve(worker.answer, servers))
        address = f"{HOST_IP}:{await proxy.start()}"
        around.workers.append(worker)
        around.worker_proxies.append(proxy)
        around.worker_addresses.append(address)
        background.append(asyncio.create_task(worker.keep_leases()))
        await register(store, worker, address)
    for index in range(NODES):
        proxy = Proxy(HOST_IP, store_port)
        around.store_proxies.append(proxy)
        address = f"{HOST_IP}:{await proxy.start()}"
        ip = f"{network}.{1 + index}"
        node = Node(f"node-{index}", ip, address, folder)
        node.start()
        around.nodes.append(node)
    try:
        callers = Callers(around.nodes, observer, Random(seed + 2))
        faults = Faults(around, random, kinds)
        await _drive(faults, callers, folder, seconds)
    finally:
        for node in around.nodes:
            node.end()
        for task in background:
            task.cancel()
        for proxy in around.store_proxies + around.worker_proxies:
            await proxy.stop()
        for server in servers:
            await server.cleanup()
    return Verdict(
        seed,
        tuple(observer.problems),
        len(callers.accepted),
        observer.starts,
        tuple(callers.cut),
    )


async def _drive(
    faults: Faults, callers: Callers, folder: Path, seconds: float
) -> None:
    stop = asyncio.Event()
    await asyncio.sleep(START_S)
    submitting = asyncio.create_task(callers.submit_until(stop, JOBS_PER_S))
    await asyncio.sleep(CALM_S)
    with (folder / "faults.log").open("a") as file:
        loop = asyncio.get_running_loop()

        def log(line: str) -> None:
            file.write(f"{loop.time():.3f} {line}\n")
            file.flush()

        await faults.run(seconds, log)
    stop.set()
    await submitting
    await _await_ends(callers)
    callers.observer.check_refused()


async def _await_ends(callers: Callers) -> None:
    """Wait until every accepted job has ended; report those that do not."""
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + SETTLE_S
    open_jobs = set(callers.accepted)
    while open_jobs and loop.time() < give_up_s:
        for job in list(open_jobs):
            state = await callers.ask(job)
            if state is not None:
                callers.observer.note_state(job, state)
            if state in FINAL:
                open_jobs.discard(job)
                _check_final(callers, job, state)
        await asyncio.sleep(ASK_S)
    for job in sorted(open_jobs):
        callers.observer.problems.append(f"{job} was accepted and has not ended")


def _check_final(callers: Callers, job: str, state: str | None) -> None:
    if state == "cancelled" and callers.accepted[job] == "accepted":
        callers.observer.problems.append(f"{job} was told as cancelled and was not")


async def _configure(store: StoreStandIn) -> None:
    document = {
        "version": 1,
        "routes": [
            {
                "name": "jobs",
                "host": HOST,
                "path_prefix": PREFIX,
                "service": "pool",
                "priority": 0,
                "max_attempts": 5,
                "stretch": 2.0,
                "target_latency_ms": 500,
            }
        ],
        "tenants": [
            {
                "name": "workspace",
                "api_keys": [KEY],
                "weight": 100,
                "maximum": {"cpu": 3 * CAPACITY_MILLIS},
            }
        ],
    }
    await store.put("op", "config", b64encode(orjson.dumps(document)).decode())


async def _serve(answer: object, servers: list[web.ServerRunner]) -> int:
    runner = web.ServerRunner(web.Server(answer, access_log=None))  # type: ignore[arg-type]
    await runner.setup()
    site = web.TCPSite(runner, HOST_IP, 0)
    await site.start()
    servers.append(runner)
    return int(runner.addresses[0][1])


@click.command()
@click.option("--first", default=1, help="The first seed.")
@click.option("--count", default=1, help="How many seeds.")
@click.option("--seconds", default=FAULTS_S, help="Seconds of faults a seed.")
@click.option("--folder", type=click.Path(path_type=Path), help="Takes the logs.")
def main(first: int, count: int, seconds: float, folder: Path | None) -> None:
    """Play seeds; exit with 1 if any of them broke a promise."""
    root = folder or Path(tempfile.mkdtemp(prefix="soak-"))
    is_broken = False
    for seed in range(first, first + count):
        place = root / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(play(seed, place, seconds))
        is_broken = is_broken or bool(verdict.problems)
        click.echo(
            f"seed {seed}: {verdict.accepted} jobs, {verdict.starts} starts, "
            f"{len(verdict.problems)} problems; logs in {place}"
        )
        for problem in verdict.problems[:10]:
            click.echo(f"  {problem}")
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
