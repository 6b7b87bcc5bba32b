"""Every error that operators may see has advice and a row in the table of the on-call page."""

import importlib
import pkgutil
import re
from importlib.util import find_spec
from pathlib import Path

import robinhill
from robinhill.errors import RobinhillError

PAGE = Path(__file__).parent.parent / "docs" / "oncall.md"
BASES = {"MeshError", "CordonError", "GangError"}  # base classes that are never raised


def errors() -> dict[str, type[RobinhillError]]:
    """All subclasses of RobinhillError in the package, by code.

    Subclasses are known only after their module is imported: this imports each module with a derived class.
    """
    for module in pkgutil.walk_packages(robinhill.__path__, "robinhill."):
        spec = find_spec(module.name)
        if spec and spec.origin and re.search(r"^class \w+\(", Path(spec.origin).read_text(), re.M):
            importlib.import_module(module.name)
    found: dict[str, type[RobinhillError]] = {}
    pending = list(RobinhillError.__subclasses__())
    while pending:
        error = pending.pop()
        pending += error.__subclasses__()
        if error.__module__.startswith("robinhill."):
            assert found.setdefault(error.code, error) is error, f"two errors have the code {error.code}"
    return found


def listed_advice() -> dict[str, str]:
    """The advice for each error in the table of the on-call page, by error code."""
    (table,) = re.findall(r"^\| error \|.*\n\| ---.*\n((?:\|.*\n)+)", PAGE.read_text(), re.M)
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in table.splitlines()]
    names = [re.fullmatch(r"`(\w+)`", row[0]) for row in rows]
    assert all(names) and len({row[0] for row in rows}) == len(rows)
    return {name[1]: row[-1] for name, row in zip(names, rows, strict=True) if name}


def test_each_error_has_advice_except_base_classes_that_are_never_raised() -> None:
    found = errors()
    assert {name for name, error in found.items() if not error.advice} == BASES
    text = "\n".join(path.read_text() for path in Path(robinhill.__path__[0]).rglob("*.py"))
    assert not [name for name in BASES if re.search(rf"raise {name}\b", text)]


def test_on_call_page_lists_each_error_with_its_advice() -> None:
    found = {name: error for name, error in errors().items() if name not in BASES}
    assert listed_advice() == {name: error.advice for name, error in found.items()}
