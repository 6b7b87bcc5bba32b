"""The list of known failures: exactly the listed tests are expected to fail."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from . import known_red

LINE = "tests/test_x.py::test_y | pytest tests/test_x.py, seed 7 | it stays open | issue 1"


class Item:
    """A stand-in for a collected test that records its markers."""

    def __init__(self, nodeid: str) -> None:
        self.nodeid = nodeid
        self.marks: list[Any] = []

    def add_marker(self, mark: Any) -> None:
        self.marks.append(mark)


def test_listed_test_alone_is_marked_as_strict_xfail_with_its_reason() -> None:
    item, other = Item("tests/test_x.py::test_y"), Item("tests/test_x.py::test_z")
    known_red.mark(known_red.read(LINE), cast(list[pytest.Item], [item, other]), whole_suite=True)
    (mark,) = item.marks
    assert (
        mark.kwargs == {"strict": True, "reason": "it stays open: pytest tests/test_x.py, seed 7 (issue 1)"}
        and not other.marks
    )


def test_intermittent_failure_may_pass_and_no_other_one() -> None:
    item = Item("tests/test_x.py::test_y")
    entries = known_red.read(LINE.replace("it stays open", "intermittent: it stays open"))
    known_red.mark(entries, cast(list[pytest.Item], [item]), whole_suite=True)
    assert item.marks[0].kwargs["strict"] is False
    assert not known_red.read(LINE.replace("it stays", "not intermittent: it stays"))[0].intermittent


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_x.py::test_y",
        "tests/test_x.py::test_y | | it stays open | issue 1",
        "tests/test_x.py::test_y | pytest tests/test_x.py, seed 7 | it stays open |",
        f"{LINE} | more",
    ],
)
def test_line_without_exactly_four_fields_raises_an_error(text: str) -> None:
    with pytest.raises(known_red.KnownRedError, match="expected 'test"):
        known_red.read(text)


def test_list_with_empty_lines_and_repeated_tests_is_read() -> None:
    entries = known_red.read("\n\n".join([LINE] * 5))
    assert [entry.test for entry in entries] == ["tests/test_x.py::test_y"] * 5


def test_line_that_names_no_test_is_an_error_in_a_run_of_the_whole_suite_alone() -> None:
    items = cast(list[pytest.Item], [SimpleNamespace(nodeid="tests/test_x.py::test_z")])
    known_red.mark(known_red.read(LINE), items, whole_suite=False)
    with pytest.raises(known_red.KnownRedError, match="remove the line"):
        known_red.mark(known_red.read(LINE), items, whole_suite=True)
