"""Three failed requests are explained from the log by the id alone."""

from __future__ import annotations

import orjson
from click.testing import CliRunner

from fuchsiadale.cell.explain import collect_job_events
from fuchsiadale.cli.main import main
from fuchsiadale.decision.workflow.decisions import Decision
from fuchsiadale.decision.workflow.messages import EndKind
from tests.workflow_builders import Cell, make_configuration, make_queue, make_record

JOB = make_record().job_id


def lines_of(decisions: list[Decision], start_s: float = 10.0) -> list[str]:
    """Return the log lines of decisions, a millisecond apart."""
    return [
        orjson.dumps(
            {
                "message_type": decision.kind,
                "node": "node",
                "time_s": start_s + index / 1000,
                "job": decision.job_id,
                **decision.inputs,
            }
        ).decode()
        for index, decision in enumerate(decisions)
    ]


def events(cell: Cell) -> list[str]:
    decisions, _ = cell.scheduler.decisions.pop_all()
    return [line.event for line in collect_job_events(JOB, lines_of(decisions))]


def test_job_that_failed_shows_each_failed_run_and_where():
    cell = Cell(2, make_configuration(make_queue(max_attempts=2)))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    for _ in range(2):
        cell.plan_and_execute()
        cell.end_all_runs(EndKind.FAILED)
    story = events(cell)
    assert story.count("run_ended") == 2
    assert story[-1] == "job_ended"


def test_job_that_was_late_shows_the_silence_of_its_worker():
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.clock.advance(10.0)
    cell.scheduler.check_timeouts()
    cell.running["worker-0"].clear()
    cell.poll("worker-0")
    cell.plan_and_execute()
    story = events(cell)
    assert story.index("worker_silent") < story.index("lease_lapsed")
    assert story.count("task_placed") == 2


def test_run_that_was_broken_off_shows_the_reason():
    cell = Cell(1, make_configuration(make_queue("urgent"), make_queue(priority=2)))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.scheduler.preempt(cell.scheduler.jobs[JOB].tasks()[0].runs[0])
    decisions, _ = cell.scheduler.decisions.pop_all()
    story = collect_job_events(JOB, lines_of(decisions))
    assert story[-1].fields["reason"] == "preempted"


def test_command_prints_the_story(tmp_path):
    log = tmp_path / "log"
    log.write_text("\n".join(lines_of([Decision("job_accepted", JOB, {"queue": "q"})])))
    result = CliRunner().invoke(main, ["explain", JOB, str(log)])
    assert result.exit_code == 0
    assert "job_accepted" in result.output
    missing = CliRunner().invoke(main, ["explain", "0" * 16 + "f", str(log)])
    assert missing.exit_code == 1
