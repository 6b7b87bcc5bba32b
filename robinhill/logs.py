"""Log lines: key=value pairs or JSON, one line each, to standard error. structlog's formatter over
``logging``.
"""

import logging
import time
from typing import Literal

import structlog
from msgspec import Struct
from structlog.stdlib import ExtraAdder, ProcessorFormatter
from structlog.typing import EventDict, Processor, WrappedLogger

DEFAULT_LINES_PER_SECOND = 20
FIRST_KEYS = ("time", "level", "logger", "event")


class LogOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' file on log lines."""

    format: Literal["keyvalue", "json"] = "keyvalue"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_a_second: int = DEFAULT_LINES_PER_SECOND


def _head(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Add time, level and logger; the trace of an error as one value."""
    record: logging.LogRecord = event["_record"]
    moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    event["time"] = f"{moment}.{int(record.msecs):03d}Z"
    event["level"], event["logger"] = record.levelname.lower(), record.name
    if event.pop("exc_info", None) and record.exc_info:
        event["error"] = logging.Formatter().formatException(record.exc_info)
    return event


def _texts(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Turn every value into text, so that renderers agree on booleans, None and empty values."""
    for key, value in event.items():
        event[key] = f"{value:.6g}" if isinstance(value, float) else str(value)
    return event


def formatter(form: str = "keyvalue") -> ProcessorFormatter:
    """``time=... level=... logger=... event=...`` and then whatever the call gave as ``extra``."""
    render: Processor
    if form == "json":
        render = structlog.processors.JSONRenderer(default=str, ensure_ascii=False)
    else:
        render = structlog.processors.LogfmtRenderer(key_order=FIRST_KEYS, bool_as_flag=False)
    shown: list[Processor] = [] if form == "json" else [_texts]
    return ProcessorFormatter(
        foreign_pre_chain=[ExtraAdder(), _head],
        processors=[ProcessorFormatter.remove_processors_meta, *shown, render],
        use_get_message=True,
    )


class Throttle(logging.Filter):
    """Passes so many lines of one event a second; the next line says in ``kept_back`` how many were dropped.

    So a flood of bad requests can't spend the processor on its log lines. Errors always pass.
    """

    def __init__(self, lines_a_second: int) -> None:
        super().__init__()
        self.lines_a_second = lines_a_second
        self._seen: dict[str, tuple[int, int, int]] = {}  # second, lines passed in it, lines dropped

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line passes."""
        if record.levelno >= logging.ERROR:
            return True
        second, passed, dropped = self._seen.get(record.msg, (0, 0, 0))
        if int(record.created) != second:
            second, passed = int(record.created), 0
        if passed >= self.lines_a_second:
            self._seen[record.msg] = (second, passed, dropped + 1)
            return False
        if dropped:
            record.kept_back = dropped
        self._seen[record.msg] = (second, passed + 1, 0)
        return True


def configure(options: LogOptions | None = None) -> None:
    """Send all log lines to standard error in this form."""
    options = options or LogOptions()
    handler = logging.StreamHandler()
    handler.setFormatter(formatter(options.format))
    handler.addFilter(Throttle(options.lines_a_second))
    logging.basicConfig(level=options.level.upper(), handlers=[handler], force=True)
