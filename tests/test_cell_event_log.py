"""Log lines are bounded and never wait for a slow output."""

from __future__ import annotations

import os

import orjson

from fuchsiadale.cell.event_log import MAX_LINES_PER_S, MAX_QUEUED_LINES, EventLog


def message(number: int) -> dict[str, object]:
    return {"message_type": "kind", "job": str(number), "timestamp": 1.0}


def test_lines_are_written_whole_as_json():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    log = EventLog("node", writing)
    log.enqueue(message(1))
    log.flush()
    line = orjson.loads(os.read(reading, 10_000))
    assert line == {"message_type": "kind", "job": "1", "node": "node", "time_s": 1.0}


def test_stalled_output_blocks_nothing_and_drops_are_counted():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    log = EventLog("node", writing)
    for _ in range(MAX_QUEUED_LINES // MAX_LINES_PER_S + 2):
        for number in range(MAX_LINES_PER_S + 10):
            log.enqueue(message(number))
        log.flush()
        log._log_dropped_lines()
    assert log.queued_line_count <= MAX_QUEUED_LINES
    written = b""
    os.set_blocking(reading, False)
    while log.queued_line_count or log._unwritten:
        log.flush()
        written += os.read(reading, 1 << 20)
    for line in written.splitlines():
        orjson.loads(line)


def test_lines_beyond_the_rate_are_dropped():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    log = EventLog("node", writing)
    for number in range(MAX_LINES_PER_S + 5):
        log.enqueue(message(number))
    assert log.queued_line_count == MAX_LINES_PER_S
