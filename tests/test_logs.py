"""Log lines: a flood costs little, and its size is told."""

import logging

from robinhill.logs import Throttle, formatter


def record(level: int, created: float) -> logging.LogRecord:
    made = logging.LogRecord("x", level, "x.py", 1, "malformed", (), None)
    made.created = created
    return made


def test_a_flood_of_one_event_is_cut_and_counted() -> None:
    throttle = Throttle(2)
    passed = [throttle.filter(record(logging.WARNING, 7.0 + i / 10)) for i in range(5)]
    assert passed == [True, True, False, False, False]
    assert throttle.filter(record(logging.ERROR, 7.9))
    late = record(logging.WARNING, 8.1)
    assert throttle.filter(late) and "event=malformed kept_back=3" in formatter().format(late)
    assert throttle.filter(again := record(logging.WARNING, 8.2)) and not hasattr(again, "kept_back")
