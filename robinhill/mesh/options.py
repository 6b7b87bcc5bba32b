"""The operators' file on what schedulers share. Times are in the units that the keys name.

The one module of the mesh that a scheduler without peers imports: it must stay small.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
HostPort = Annotated[str, Meta(max_length=128, pattern=r"^.+:[0-9]{1,5}$")]
Header = Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]{1,64}$")]
FULL_MESH = 16  # others: up to here each has a link to each
MAX_PEERS = 999  # what is known of each is some hundred bytes; ages of all go with each pong


class VoterPlace(Struct, frozen=True, forbid_unknown_fields=True):
    """Where a voter of the control group is found, and where it stands."""

    address: HostPort
    region: Name
    zone: Name


class MeshOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Who shares with whom, and how late a cordon may be. Without ``peers`` all of it is off.

    ``peers`` may name this scheduler too, so that one file serves all. ``name`` defaults to the scheduler's
    own, ``listen`` to this scheduler's address among ``peers``. ``bound_ms``: how long after it was accepted
    a cordon may be unknown to a dispatcher that still sends. ``on_lost``: what a scheduler does that can't
    know any more whether it is up to date: ``serve`` on, or ``hold`` new work. ``catch_up_ms``: how long a
    scheduler that has just started waits for what its peers know before it serves without. ``folder``:
    whether its own last state is kept in $TMPDIR. ``gang_*``: headers by which jobs name their gang.

    ``voters``: the control group, in place of ``peers`` (docs/control.md); ``regions``: all regions of the
    installation and their zones, against which places are checked; ``region`` and ``zone``: where this
    scheduler stands; ``on_lost_by_kind``: what goes before ``on_lost`` for records of a kind.
    """

    installation: Name = "robinhill"
    name: Name | None = None
    listen: HostPort | None = None
    peers: dict[Name, HostPort] = {}
    bound_ms: Annotated[int, Meta(ge=100, le=600_000)] = 2_000
    on_lost: Literal["serve", "hold"] = "serve"
    partners: Annotated[int, Meta(ge=2, le=16)] = 16
    catch_up_ms: Annotated[int, Meta(ge=0, le=600_000)] = 3_000
    folder: bool = True
    voters: dict[Name, VoterPlace] = {}
    regions: dict[Name, tuple[Name, ...]] = {}
    region: str = ""
    zone: str = ""
    on_lost_by_kind: dict[Name, Literal["serve", "hold"]] = {}
    gang_header: Header = "X-Gang"
    gang_size_header: Header = "X-Gang-Size"
    gang_index_header: Header = "X-Gang-Index"

    def __post_init__(self) -> None:
        if len(self.peers) > MAX_PEERS:
            raise ValueError(f"peers: at most {MAX_PEERS}")
        for key, address in (("listen", self.listen), *self.peers.items()):
            if address is not None and not 0 < int(address.rpartition(":")[2]) < 65536:
                raise ValueError(f"{key}: the port of {address!r} lies outside 1 to 65535")

    def others(self, own: str) -> dict[str, str]:
        """The configured peers without the scheduler of this name."""
        return {name: self.peers[name] for name in sorted(self.peers) if name != own}

    @property
    def interval_us(self) -> int:
        """How often each link is asked. A link adds at most one interval to the age of what passes it: where
        all are linked to each other there is one, at 200 schedulers there are four at most. The rest of the
        bound is for delays on the way.
        """
        return self.bound_ms * 1000 // (3 if len(self.peers) <= FULL_MESH else 6)
