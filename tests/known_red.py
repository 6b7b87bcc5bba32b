"""The list of known failures, KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

One line each: test, cause, issue, with `` | `` between. A listed test that passes fails the run, as do more
than three lines, and a line that names no test.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3
SEPARATOR = " | "


class KnownRedError(Exception):
    """The list can't be used; the message says what to do."""


@dataclass(slots=True, frozen=True)
class KnownFailure:
    """A test that may fail."""

    test: str  # as pytest names it
    cause: str
    issue: str


def read(text: str) -> list[KnownFailure]:
    """The entries of a list; empty lines count for nothing."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise KnownRedError(f"{LIST.name}: {len(lines)} lines, {MOST} at most: mend what is listed first")
    entries = []
    for line in lines:
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{LIST.name}: write 'test{SEPARATOR}cause{SEPARATOR}issue', not {line!r}")
        entries.append(KnownFailure(*parts))
    return entries


def mark(entries: list[KnownFailure], items: list[pytest.Item], whole_suite: bool) -> None:
    """Let listed tests fail, and only fail; with the whole suite each entry must name a test."""
    by_name = {item.nodeid: item for item in items}
    for entry in entries:
        if item := by_name.get(entry.test):
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))
        elif whole_suite:
            raise KnownRedError(f"{LIST.name}: {entry.test!r} is no test: take the line out")
