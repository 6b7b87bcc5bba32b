"""Formats log records as single lines of key=value pairs or JSON, and writes them to standard error.

The program logs with the standard module ``logging``; a formatter of structlog renders the records.
"""

import logging
import time
from typing import Literal

import structlog
from msgspec import Struct
from structlog.stdlib import ExtraAdder, ProcessorFormatter
from structlog.typing import EventDict, Processor, WrappedLogger

DEFAULT_LINES_PER_SECOND = 20
ERROR_LINES_PER_SECOND = 100  # limit for each event of level error and above
MAX_EVENTS = 1_000  # number of events whose lines are counted
MAX_VALUE_CHARACTERS = 1_000
MAX_TRACEBACK_CHARACTERS = 16_000
FIRST_KEYS = ("time", "level", "logger", "event")


class LogOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Options for log lines, read from the section ``log`` of the operators' configuration file."""

    format: Literal["keyvalue", "json"] = "keyvalue"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_a_second: int = DEFAULT_LINES_PER_SECOND  # limit for each event below level error


def _add_record_fields(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Add time, level and logger to an event, and the traceback of an exception as the value ``error``."""
    record: logging.LogRecord = event["_record"]
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    event["time"] = f"{timestamp}.{int(record.msecs):03d}Z"
    event["level"], event["logger"] = record.levelname.lower(), record.name
    if event.pop("exc_info", None) and record.exc_info:
        event["error"] = logging.Formatter().formatException(record.exc_info)
    return event


def _values_to_text(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Convert every value to text: the logfmt renderer would treat booleans, None and empty values specially.

    Floats are rounded to 6 significant digits.
    """
    for key, value in event.items():
        event[key] = f"{value:.6g}" if isinstance(value, float) else str(value)
    return event


def _cut_values(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Cut long texts, which may come from a peer: a traceback keeps its end, other values their start."""
    for key, value in event.items():
        if key == "error":
            event[key] = str(value)[-MAX_TRACEBACK_CHARACTERS:]
        elif isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
            event[key] = f"{value[:MAX_VALUE_CHARACTERS]}..."
    return event


def formatter(form: str = "keyvalue") -> ProcessorFormatter:
    """A formatter for lines of ``time=... level=... logger=... event=...`` and the fields given as ``extra``.

    ``form`` is ``keyvalue`` or ``json``.
    """
    render: Processor
    if form == "json":
        render = structlog.processors.JSONRenderer(default=str, ensure_ascii=False)
    else:
        render = structlog.processors.LogfmtRenderer(key_order=FIRST_KEYS, bool_as_flag=False)
    conversions: list[Processor] = [] if form == "json" else [_values_to_text]
    return ProcessorFormatter(
        foreign_pre_chain=[ExtraAdder(), _add_record_fields],
        processors=[ProcessorFormatter.remove_processors_meta, *conversions, _cut_values, render],
        use_get_message=True,
    )


class Throttle(logging.Filter):
    """Limits the log lines of each event to ``lines_a_second`` and drops the others.

    Otherwise logging could use up the CPU during a flood of bad requests. When lines of an event have been
    dropped, the next line that is written for this event has their number in its field ``kept_back``. For
    lines of level error and above the limit is `ERROR_LINES_PER_SECOND`, and they are counted separately.
    """

    def __init__(self, lines_a_second: int) -> None:
        super().__init__()
        self.lines_a_second = lines_a_second
        # For each event, and whether it is an error: the Unix second of its last line, the number of lines
        # written in that second, and the number of lines dropped since the last written one.
        self._counts_by_event: dict[tuple[str, bool], tuple[int, int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write the line.

        The field ``kept_back`` of a line that is written is set to the number of lines of its event that were
        dropped since the last written one, unless that number is 0.
        """
        is_error = record.levelno >= logging.ERROR
        limit = ERROR_LINES_PER_SECOND if is_error else self.lines_a_second
        event = (str(record.msg), is_error)
        second, passed, dropped = self._counts_by_event.pop(event, (0, 0, 0))
        if int(record.created) != second:
            second, passed = int(record.created), 0
        if passes := passed < limit:
            if dropped:
                record.kept_back = dropped
            passed, dropped = passed + 1, -1
        self._counts_by_event[event] = (second, passed, dropped + 1)
        if (
            len(self._counts_by_event) > MAX_EVENTS
        ):  # the message of a library's line may be different each time
            del self._counts_by_event[next(iter(self._counts_by_event))]
        return passes


def configure(options: LogOptions | None = None) -> None:
    """Configure ``logging`` to write all log lines to standard error with these options."""
    options = options or LogOptions()
    handler = logging.StreamHandler()
    handler.setFormatter(formatter(options.format))
    handler.addFilter(Throttle(options.lines_a_second))
    logging.basicConfig(level=options.level.upper(), handlers=[handler], force=True)
