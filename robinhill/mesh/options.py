"""Settings of replication between schedulers, as the operators' file has them. Units are in the keys.

The one module of the mesh that a scheduler without peers imports: it must stay small.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
HostPort = Annotated[str, Meta(max_length=128, pattern=r"^.+:[0-9]{1,5}$")]
Header = Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]{1,64}$")]
MAX_FULL_MESH_PEERS = 16  # up to here every scheduler has a link to every other
MAX_PEERS = 999


class VoterPlace(Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a voter of the control group, and its region and zone."""

    address: HostPort
    region: Name
    zone: Name


class MeshOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Which schedulers replicate to each other, and how late a cordon may take effect. Off without ``peers``.

    ``peers`` may include this scheduler, so that all use the same file. ``name`` defaults to the scheduler's
    own, ``listen`` to its address among ``peers``. ``bound_ms``: how long after its acceptance a cordon may
    be unknown to a dispatcher that still sends. ``on_lost``: what a scheduler without a lease does: continue
    to ``serve``, or ``hold`` new work. ``catch_up_ms``: how long a scheduler that has just started waits for
    state of its peers before it serves without. ``folder``: whether its own snapshot is saved in $TMPDIR.
    ``gang_*``: headers by which jobs name their gang.

    ``voters``: the control group, in place of ``peers`` (docs/control.md); ``regions``: all regions of the
    installation and their zones, to validate locations; ``region`` and ``zone``: the location of this
    scheduler; ``on_lost_by_kind``: overrides ``on_lost`` for records of a kind.
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
        """The interval between pings on a link.

        Each link on the way adds at most one interval to the age of knowledge: one in a full mesh, at most
        four among 200 schedulers. The rest of the bound is for network delay.
        """
        return self.bound_ms * 1000 // (3 if len(self.peers) <= MAX_FULL_MESH_PEERS else 6)
