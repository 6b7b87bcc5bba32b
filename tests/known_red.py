"""The list of known failures, KNOWN-RED.txt: tests that fail because of a real fault that is not fixed yet.

Each line has four fields separated by `` | ``: the test, the command and seed that reproduce the fault, the
observed failure, and the issue. CI tolerates failures of exactly these tests and prints them. The run fails
if a listed test passes or a line names no test. A test whose observed failure begins with ``intermittent:``
fails in some runs only, and may pass.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "
INTERMITTENT = "intermittent:"
FIELDS = ("test", "command and seed", "observed failure", "issue")


class KnownRedError(Exception):
    """KNOWN-RED.txt has a line that is malformed or names no test; the message says how to correct it."""


@dataclass(slots=True, frozen=True)
class KnownFailure:
    """A test that is expected to fail."""

    test: str  # pytest's node id
    command: str  # the command and seed that reproduce the fault
    observed: str  # the observed failure
    issue: str

    @property
    def intermittent(self) -> bool:
        """Whether the test fails in some runs only."""
        return self.observed.startswith(INTERMITTENT)


def read(text: str) -> list[KnownFailure]:
    """Parse a list, ignoring empty lines; raises KnownRedError for a line of any other form."""
    entries = []
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != len(FIELDS) or not all(parts):
            raise KnownRedError(f"{LIST.name}: expected '{SEPARATOR.join(FIELDS)}', got {line!r}")
        entries.append(KnownFailure(*parts))
    return entries


def mark(entries: list[KnownFailure], items: list[pytest.Item], whole_suite: bool) -> None:
    """Mark the listed tests as expected failures, so that their success is an error unless intermittent.

    Raises KnownRedError if ``whole_suite`` and an entry names no test among ``items``.
    """
    by_name = {item.nodeid: item for item in items}
    for entry in entries:
        if item := by_name.get(entry.test):
            reason = f"{entry.observed}: {entry.command} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=not entry.intermittent, reason=reason))
        elif whole_suite:
            raise KnownRedError(f"{LIST.name}: {entry.test!r} is not a test: remove the line")
