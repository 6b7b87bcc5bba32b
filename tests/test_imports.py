"""Import contracts: modules that a package must not import, directly or indirectly (docs/architecture.md)."""

import itertools
from collections.abc import Iterable

import grimp
import pytest

STATE_MACHINES = ("admission", "control", "cordon", "gang", "mesh")
DECISION_MODULE = ("api", "logic", "placement", "settings")
WITHOUT_NET = (
    *STATE_MACHINES, *DECISION_MODULE, "config", "config_types", "errors", "protocol", "record",
)  # fmt: skip
CONFIG_DEPENDENCIES = ("admission", "control", "cordon", "mesh", "placement", "protocol", "record")
INPUT_AND_OUTPUT = ("aiohttp", "asyncio", "os", "socket", "threading", "time")

CONTRACTS = {
    "decisions and state machines do not depend on sockets, processes and the command line": (
        WITHOUT_NET,
        ("robinhill.commands", "robinhill.emulator", "robinhill.model", "robinhill.net"),
    ),
    "the decision module does no input or output": (
        DECISION_MODULE,
        (*INPUT_AND_OUTPUT, "logging", "pathlib"),
    ),
    "state machines do no input or output": (STATE_MACHINES, INPUT_AND_OUTPUT),
    "modules that define configuration options do not depend on the configuration": (
        CONFIG_DEPENDENCIES,
        ("robinhill.config",),
    ),
    "the scheduler does not depend on its models, emulators and checkers": (
        ("net",),
        ("robinhill.checker", "robinhill.commands", "robinhill.emulator", "robinhill.model"),
    ),
}


@pytest.fixture(scope="module")
def graph() -> grimp.ImportGraph:
    """All imports of the package, including those inside functions."""
    return grimp.build_graph("robinhill", include_external_packages=True, cache_dir=None)


def modules_of(graph: grimp.ImportGraph, packages: Iterable[str]) -> set[str]:
    """The full names of the given modules of robinhill and of all modules below them."""
    roots = {f"robinhill.{package}" for package in packages}
    assert roots <= graph.modules
    return roots | {module for root in roots for module in graph.find_descendants(root)}


def chains(graph: grimp.ImportGraph, packages: Iterable[str], forbidden: Iterable[str]) -> list[str]:
    """The shortest chain of imports from each module of ``packages`` to each forbidden module, if any."""
    targets = {target for name in forbidden if name in graph.modules for target in with_children(graph, name)}
    pairs = itertools.product(sorted(modules_of(graph, packages)), sorted(targets))
    found = (graph.find_shortest_chain(importer=module, imported=target) for module, target in pairs)
    return [" -> ".join(chain) for chain in found if chain]


def with_children(graph: grimp.ImportGraph, module: str) -> set[str]:
    """The module and, if it is a package of this project, all modules in it."""
    return {module} | (graph.find_descendants(module) if module.startswith("robinhill.") else set())


@pytest.mark.parametrize("contract", CONTRACTS)
def test_no_import_violates_the_contract(contract: str, graph: grimp.ImportGraph) -> None:
    packages, forbidden = CONTRACTS[contract]
    assert chains(graph, packages, forbidden) == []


def test_violation_is_reported_as_a_chain_of_imports(graph: grimp.ImportGraph) -> None:
    assert "robinhill.control.voter -> random" in chains(graph, ["control"], ["random"])
