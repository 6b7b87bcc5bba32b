"""Maps the operators' file to the options of voters and observers; faults are raised as ConfigError."""

from collections.abc import Callable

from robinhill.config_types import Address, ConfigError
from robinhill.control.errors import VotersMalformed
from robinhill.control.options import (
    ControlOptions,
    Place,
    VotersKeys,
    observer_options,
    voter_options,
)
from robinhill.control.record_kinds import kinds, names_of
from robinhill.cordon.propagation import Mode
from robinhill.mesh.options import MeshOptions


def check_voters(mesh: MeshOptions) -> tuple[str, ...]:
    """Check what is the same for all processes. Returns warnings; raises ConfigError."""
    return options_of_voter(mesh, min(mesh.voters)).warnings


def options_of_voter(mesh: MeshOptions, name: str) -> ControlOptions:
    """The options of a voter. Raises ConfigError."""
    keys = _keys(mesh)
    return _checked(lambda: voter_options(keys, name, names_of(kinds())))


def options_of_observer(mesh: MeshOptions, name: str) -> ControlOptions:
    """The options of a scheduler as an observer. Raises ConfigError."""
    keys = _keys(mesh)
    place = Place(mesh.region, mesh.zone)
    return _checked(lambda: observer_options(keys, name, place, names_of(kinds())))


def address_of(options: ControlOptions, voter: str) -> Address:
    """Where a voter listens."""
    host, _, port = options.voters[voter].address.rpartition(":")
    return Address(host.strip("[]"), int(port))


def _keys(mesh: MeshOptions) -> VotersKeys:
    if mesh.peers:
        raise ConfigError("mesh.peers", "can't be named beside mesh.voters; take one of the two out")
    return VotersKeys(
        voters=mesh.voters,
        regions=mesh.regions,
        on_lost_by_kind={kind: Mode(mode) for kind, mode in mesh.on_lost_by_kind.items()},
        installation=mesh.installation,
        bound_ms=mesh.bound_ms,
        on_lost=Mode(mesh.on_lost),
    )


def _checked(read: Callable[[], ControlOptions]) -> ControlOptions:
    try:
        return read()
    except VotersMalformed as e:
        what = e.what.removeprefix(f"{e.key}: ")
        raise ConfigError(e.key, f"{what}; {e.advice}") from e
