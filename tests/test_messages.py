"""What is decoded by itself: units of time, names that become numbers, log lines."""

import logging
import time

import pytest

from robinhill import logs, protocol
from robinhill.net.clock import Clock


@pytest.mark.parametrize("text, us", [("480m", 480_000), ("480u", 480), ("7500.5m", 7_500_500)])
def test_a_timeout_has_its_unit(text: str, us: int) -> None:
    assert protocol.parse_timeout(text) == us


@pytest.mark.parametrize("text", ["", "480", "480s", "-1m", "1e9m", "m", "٣m"])
def test_a_timeout_in_another_form_is_malformed(text: str) -> None:
    with pytest.raises(protocol.MalformedError):
        protocol.parse_timeout(text)


def test_the_clock_is_unix_time_as_startedatms_is() -> None:
    # On another scale a worker that has just started would look long warm, and be pushed over.
    entry = {"instanceId": "s-1", "hostPort": "h:1", "zone": "a", "machineType": "b", "lifecycle": "active"}
    entry |= {"startedAtMs": time.time_ns() // 1_000_000}  # type: ignore[dict-item]
    told = protocol.decode_endpoint_list({"generation": 1, "reset": True, "instances": [entry]})
    assert abs(Clock().now_us() - told.destinations[0].started_us) < 60_000_000


def test_a_log_line_is_one_line_of_pairs() -> None:
    record = logging.makeLogRecord({"msg": "watch_lost", "levelname": "WARNING", "why": 'a "b"\nc', "n": 3})
    line = logs.formatter().format(record)
    assert line.endswith('event=watch_lost why="a \\"b\\"\\nc" n=3') and "\n" not in line
