"""Command that prints the history of a job."""

from __future__ import annotations

import sys
from typing import TextIO

import click

from fuchsiadale.cell.explain import collect_job_events
from fuchsiadale.cli.exits import ExitCode
from fuchsiadale.cli.output import exit_with_error


@click.command()
@click.argument("job_id")
@click.argument("logs", nargs=-1, type=click.File("r"))
def explain(job_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print the history of job JOB_ID from LOGS, log files of scheduler processes.

    Reads standard input if no log is given.
    """
    lines = [line for log in logs or (sys.stdin,) for line in log]
    history = collect_job_events(job_id, lines)
    if not history:
        exit_with_error(f"no log line names job {job_id}", ExitCode.REFUSED)
    for line in history:
        click.echo(str(line))
