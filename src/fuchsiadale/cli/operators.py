"""Commands for operators."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from urllib.parse import quote

import click
from result import Err

from fuchsiadale.cli.client import EntryClient
from fuchsiadale.cli.exits import ExitCode
from fuchsiadale.cli.output import (
    OUTPUT_OPTION,
    exit_with_error,
    get_body_or_exit,
    print_json,
    print_table,
)
from fuchsiadale.config.folder import read_configuration, read_yaml_files

ENTRY_OPTION = click.option(
    "--entry",
    "url",
    envvar="FUCHSIADALE_ENTRY",
    default="http://127.0.0.1:8800",
    show_default=True,
    help="Base URL of an entry.",
)
ADMIN_KEY_OPTION = click.option(
    "--admin-key",
    "key",
    envvar="FUCHSIADALE_ADMIN_KEY",
    default="",
    help="Key of the operator.",
)
FOLDER_ARGUMENT = click.argument(
    "folder", type=click.Path(exists=True, file_okay=False, path_type=Path)
)


@click.group()
def config() -> None:
    """Validate, apply and show the configuration."""


@config.command("check")
@FOLDER_ARGUMENT
def check_config(folder: Path) -> None:
    """Validate the YAML files of FOLDER, merged in the order of their names."""
    checked = read_configuration(read_yaml_files(folder))
    if isinstance(checked, Err):
        lines = [str(problem) for problem in checked.err_value]
        exit_with_error("\n".join(lines), ExitCode.INVALID)
    configuration = checked.ok_value
    click.echo(
        f"ok: {len(configuration.teams)} teams, {len(configuration.pools)} pools,"
        f" {len(configuration.queues)} queues"
    )


@config.command("apply")
@FOLDER_ARGUMENT
@click.option(
    "--base-version",
    type=int,
    help="Refuse the change unless this configuration version is in force.",
)
@ENTRY_OPTION
@ADMIN_KEY_OPTION
def apply_config(folder: Path, base_version: int | None, url: str, key: str) -> None:
    """Apply the YAML files of FOLDER as the configuration."""
    body: dict[str, Any] = {
        "files": {source.name: source.text for source in read_yaml_files(folder)}
    }
    if base_version is not None:
        body["base_version"] = base_version
    reply = EntryClient(url, key).call("PUT", "/admin/v1/config", body)
    click.echo(
        f"configuration version {get_body_or_exit(reply)['version']} is in force"
    )


@config.command("show")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
@OUTPUT_OPTION
def show_config(url: str, key: str, output: str) -> None:
    """Show the configuration in force."""
    body = get_body_or_exit(EntryClient(url, key).call("GET", "/admin/v1/config"))
    if output == "json":
        print_json(body)
        return
    configuration = body["configuration"]
    click.echo(
        f"configuration version {body['version']}, last confirmed {body['age_s']} s ago"
    )
    rows = [
        [name, team["share"], _format_amounts(team["limit"])]
        for name, team in configuration["teams"].items()
    ]
    print_table(["team", "share", "limit"], rows)
    click.echo()
    rows = [
        [name, queue["pool"], "yes" if queue["open"] else "no", _format_kinds(queue)]
        for name, queue in configuration["queues"].items()
    ]
    print_table(["queue", "pool", "open", "kinds"], rows)


@click.group("key")
def keys() -> None:
    """Create and withdraw keys of teams."""


@keys.command("create")
@click.argument("team")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
@OUTPUT_OPTION
def create_key(team: str, url: str, key: str, output: str) -> None:
    """Create a key for TEAM and print it; it cannot be shown again."""
    body = get_body_or_exit(
        EntryClient(url, key).call("POST", "/admin/v1/keys", {"team": team})
    )
    if output == "json":
        print_json(body)
        return
    click.echo(body["key"])
    click.echo(f"key id {body['key_id']}; the key cannot be shown again", err=True)


@keys.command("withdraw")
@click.argument("key_id")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
def withdraw_key(key_id: str, url: str, key: str) -> None:
    """Withdraw the key with id KEY_ID, so that it is no longer valid."""
    reply = EntryClient(url, key).call("DELETE", f"/admin/v1/keys/{key_id}")
    click.echo(
        f"key withdrawn in configuration version {get_body_or_exit(reply)['version']}"
    )


@click.group()
def team() -> None:
    """Show teams."""


@team.command("show")
@click.argument("name")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
@OUTPUT_OPTION
def show_team(name: str, url: str, key: str, output: str) -> None:
    """Show the share, limit, granted resources and usage of the team NAME."""
    body = get_body_or_exit(
        EntryClient(url, key).call("GET", f"/admin/v1/teams/{name}")
    )
    if output == "json":
        print_json(body)
        return
    rows = [
        [kind, _format_amounts(body[kind])] for kind in ("limit", "granted", "used")
    ]
    click.echo(f"team {name}, share {body['share']:g}")
    print_table(["", "amounts"], rows)


@click.group()
def partition() -> None:
    """List partitions."""


@partition.command("list")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
@OUTPUT_OPTION
def list_partitions(url: str, key: str, output: str) -> None:
    """List the partitions with their owners and load."""
    body = get_body_or_exit(EntryClient(url, key).call("GET", "/admin/v1/partitions"))
    if output == "json":
        print_json(body)
        return
    columns = ["partition", "owner", "epoch", "may_act", "pending", "workers"]
    rows = [[row.get(name) for name in columns] for row in body["partitions"]]
    print_table(columns, rows)


@click.group()
def domain() -> None:
    """Keep failure domains free of new tasks."""


@domain.command("drain")
@click.argument("name")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
def drain_domain(name: str, url: str, key: str) -> None:
    """Let no task start in the failure domain NAME; running tasks are left to end."""
    _change_drained_domains("PUT", name, url, key)


@domain.command("restore")
@click.argument("name")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
def restore_domain(name: str, url: str, key: str) -> None:
    """Let tasks start in the drained failure domain NAME again."""
    _change_drained_domains("DELETE", name, url, key)


@click.group()
def worker() -> None:
    """List workers."""


@worker.command("list")
@ENTRY_OPTION
@ADMIN_KEY_OPTION
@OUTPUT_OPTION
def list_workers(url: str, key: str, output: str) -> None:
    """List the workers with their state and free resources."""
    body = get_body_or_exit(EntryClient(url, key).call("GET", "/admin/v1/workers"))
    if output == "json":
        print_json(body)
        return
    rows = [
        [
            row["worker"],
            row["partition"],
            row["failure_domain"],
            "drained" if row["is_drained"] else row["state"],
            _format_amounts(row["free"]),
            len(row["attempts"]),
        ]
        for row in body["workers"]
    ]
    columns = ["worker", "partition", "failure_domain", "state", "free", "attempts"]
    print_table(columns, rows)


def _change_drained_domains(method: str, name: str, url: str, key: str) -> None:
    path = f"/admin/v1/drained-domains/{quote(name, safe='')}"
    body = get_body_or_exit(EntryClient(url, key).call(method, path))
    drained = ", ".join(body["drained_domains"]) or "none"
    click.echo(
        f"drained failure domains in configuration version {body['version']}: {drained}"
    )


def _format_amounts(amounts: dict[str, float] | None) -> str:
    if amounts is None:
        return "unlimited"
    return ", ".join(f"{value:g} {name}" for name, value in amounts.items())


def _format_kinds(queue: dict[str, Any]) -> str:
    return ", ".join(queue["kinds"])
