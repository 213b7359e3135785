"""The command that tells a job's story."""

from __future__ import annotations

import sys
from typing import TextIO

import click

from fuchsiadale.cell.explain import collect_job_events
from fuchsiadale.cli.exits import ExitCode
from fuchsiadale.cli.output import fail


@click.command()
@click.argument("job_id")
@click.argument("logs", nargs=-1, type=click.File("r"))
def explain(job_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print what happened to JOB_ID, from the LOGS of a cell's processes.

    Reads standard input if no log is named.
    """
    lines = [line for log in logs or (sys.stdin,) for line in log]
    story = collect_job_events(job_id, lines)
    if not story:
        fail(f"no line names job {job_id}", ExitCode.REFUSED)
    for line in story:
        click.echo(str(line))
