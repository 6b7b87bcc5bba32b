"""The list of known failures lets just what it names fail."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from . import known_red

LINE = "tests/test_x.py::test_y | pytest tests/test_x.py, seed 7 | it stays open | issue 1"


class Item:
    """A collected test, as far as marks go."""

    def __init__(self, nodeid: str) -> None:
        self.nodeid = nodeid
        self.marks: list[Any] = []

    def add_marker(self, mark: Any) -> None:
        self.marks.append(mark)


def test_a_listed_test_must_fail_and_says_why() -> None:
    item, other = Item("tests/test_x.py::test_y"), Item("tests/test_x.py::test_z")
    known_red.mark(known_red.read(LINE), cast(list[pytest.Item], [item, other]), whole_suite=True)
    (mark,) = item.marks
    assert (
        mark.kwargs == {"strict": True, "reason": "it stays open: pytest tests/test_x.py, seed 7 (issue 1)"}
        and not other.marks
    )


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_x.py::test_y",
        "tests/test_x.py::test_y | | it stays open | issue 1",
        "tests/test_x.py::test_y | pytest tests/test_x.py, seed 7 | it stays open |",
        f"{LINE} | more",
    ],
)
def test_a_line_without_all_its_fields_fails_the_run(text: str) -> None:
    with pytest.raises(known_red.KnownRedError, match="write 'test"):
        known_red.read(text)


def test_the_list_may_have_any_number_of_lines() -> None:
    entries = known_red.read("\n\n".join([LINE] * 5))
    assert [entry.test for entry in entries] == ["tests/test_x.py::test_y"] * 5


def test_a_line_that_names_no_test_fails_the_whole_suite_and_not_a_part_of_it() -> None:
    items = cast(list[pytest.Item], [SimpleNamespace(nodeid="tests/test_x.py::test_z")])
    known_red.mark(known_red.read(LINE), items, whole_suite=False)
    with pytest.raises(known_red.KnownRedError, match="take the line out"):
        known_red.mark(known_red.read(LINE), items, whole_suite=True)
