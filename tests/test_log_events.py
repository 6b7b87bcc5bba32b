"""Every log event has a row on the on-call page, and every renamed event is in a table of the changelog."""

import ast
import json
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
EARLIER_EVENTS = frozenset(json.loads((Path(__file__).parent / "log_events_before.json").read_text()))
LEVELS = ("debug", "info", "warning", "error", "critical", "exception", "log")
# Events of failed attempts, which ``events`` does not find: their logging call passes the name as a variable.
NON_LITERAL_EVENTS = ("attempt_connection_failed", "malformed_response")


def constants() -> set[str]:
    """All string constants of the program."""
    found = set()
    for path in (ROOT / "robinhill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
    return found


def event_of(call: ast.Call) -> ast.expr:
    """The argument of a logging call that is the event name."""
    assert isinstance(call.func, ast.Attribute)
    return call.args[1 if call.func.attr == "log" else 0]


def branches(event: ast.expr) -> list[ast.expr]:
    """The expressions of which one is logged as the event: both branches of a conditional expression."""
    return [event.body, event.orelse] if isinstance(event, ast.IfExp) else [event]


def logging_calls() -> Iterator[ast.Call]:
    """All calls of a module's logger in the program."""
    for path in (ROOT / "robinhill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if ast.unparse(node.func.value) == "log" and node.func.attr in LEVELS:
                yield node


def events() -> set[str]:
    """The events that logging calls name as string literals."""
    found = [branch for call in logging_calls() for branch in branches(event_of(call))]
    return {str(branch.value) for branch in found if isinstance(branch, ast.Constant)}


def rows() -> set[str]:
    """The events in the first column of the on-call page's table of events."""
    text = (ROOT / "docs" / "oncall.md").read_text()
    (table,) = re.findall(r"^\| event \|.*\n\| ---.*\n((?:\|.*\n)+)", text, re.M)
    return {name for line in table.splitlines() for name in re.findall(r"`(\w+)`", line.split("|")[1])}


def renamed() -> dict[str, str]:
    """The renamed events in the tables of the changelog, old -> new."""
    text = (ROOT / "CHANGELOG.md").read_text()
    tables = re.findall(
        r"^#### Log events, old -> new.*\n\n\| old \| new \|\n\| --- \| --- \|\n((?:\|.*\n)*)", text, re.M
    )
    pairs = [re.findall(r"`(\w+)`", line) for table in tables for line in table.splitlines()]
    assert all(len(pair) == 2 for pair in pairs)
    return {old: new for old, new in pairs}


def test_every_event_has_a_row_on_the_on_call_page() -> None:
    found = events()
    assert len(found) > 90
    assert found - rows() == set()


def test_every_row_on_the_on_call_page_is_an_event() -> None:
    assert rows() - events() - constants() == set()


def test_every_earlier_event_is_still_logged_or_renamed_in_the_changelog() -> None:
    now, new_names = events() | set(NON_LITERAL_EVENTS), renamed()
    assert {old for old in EARLIER_EVENTS if old not in now and new_names.get(old) not in now} == set()


def test_changelog_maps_only_earlier_events_to_current_events() -> None:
    new_names = renamed()
    assert set(new_names) <= EARLIER_EVENTS
    assert set(new_names.values()) <= events() | constants()
    assert not set(new_names) & events()
