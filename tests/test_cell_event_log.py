"""Tests that the event log limits its lines and never waits for a slow output."""

from __future__ import annotations

import os

import orjson

from fuchsiadale.cell.event_log import MAX_LINES_PER_S, MAX_QUEUED_LINES, EventLog


def make_message(number: int) -> dict[str, object]:
    return {"message_type": "kind", "job": str(number), "timestamp": 1.0}


def test_queued_message_is_written_as_a_json_line():
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log = EventLog("node", write_end)
    log.enqueue(make_message(1))
    log.flush()
    line = orjson.loads(os.read(read_end, 10_000))
    assert line == {"message_type": "kind", "job": "1", "node": "node", "time_s": 1.0}


def test_stalled_output_does_not_block_and_gets_only_whole_lines():
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log = EventLog("node", write_end)
    for _ in range(MAX_QUEUED_LINES // MAX_LINES_PER_S + 2):
        for number in range(MAX_LINES_PER_S + 10):
            log.enqueue(make_message(number))
        log.flush()
        log._start_next_second()
    assert log.queued_line_count <= MAX_QUEUED_LINES
    written = b""
    os.set_blocking(read_end, False)
    while log.queued_line_count or log._unwritten:
        log.flush()
        written += os.read(read_end, 1 << 20)
    for line in written.splitlines():
        orjson.loads(line)


def test_lines_beyond_the_rate_limit_are_dropped():
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log = EventLog("node", write_end)
    for number in range(MAX_LINES_PER_S + 5):
        log.enqueue(make_message(number))
    assert log.queued_line_count == MAX_LINES_PER_S
