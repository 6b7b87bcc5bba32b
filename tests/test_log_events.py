"""Every log event has its row on the on-call page, and renamed ones stand in the changelog's tables."""

import ast
import json
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
BEFORE = frozenset(json.loads((Path(__file__).parent / "log_events_before.json").read_text()))
LEVELS = ("debug", "info", "warning", "error", "critical", "exception", "log")
# An attempt's end is logged under one of these by what broke: the call names a variable.
BY_VARIABLE = ("attempt_connection_failed", "malformed_response")


def constants() -> set[str]:
    """All text constants of the program."""
    found = set()
    for path in (ROOT / "robinhill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
    return found


def event_of(call: ast.Call) -> ast.expr:
    """The argument of a logging call that holds the event."""
    assert isinstance(call.func, ast.Attribute)
    return call.args[1 if call.func.attr == "log" else 0]


def branches(event: ast.expr) -> list[ast.expr]:
    """The expressions of which one becomes the event."""
    return [event.body, event.orelse] if isinstance(event, ast.IfExp) else [event]


def logging_calls() -> Iterator[ast.Call]:
    """Calls of a module's logger."""
    for path in (ROOT / "robinhill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if ast.unparse(node.func.value) == "log" and node.func.attr in LEVELS:
                yield node


def events() -> set[str]:
    """Events that calls of a module's logger name as literals."""
    found = [branch for call in logging_calls() for branch in branches(event_of(call))]
    return {str(branch.value) for branch in found if isinstance(branch, ast.Constant)}


def rows() -> set[str]:
    """Events in the first column of the on-call page's tables."""
    text = (ROOT / "docs" / "oncall.md").read_text()
    (table,) = re.findall(r"^\| event \|.*\n\| ---.*\n((?:\|.*\n)+)", text, re.M)
    return {name for line in table.splitlines() for name in re.findall(r"`(\w+)`", line.split("|")[1])}


def renamed() -> dict[str, str]:
    """The changelog's tables, old -> new."""
    text = (ROOT / "CHANGELOG.md").read_text()
    tables = re.findall(
        r"^#### Log events, old -> new.*\n\n\| old \| new \|\n\| --- \| --- \|\n((?:\|.*\n)*)", text, re.M
    )
    pairs = [re.findall(r"`(\w+)`", line) for table in tables for line in table.splitlines()]
    assert all(len(pair) == 2 for pair in pairs)
    return {old: new for old, new in pairs}


def test_every_event_has_a_row() -> None:
    found = events()
    assert len(found) > 90
    assert found - rows() == set()


def test_every_row_is_an_event() -> None:
    assert rows() - events() - constants() == set()


def test_no_event_of_before_is_lost() -> None:
    now, new_names = events() | set(BY_VARIABLE), renamed()
    assert {old for old in BEFORE if old not in now and new_names.get(old) not in now} == set()


def test_the_changelog_names_only_events_that_were_and_that_are() -> None:
    new_names = renamed()
    assert set(new_names) <= BEFORE
    assert set(new_names.values()) <= events() | constants()
    assert not set(new_names) & events()
