"""The soak's checks, and short seeded runs of it over real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.soak.observer import CANCEL_S, Observer, TaskTerms
from tests.soak.run import play

JOB = "0" * 16
FIRST, SECOND = f"{JOB}.0.0.0", f"{JOB}.0.1.0"
ROOM = 4000

SHORT_S = 8.0
"""Seconds of faults of a short run; by hand it is 20."""


@pytest.fixture
def observer() -> Observer:
    terms = {FIRST: TaskTerms(3000, ()), SECOND: TaskTerms(1000, (FIRST,))}
    return Observer(terms)


def test_sound_course_of_a_job_is_no_problem(observer: Observer) -> None:
    observer.note_start(FIRST, "a", 0, ROOM, 1.0)
    observer.note_end(FIRST, "a", True)
    observer.note_start(SECOND, "b", 0, ROOM, 2.0)
    observer.note_end(SECOND, "b", True)
    observer.note_state(JOB, "completed")
    observer.check_refused()
    assert observer.problems == []


def test_task_in_two_places_is_found(observer: Observer) -> None:
    observer.note_start(FIRST, "a", 0, ROOM, 1.0)
    observer.note_start(FIRST, "b", 0, ROOM, 1.0)
    assert len(observer.problems) == 1


def test_start_after_an_acknowledged_end_is_found(observer: Observer) -> None:
    observer.acknowledged.add(FIRST)
    observer.note_start(FIRST, "a", 0, ROOM, 1.0)
    assert len(observer.problems) == 1


def test_overfilled_worker_is_found(observer: Observer) -> None:
    observer.note_start(FIRST, "a", 2000, ROOM, 1.0)
    assert len(observer.problems) == 1


def test_start_before_its_predecessors_is_found(observer: Observer) -> None:
    observer.note_start(SECOND, "a", 0, ROOM, 1.0)
    assert len(observer.problems) == 1


def test_start_long_after_a_cancel_is_found(observer: Observer) -> None:
    observer.cancelled_s[JOB] = 1.0
    observer.note_start(FIRST, "a", 0, ROOM, 1.0 + CANCEL_S + 0.1)
    assert len(observer.problems) == 1


def test_unasked_start_refused_job_and_false_completion_are_found(
    observer: Observer,
) -> None:
    observer.note_start("f" * 16 + ".0.0.0", "a", 0, ROOM, 1.0)
    observer.note_state(JOB, "completed")
    observer.note_start(FIRST, "a", 0, ROOM, 1.0)
    observer.refused_jobs.add(JOB)
    observer.check_refused()
    assert len(observer.problems) == 3


@pytest.mark.processes
def test_short_soak_breaks_no_promise(tmp_path: Path) -> None:
    verdict = asyncio.run(play(7, tmp_path, SHORT_S))
    assert verdict.problems == ()
    assert verdict.starts > 0


@pytest.mark.processes
def test_planned_stops_in_series_cut_no_call(tmp_path: Path) -> None:
    verdict = asyncio.run(play(501, tmp_path, SHORT_S, ("stop_node",)))
    assert verdict.problems == ()
    assert verdict.cut == ()
