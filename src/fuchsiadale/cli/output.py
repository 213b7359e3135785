"""Output of commands: results on stdout, messages on stderr."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import click

from fuchsiadale.cli.client import Reply
from fuchsiadale.cli.exits import ExitCode

OUTPUT_OPTION = click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Format of the printed result.",
)


def print_json(value: Any) -> None:
    """Print a result as JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as a table with aligned columns."""
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max([len(name), *(len(row[index]) for row in texts)])
        for index, name in enumerate(columns)
    ]
    for line in [list(columns), *texts]:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def exit_with_error(message: str, code: ExitCode) -> NoReturn:
    """Print a message on stderr and exit with a code."""
    click.echo(message, err=True)
    sys.exit(code)


def get_body_or_exit(reply: Reply) -> Any:
    """Return the body of a successful reply, or print the error and exit."""
    if reply.is_ok:
        return reply.body
    if reply.status == 0:
        exit_with_error(str(reply.body), ExitCode.UNREACHABLE)
    body = reply.body if isinstance(reply.body, dict) else {}
    kind = body.get("error", f"status {reply.status}")
    message = body.get("message", "")
    code = ExitCode.INVALID if kind == "config_invalid" else ExitCode.REFUSED
    exit_with_error(f"{kind}: {message}", code)


def _format_cell(cell: Any) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, float):
        return f"{cell:g}"
    return str(cell)
