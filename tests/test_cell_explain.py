"""Tests that the log explains a failed, a late and a preempted job, given its id."""

from __future__ import annotations

import orjson
import pytest
from click.testing import CliRunner

from fuchsiadale.cell.explain import collect_job_events
from fuchsiadale.cli.main import main
from fuchsiadale.decision.workflow.decisions import Decision
from fuchsiadale.decision.workflow.messages import EndKind
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_configuration,
    make_queue,
    make_record,
)

JOB = make_record().job_id


def make_log_lines(decisions: list[Decision], start_s: float = 10.0) -> list[str]:
    """Return the log lines of decisions, with timestamps one millisecond apart."""
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


def collect_event_names(cell: Cell) -> list[str]:
    decisions, _ = cell.scheduler.decisions.pop_all()
    return [line.event for line in collect_job_events(JOB, make_log_lines(decisions))]


def test_history_of_failed_job_contains_the_end_of_each_run():
    cell = Cell(2, make_configuration(make_queue(max_attempts=2)))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    for _ in range(2):
        cell.plan_and_execute()
        cell.end_all_runs(EndKind.FAILED)
    history = collect_event_names(cell)
    assert history.count("run_ended") == 2
    assert history[-1] == "job_ended"


def test_history_of_late_job_contains_the_loss_of_its_worker():
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
    history = collect_event_names(cell)
    assert history.index("worker_silent") < history.index("lease_lapsed")
    assert history.count("task_placed") == 2


def test_history_tells_why_a_run_vanished():
    reasons = {}
    for event in ("absent", "worker_restarted", "worker_replaced", "lease_lapsed"):
        cell = Cell(1)
        cell.adopt_workers()
        cell.scheduler.accept(make_record(), 0.0)
        cell.plan_and_execute()
        cell.clock.advance(0.5)
        cell.running["worker-0"].clear()
        if event == "worker_replaced":
            cell.scheduler.mark_worker_replaced("worker-0")
        elif event == "lease_lapsed":
            cell.scheduler.mark_worker_unresponsive("worker-0", "disconnected")
            cell.clock.advance(10.0)
            cell.scheduler.check_timeouts()
        else:
            is_restarted = event == "worker_restarted"
            cell.poll("worker-0", STARTED_MS + 500 if is_restarted else STARTED_MS)
        decisions, _ = cell.scheduler.decisions.pop_all()
        history = collect_job_events(JOB, make_log_lines(decisions))
        reasons[event] = history[-1].fields["reason"]
    assert reasons == {event: event for event in reasons}


def test_history_of_a_run_on_a_crashed_worker_contains_how_old_its_runs_were():
    cell = Cell(1)
    cell.adopt_workers()
    for number in range(2):
        cell.scheduler.accept(make_record(number), 0.0)
        cell.plan_and_execute()
        cell.clock.advance(0.25)
    cell.scheduler.mark_worker_unresponsive("worker-0", "disconnected")
    cell.clock.advance(2.0)
    cell.running["worker-0"].clear()
    cell.poll("worker-0", STARTED_MS + 2000)
    decisions, _ = cell.scheduler.decisions.pop_all()
    history = collect_job_events(JOB, make_log_lines(decisions))
    silent, restarted = (
        next(line.fields for line in history if line.event == event)
        for event in ("worker_silent", "worker_restarted")
    )
    assert silent["failure"] == "disconnected"
    assert silent["run_ages_ms"] == [250, 500]
    assert silent["report_age_ms"] == 500
    assert restarted["run_ages_ms"] == [2251, 2501]
    assert restarted["report_age_ms"] == 2501
    assert restarted["started_ms"] == STARTED_MS + 2000


def test_history_of_preempted_run_contains_the_reason():
    cell = Cell(1, make_configuration(make_queue("urgent"), make_queue(priority=2)))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.scheduler.preempt(cell.scheduler.jobs[JOB].tasks()[0].runs[0])
    decisions, _ = cell.scheduler.decisions.pop_all()
    history = collect_job_events(JOB, make_log_lines(decisions))
    assert history[-1].fields["reason"] == "preempted"


def test_explain_command_prints_events_and_fails_for_unknown_job(tmp_path):
    log = tmp_path / "log"
    log.write_text(
        "\n".join(make_log_lines([Decision("job_accepted", JOB, {"queue": "q"})]))
    )
    result = CliRunner().invoke(main, ["explain", JOB, str(log)])
    assert result.exit_code == 0
    assert "job_accepted" in result.output
    missing = CliRunner().invoke(main, ["explain", "0" * 16 + "f", str(log)])
    assert missing.exit_code == 1


@pytest.mark.parametrize("how", ["running", "done"])
def test_history_does_not_tell_that_a_run_outlived_its_assumed_lease(how: str):
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.scheduler.mark_worker_unresponsive("worker-0", "no_answer")
    cell.clock.advance(10.0)
    cell.scheduler.check_timeouts()
    if how == "done":
        ((task, run),) = cell.running["worker-0"]
        cell.end_run("worker-0", task, run)
    cell.poll("worker-0")
    cell.poll("worker-0")
    decisions, _ = cell.scheduler.decisions.pop_all()
    history = collect_job_events(JOB, make_log_lines(decisions))
    listed = [line for line in history if line.event == "lapsed_run_listed"]
    assert [line.fields["how"] for line in listed] == [how]


def test_history_does_not_tell_why_a_restarted_worker_was_waited_for():
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    for _ in range(2):
        cell.scheduler.extend_misdated_lease("worker-0", cell.clock.now() + 10.5)
        cell.clock.advance(1.0)
    cell.scheduler.mark_worker_unresponsive("worker-0", "no_answer")
    cell.clock.advance(9.0)
    cell.scheduler.check_timeouts()
    assert cell.scheduler.workers["worker-0"].runs
    cell.clock.advance(1.0)
    cell.scheduler.check_timeouts()
    assert not cell.scheduler.workers["worker-0"].runs
    history = collect_event_names(cell)
    assert history.count("misdated_lease_assumed") == 1
    assert history[-2:] == ["lease_lapsed", "run_ended"]
