"""Options of the control group: validates the keys of the operators' configuration file that configure
voters. Reads no file itself.

A scheduler is an *observer* of the voters. The *bound* (``mesh.bound_ms``) is the maximum age of the
replicated state that a scheduler knows; the scheduler's lease expires when this state becomes older than the
bound. Without a valid lease a scheduler sends no jobs in the `hold` mode, and continues to send in the
`serve` mode (``on_lost``).
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta, Struct

from robinhill.control.errors import VotersMalformed
from robinhill.cordon.propagation import Mode
from robinhill.mesh.options import Name, VoterPlace

MAX_VOTERS = 13
"""Maximum number of voters. It limits the cost of the full mesh: each pair of voters has a link, and each
change is sent to all voters."""

HEARTBEATS_PER_BOUND = 4
"""Heartbeats that an observer sends to its primary voter within the bound; the lease stays valid if two
successive heartbeats or their replies are lost."""

PINGS_PER_BOUND = 16
"""Pings that a voter sends to each other voter within the bound. A voter's knowledge of the other voters may
be one ping interval old, and the leases that the voter renews expire earlier by the age of this knowledge."""


class Place(Struct, frozen=True, forbid_unknown_fields=True):
    """The region and zone of a process; each is empty if the operators' file does not set it."""

    region: str = ""
    zone: str = ""


class VotersKeys(Struct, frozen=True):
    """The unvalidated keys of `mesh` that configure voters. Without ``voters`` there is no control group.

    ``regions``: the zones of each region of the installation; if it is empty, any region is valid.
    ``on_lost_by_kind``: by record kind, whether a scheduler without a valid lease may still send jobs
    according to the records of the kind (`serve`) or may not (`hold`); ``on_lost`` applies to all other
    kinds.
    """

    voters: dict[Name, VoterPlace] = {}
    regions: dict[Name, tuple[Name, ...]] = {}
    on_lost_by_kind: dict[Name, Mode] = {}
    installation: Name = "robinhill"
    bound_ms: Annotated[int, Meta(ge=100, le=600_000)] = 2_000
    on_lost: Mode = Mode.SERVE


@dataclass(slots=True, frozen=True)
class ControlOptions:
    """The validated options of one voter or observer. Times are microseconds.

    ``warnings``: messages to the operator about options that are valid but not recommended.
    """

    name: str
    installation: str
    voters: Mapping[str, VoterPlace]
    place: Place
    bound_us: int
    on_lost: Mode
    on_lost_by_kind: Mapping[str, Mode] = field(default_factory=dict)
    warnings: tuple[str, ...] = ()

    @property
    def is_voter(self) -> bool:
        """Whether this process is a voter; otherwise it is an observer."""
        return self.name in self.voters

    @property
    def heartbeat_us(self) -> int:
        """Interval between an observer's heartbeats to its primary voter."""
        return self.bound_us // HEARTBEATS_PER_BOUND

    @property
    def ping_us(self) -> int:
        """Interval between a voter's pings to each other voter."""
        return self.bound_us // PINGS_PER_BOUND

    @property
    def modes(self) -> str:
        """``on_lost`` and ``on_lost_by_kind`` as one text.

        A voter rejects the join of an observer whose text differs from the voter's.
        """
        kinds = sorted(self.on_lost_by_kind.items())
        return ",".join([self.on_lost.value, *(f"{kind}={mode.value}" for kind, mode in kinds)])

    def mode_of(self, kind: str) -> Mode:
        """Return the mode that applies to records of a kind while a scheduler has no valid lease."""
        return self.on_lost_by_kind.get(kind, self.on_lost)


def voter_options(keys: VotersKeys, name: str, kinds: Sequence[str] = ()) -> ControlOptions:
    """Validate the keys for the voter ``name``. Raises VotersMalformed, also if ``name`` is not a voter.

    ``kinds``: names of the registered record kinds; if empty, the kinds in the keys are not checked.
    """
    if name not in keys.voters:
        raise VotersMalformed(
            "mesh.voters", f"{name!r} is not among them", "add it there, or start it as a scheduler (run)"
        )
    place = keys.voters[name]
    return _validated(keys, name, Place(place.region, place.zone), kinds)


def observer_options(keys: VotersKeys, name: str, place: Place, kinds: Sequence[str] = ()) -> ControlOptions:
    """Validate the keys for the observer ``name``. Raises VotersMalformed, also if ``name`` is a voter.

    ``kinds``: names of the registered record kinds; if empty, the kinds in the keys are not checked.
    """
    if name in keys.voters:
        raise VotersMalformed(
            "mesh.voters",
            f"{name!r} is this scheduler's own name",
            "set GW_NAME to a name that no voter has",
        )
    if keys.voters and place.region and place.region not in _regions(keys):
        raise VotersMalformed(
            "mesh.region",
            f"{place.region!r} is no known region",
            f"use one of {_sorted_text(_regions(keys))}",
        )
    return _validated(keys, name, place, kinds)


def _validated(keys: VotersKeys, name: str, place: Place, kinds: Sequence[str]) -> ControlOptions:
    _check_voter_count(keys)
    _check_addresses(keys)
    _check_places(keys)
    _check_kinds(keys, kinds)
    return ControlOptions(
        name=name,
        installation=keys.installation,
        voters=dict(sorted(keys.voters.items())),
        place=place,
        bound_us=keys.bound_ms * 1000,
        on_lost=keys.on_lost,
        on_lost_by_kind=keys.on_lost_by_kind,
        warnings=tuple(_warnings(keys)),
    )


def _check_voter_count(keys: VotersKeys) -> None:
    if not 1 <= len(keys.voters) <= MAX_VOTERS:
        raise VotersMalformed(
            "mesh.voters",
            f"{len(keys.voters)} are named",
            f"name 1 to {MAX_VOTERS} voters, preferably an odd number",
        )


def _check_addresses(keys: VotersKeys) -> None:
    counted = Counter(voter.address for voter in keys.voters.values())
    for name, voter in keys.voters.items():
        if counted[voter.address] > 1:
            raise VotersMalformed(
                f"mesh.voters.{name}.address",
                f"{voter.address} is named {counted[voter.address]} times",
                "use a different address for each voter",
            )
        if not 0 < int(voter.address.rpartition(":")[2]) < 65_536:
            raise VotersMalformed(
                f"mesh.voters.{name}.address",
                f"the port of {voter.address} is out of range",
                "use a port from 1 to 65535",
            )


def _check_places(keys: VotersKeys) -> None:
    for name, voter in keys.voters.items():
        if keys.regions and voter.region not in keys.regions:
            raise VotersMalformed(
                f"mesh.voters.{name}.region",
                f"{voter.region!r} is no known region",
                f"use one of {_sorted_text(keys.regions)}, or add it to mesh.regions",
            )
        if keys.regions and voter.zone not in keys.regions[voter.region]:
            raise VotersMalformed(
                f"mesh.voters.{name}.zone",
                f"{voter.zone!r} is no zone of {voter.region!r}",
                f"use one of {_sorted_text(keys.regions[voter.region])}, or add it to mesh.regions",
            )


def _check_kinds(keys: VotersKeys, kinds: Sequence[str]) -> None:
    for kind in keys.on_lost_by_kind:
        if kinds and kind not in kinds:
            raise VotersMalformed(
                f"mesh.on_lost_by_kind.{kind}",
                "there is no record kind of this name",
                f"use one of {_sorted_text(kinds)}",
            )


def _warnings(keys: VotersKeys) -> list[str]:
    number = len(keys.voters)
    if number % 2 == 0:
        return [
            f"mesh.voters: {number} voters tolerate no more failures than {number - 1} would; "
            "add or remove one voter"
        ]
    return []


def _regions(keys: VotersKeys) -> Sequence[str]:
    return sorted(keys.regions) or sorted({voter.region for voter in keys.voters.values()})


def _sorted_text(names: Mapping[str, object] | Sequence[str]) -> str:
    return ", ".join(sorted(names))
