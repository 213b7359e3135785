"""Reads the operators' folder into a checked configuration."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from result import Err, Ok, Result

from fuchsiadale.config.documents import (
    Located,
    Location,
    Problem,
    SourceFile,
    merge,
    parse,
)
from fuchsiadale.config.model import (
    Configuration,
    PoolConfig,
    QueueConfig,
    TeamConfig,
)
from fuchsiadale.config.reader import Reader
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.resources import (
    MB_PER_GB,
    MILLIS_PER_CORE,
    UNLIMITED_AMOUNT,
    Resources,
)
from fuchsiadale.decision.work import WorkKind

MAX_SLICES = 64
MAX_SHARE = 1_000_000.0


def list_files(folder: Path) -> list[SourceFile]:
    """Return the YAML files of a folder in the order of their names."""
    paths = sorted(path for path in folder.iterdir() if path.suffix == ".yaml")
    return [SourceFile(path.name, path.read_text("utf-8")) for path in paths]


def read_configuration(
    files: Iterable[SourceFile],
) -> Result[Configuration, list[Problem]]:
    """Merge files in the order given and check the whole.

    Returns
    -------
    Result
        The configuration, or everything that is wrong with it.
    """
    documents: list[Located] = []
    problems: list[Problem] = []
    for source in files:
        parsed = parse(source)
        if isinstance(parsed, Err):
            problems.extend(parsed.err_value)
        else:
            documents.append(parsed.ok_value)
    if not documents and not problems:
        problems.append(Problem(Location("(folder)", 1), "", "has no .yaml file"))
    if problems:
        return Err(problems)
    top = Reader(merge(documents), problems)
    configuration = Configuration(
        teams={name: _team(reader) for name, reader in top.named_mappings("teams")},
        pools={name: _pool(reader) for name, reader in top.named_mappings("pools")},
        queues={
            name: _queue(reader, top) for name, reader in top.named_mappings("queues")
        },
    )
    top.finish()
    return Err(sorted(problems)) if problems else Ok(configuration)


def check_change(old: Configuration, new: Configuration) -> list[str]:
    """Return why a configuration may not follow another one."""
    messages: list[str] = []
    for name, pool in old.pools.items():
        changed = new.pools.get(name)
        if changed is not None and changed.slices != pool.slices:
            messages.append(
                f"pools.{name}.slices: is {pool.slices} for the life of the pool;"
                " make a new pool instead"
            )
    return messages


def _team(reader: Reader) -> TeamConfig:
    share = reader.number("share", 1.0, 0.001, MAX_SHARE)
    limit_reader = reader.mapping("limit")
    limit = TeamConfig().limit
    if limit_reader is not None:
        limit = _limit(limit_reader)
    reader.finish()
    return TeamConfig(share, limit)


def _limit(reader: Reader) -> Resources:
    most = float(UNLIMITED_AMOUNT)
    cores = reader.number("cores", most, 0.0, most)
    memory_gb = reader.number("memory_gb", most, 0.0, most)
    limit = Resources(
        cpu_millis=min(int(cores * MILLIS_PER_CORE), UNLIMITED_AMOUNT),
        memory_mb=min(int(memory_gb * MB_PER_GB), UNLIMITED_AMOUNT),
        accelerators=reader.integer(
            "accelerators", UNLIMITED_AMOUNT, 0, UNLIMITED_AMOUNT
        ),
        slots=reader.integer("tasks", UNLIMITED_AMOUNT, 0, UNLIMITED_AMOUNT),
        connections=UNLIMITED_AMOUNT,
    )
    reader.finish()
    return limit


def _pool(reader: Reader) -> PoolConfig:
    order = OrderWeights()
    order_reader = reader.mapping("order")
    if order_reader is not None:
        order = OrderWeights(
            share=order_reader.number("share", 1.0, 0.0, 1000.0),
            waiting=order_reader.number("waiting", 0.0, 0.0, 1000.0),
        )
        if order == OrderWeights(0.0, 0.0):
            order_reader.complain("one of share and waiting must be above 0")
        order_reader.finish()
    pool = PoolConfig(
        slices=reader.integer("slices", 1, 1, MAX_SLICES),
        order=order,
        fencing=reader.boolean("fencing", True),
    )
    reader.finish()
    return pool


def _queue(reader: Reader, top: Reader) -> QueueConfig:
    kinds: list[WorkKind] = []
    for text in reader.texts("kinds"):
        try:
            kinds.append(WorkKind(text))
        except ValueError:
            known = ", ".join(kind.value for kind in WorkKind)
            reader.complain(f"{text!r} is not a kind; known are {known}", "kinds")
    queue = QueueConfig(
        pool=reader.text("pool"),
        open=reader.boolean("open", False),
        teams=tuple(reader.texts("teams")),
        kinds=tuple(kinds) or tuple(WorkKind),
        urgent=reader.boolean("urgent", True),
    )
    if queue.pool and queue.pool not in _names(top, "pools"):
        reader.complain(f"there is no pool {queue.pool!r}", "pool")
    teams = _names(top, "teams")
    for team in queue.teams:
        if team not in teams:
            reader.complain(f"there is no team {team!r}", "teams")
    reader.finish()
    return queue


def _names(top: Reader, name: str) -> set[str]:
    node = (top.node.fields or {}).get(name)
    if node is None or node.fields is None:
        return set()
    return set(node.fields)
