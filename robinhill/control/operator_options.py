"""Maps the operators' configuration file to the options of voters and observers.

Invalid keys raise ConfigError.
"""

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
from robinhill.control.record_kinds import kind_names, kinds
from robinhill.cordon.propagation import Mode
from robinhill.mesh.options import MeshOptions


def check_voters(mesh: MeshOptions) -> tuple[str, ...]:
    """Validate the keys that configure voters, which are the same for all processes.

    Returns warnings for the operator. Raises ConfigError.
    """
    return options_of_voter(mesh, min(mesh.voters)).warnings


def options_of_voter(mesh: MeshOptions, name: str) -> ControlOptions:
    """Return the options of the voter ``name``. Raises ConfigError."""
    keys = _keys(mesh)
    return _with_config_errors(lambda: voter_options(keys, name, kind_names(kinds())))


def options_of_observer(mesh: MeshOptions, name: str) -> ControlOptions:
    """Return the options of the scheduler ``name``, which is an observer. Raises ConfigError."""
    keys = _keys(mesh)
    place = Place(mesh.region, mesh.zone)
    return _with_config_errors(lambda: observer_options(keys, name, place, kind_names(kinds())))


def voter_address(options: ControlOptions, voter: str) -> Address:
    """Return the address on which a voter listens."""
    host, _, port = options.voters[voter].address.rpartition(":")
    return Address(host.strip("[]"), int(port))


def _keys(mesh: MeshOptions) -> VotersKeys:
    if mesh.peers:
        raise ConfigError("mesh.peers", "can't be named beside mesh.voters; remove one of the two keys")
    return VotersKeys(
        voters=mesh.voters,
        regions=mesh.regions,
        on_lost_by_kind={kind: Mode(mode) for kind, mode in mesh.on_lost_by_kind.items()},
        installation=mesh.installation,
        bound_ms=mesh.bound_ms,
        on_lost=Mode(mesh.on_lost),
    )


def _with_config_errors(validate: Callable[[], ControlOptions]) -> ControlOptions:
    try:
        return validate()
    except VotersMalformed as e:
        what = e.what.removeprefix(f"{e.key}: ")
        raise ConfigError(e.key, f"{what}; {e.advice}") from e
