"""Log lines as key=value pairs, one line each."""

import json
import logging
import time

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def quote(value: object) -> str:
    """A value as it stands where it has no blanks, quotes or equal signs, else in quotes and on one line."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not any(c in ' "=\\' for c in text)
    return text if plain else json.dumps(text)


class KeyValueFormatter(logging.Formatter):
    """``time=... level=... logger=... event=...`` and then whatever the call gave as ``extra``."""

    def format(self, record: logging.LogRecord) -> str:
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, object] = {
            "time": f"{moment}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        pairs |= {k: v for k, v in vars(record).items() if k not in _STANDARD}
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quote(value)}" for key, value in pairs.items())


def configure(level: int = logging.INFO) -> None:
    """Send all log lines to standard error in this form."""
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
