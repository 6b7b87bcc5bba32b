"""Decoding of timeouts and start times, and the format of log lines."""

import logging
import time

import pytest

from robinhill import logs, protocol
from robinhill.net.clock import Clock


@pytest.mark.parametrize("text, us", [("480m", 480_000), ("480u", 480), ("7500.5m", 7_500_500)])
def test_timeout_is_converted_from_its_unit_to_microseconds(text: str, us: int) -> None:
    assert protocol.parse_timeout(text) == us


@pytest.mark.parametrize("text", ["", "480", "480s", "-1m", "1e9m", "m", "٣m"])
def test_timeout_in_any_other_form_is_malformed(text: str) -> None:
    with pytest.raises(protocol.MalformedError):
        protocol.parse_timeout(text)


def test_clock_and_startedatms_both_use_unix_time() -> None:
    # If the epochs differed, a worker that has just started would look warmed up and be overloaded.
    entry = {"instanceId": "s-1", "hostPort": "h:1", "zone": "a", "machineType": "b", "lifecycle": "active"}
    entry |= {"startedAtMs": time.time_ns() // 1_000_000}  # type: ignore[dict-item]
    received = protocol.decode_endpoint_list({"generation": 1, "reset": True, "instances": [entry]})
    assert abs(Clock().now_us() - received.endpoints[0].started_us) < 60_000_000


def test_log_record_is_formatted_as_one_line_of_key_value_pairs() -> None:
    record = logging.makeLogRecord({"msg": "watch_lost", "levelname": "WARNING", "why": 'a "b"\nc', "n": 3})
    line = logs.formatter().format(record)
    assert line.endswith('event=watch_lost why="a \\"b\\"\\nc" n=3') and "\n" not in line
