"""Reads the configuration from a folder of YAML files and validates it."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from result import Err, Ok, Result

from fuchsiadale.config.documents import (
    DocumentNode,
    Location,
    Problem,
    SourceFile,
    merge_documents,
    parse_yaml,
)
from fuchsiadale.config.model import (
    Configuration,
    PoolConfig,
    QueueConfig,
    TeamConfig,
)
from fuchsiadale.config.reader import MappingReader
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.resources import (
    MB_PER_GB,
    MILLIS_PER_CORE,
    UNLIMITED_AMOUNT,
    Resources,
)
from fuchsiadale.decision.work import WorkKind

MAX_SLICES = 64
"""Largest number of slices, which are the partitions of a pool."""

MAX_SHARE = 1_000_000.0
"""Largest share of a team."""

MAX_HALF_LIFE_S = 30 * 86_400.0
"""Longest half-life of past use, in seconds."""


def read_yaml_files(folder: Path) -> list[SourceFile]:
    """Return the contents of a folder's YAML files, sorted by file name."""
    paths = sorted(path for path in folder.iterdir() if path.suffix == ".yaml")
    return [SourceFile(path.name, path.read_text("utf-8")) for path in paths]


def read_configuration(
    files: Iterable[SourceFile],
) -> Result[Configuration, list[Problem]]:
    """Merge YAML files in the order given and validate the merged configuration.

    Parameters
    ----------
    files : iterable of SourceFile
        The files; values in a later file replace those of earlier files.

    Returns
    -------
    Result
        The configuration, or all problems found.
    """
    documents: list[DocumentNode] = []
    problems: list[Problem] = []
    for source in files:
        parsed = parse_yaml(source)
        if isinstance(parsed, Err):
            problems.extend(parsed.err_value)
        else:
            documents.append(parsed.ok_value)
    if not documents and not problems:
        problems.append(Problem(Location("(folder)", 1), "", "has no .yaml file"))
    if problems:
        return Err(problems)
    root_reader = MappingReader(merge_documents(documents), problems)
    configuration = Configuration(
        teams={
            name: _read_team(reader)
            for name, reader in root_reader.read_named_mappings("teams")
        },
        pools={
            name: _read_pool(reader)
            for name, reader in root_reader.read_named_mappings("pools")
        },
        queues={
            name: _read_queue(reader, root_reader)
            for name, reader in root_reader.read_named_mappings("queues")
        },
    )
    root_reader.report_unknown_fields()
    return Err(sorted(problems)) if problems else Ok(configuration)


def find_forbidden_changes(old: Configuration, new: Configuration) -> list[str]:
    """Return a message for each change that operators may not make.

    The only such change is that of an existing pool's number of slices.
    """
    messages: list[str] = []
    for name, pool in old.pools.items():
        new_pool = new.pools.get(name)
        if new_pool is not None and new_pool.slices != pool.slices:
            messages.append(
                f"pools.{name}.slices: must stay {pool.slices}, since the number of"
                " slices of a pool cannot change; create a new pool instead"
            )
    return messages


def _read_team(reader: MappingReader) -> TeamConfig:
    share = reader.read_number("share", 1.0, 0.001, MAX_SHARE)
    limit_reader = reader.read_mapping("limit")
    limit = TeamConfig().limit
    if limit_reader is not None:
        limit = _read_limit(limit_reader)
    reader.report_unknown_fields()
    return TeamConfig(share, limit)


def _read_limit(reader: MappingReader) -> Resources:
    maximum = float(UNLIMITED_AMOUNT)
    cores = reader.read_number("cores", maximum, 0.0, maximum)
    memory_gb = reader.read_number("memory_gb", maximum, 0.0, maximum)
    limit = Resources(
        cpu_millis=min(int(cores * MILLIS_PER_CORE), UNLIMITED_AMOUNT),
        memory_mb=min(int(memory_gb * MB_PER_GB), UNLIMITED_AMOUNT),
        accelerators=reader.read_integer(
            "accelerators", UNLIMITED_AMOUNT, 0, UNLIMITED_AMOUNT
        ),
        slots=reader.read_integer("tasks", UNLIMITED_AMOUNT, 0, UNLIMITED_AMOUNT),
        connections=UNLIMITED_AMOUNT,
    )
    reader.report_unknown_fields()
    return limit


def _read_pool(reader: MappingReader) -> PoolConfig:
    order = OrderWeights()
    order_reader = reader.read_mapping("order")
    if order_reader is not None:
        order = OrderWeights(
            share=order_reader.read_number("share", 1.0, 0.0, 1000.0),
            waiting=order_reader.read_number("waiting", 0.0, 0.0, 1000.0),
            past_use=order_reader.read_number("past_use", 0.0, 0.0, 1000.0),
            half_life_s=order_reader.read_number(
                "half_life_s", 0.0, 0.0, MAX_HALF_LIFE_S
            ),
        )
        if order.share == order.waiting == 0.0:
            order_reader.add_problem("one of share and waiting must be above 0")
        if bool(order.past_use) != bool(order.half_life_s):
            order_reader.add_problem("past_use and half_life_s go together")
        if order.past_use and not order.waiting:
            # The weight of waiting bounds how long past use can hold a team back.
            order_reader.add_problem("past_use needs a weight of waiting above 0")
        order_reader.report_unknown_fields()
    pool = PoolConfig(
        slices=reader.read_integer("slices", 1, 1, MAX_SLICES),
        order=order,
        fencing=reader.read_boolean("fencing", True),
    )
    reader.report_unknown_fields()
    return pool


def _read_queue(reader: MappingReader, root_reader: MappingReader) -> QueueConfig:
    kinds: list[WorkKind] = []
    for text in reader.read_text_list("kinds"):
        try:
            kinds.append(WorkKind(text))
        except ValueError:
            known = ", ".join(kind.value for kind in WorkKind)
            reader.add_problem(f"{text!r} is not a kind; known are {known}", "kinds")
    queue = QueueConfig(
        pool=reader.read_text("pool"),
        open=reader.read_boolean("open", False),
        teams=tuple(reader.read_text_list("teams")),
        kinds=tuple(kinds) or tuple(WorkKind),
        urgent=reader.read_boolean("urgent", True),
    )
    if queue.pool and queue.pool not in _get_field_names(root_reader, "pools"):
        reader.add_problem(f"there is no pool {queue.pool!r}", "pool")
    teams = _get_field_names(root_reader, "teams")
    for team in queue.teams:
        if team not in teams:
            reader.add_problem(f"there is no team {team!r}", "teams")
    reader.report_unknown_fields()
    return queue


def _get_field_names(root_reader: MappingReader, name: str) -> set[str]:
    node = (root_reader.node.fields or {}).get(name)
    if node is None or node.fields is None:
        return set()
    return set(node.fields)
