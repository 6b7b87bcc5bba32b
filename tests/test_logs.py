"""The throttle of log lines: a flood of one event is cut off, and the number of dropped lines is logged."""

import logging

from robinhill.logs import Throttle, formatter


def record(level: int, created: float) -> logging.LogRecord:
    log_record = logging.LogRecord("x", level, "x.py", 1, "malformed", (), None)
    log_record.created = created
    return log_record


def test_throttle_drops_lines_above_the_limit_and_reports_their_number() -> None:
    throttle = Throttle(2)
    passed = [throttle.filter(record(logging.WARNING, 7.0 + i / 10)) for i in range(5)]
    assert passed == [True, True, False, False, False]
    assert throttle.filter(record(logging.ERROR, 7.9))
    next_second = record(logging.WARNING, 8.1)
    assert throttle.filter(next_second) and "event=malformed kept_back=3" in formatter().format(next_second)
    assert throttle.filter(following := record(logging.WARNING, 8.2)) and not hasattr(following, "kept_back")
