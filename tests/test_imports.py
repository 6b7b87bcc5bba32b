"""What may import what, directly or through other modules (docs/architecture.md)."""

import itertools
from collections.abc import Iterable

import grimp
import pytest

STATE_MACHINES = ("admission", "control", "cordon", "gang", "mesh")
DECISION_MODULE = ("api", "logic", "placement", "settings")
WITHOUT_NET = (
    *STATE_MACHINES, *DECISION_MODULE, "config", "config_types", "errors", "protocol", "record",
)  # fmt: skip
READ_BY_CONFIG = ("admission", "control", "cordon", "mesh", "placement", "protocol", "record")
INPUT_AND_OUTPUT = ("aiohttp", "asyncio", "os", "socket", "threading", "time")

CONTRACTS = {
    "decisions and state machines know nothing of sockets, processes and the command line": (
        WITHOUT_NET,
        ("robinhill.commands", "robinhill.emulator", "robinhill.model", "robinhill.net"),
    ),
    "the decision module has no input or output": (
        DECISION_MODULE,
        (*INPUT_AND_OUTPUT, "logging", "pathlib"),
    ),
    "state machines have no input or output": (STATE_MACHINES, INPUT_AND_OUTPUT),
    "what configuration reads options from does not need it": (READ_BY_CONFIG, ("robinhill.config",)),
    "the scheduler does not need what plays it": (
        ("net",),
        ("robinhill.checker", "robinhill.commands", "robinhill.emulator", "robinhill.model"),
    ),
}


@pytest.fixture(scope="module")
def graph() -> grimp.ImportGraph:
    """All imports of the package, those inside functions too."""
    return grimp.build_graph("robinhill", include_external_packages=True, cache_dir=None)


def modules_of(graph: grimp.ImportGraph, packages: Iterable[str]) -> set[str]:
    """The modules of packages or modules of robinhill, by their names in it."""
    roots = {f"robinhill.{package}" for package in packages}
    assert roots <= graph.modules
    return roots | {module for root in roots for module in graph.find_descendants(root)}


def chains(graph: grimp.ImportGraph, packages: Iterable[str], forbidden: Iterable[str]) -> list[str]:
    """A shortest chain of imports from each module of some packages to each forbidden module."""
    targets = {target for name in forbidden if name in graph.modules for target in with_children(graph, name)}
    pairs = itertools.product(sorted(modules_of(graph, packages)), sorted(targets))
    found = (graph.find_shortest_chain(importer=module, imported=target) for module, target in pairs)
    return [" -> ".join(chain) for chain in found if chain]


def with_children(graph: grimp.ImportGraph, module: str) -> set[str]:
    """A module and, if it is a package of this project, all modules in it."""
    return {module} | (graph.find_descendants(module) if module.startswith("robinhill.") else set())


@pytest.mark.parametrize("contract", CONTRACTS)
def test_the_contract_is_kept(contract: str, graph: grimp.ImportGraph) -> None:
    packages, forbidden = CONTRACTS[contract]
    assert chains(graph, packages, forbidden) == []


def test_a_contract_that_is_broken_shows_the_chain(graph: grimp.ImportGraph) -> None:
    assert "robinhill.control.voter -> random" in chains(graph, ["control"], ["random"])
