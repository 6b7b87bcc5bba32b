"""Settings of replication between schedulers, as in the operators' file.

A setting with a unit has the unit at the end of its name: ``bound_ms`` is in milliseconds.

This is the only module of the mesh that a scheduler without peers imports, so it must stay small.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
HostPort = Annotated[str, Meta(max_length=128, pattern=r"^.+:[0-9]{1,5}$")]
Header = Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]{1,64}$")]
MAX_FULL_MESH_PEERS = 16  # with up to this many peers every scheduler has a link to every other scheduler
MAX_PEERS = 999


class VoterPlace(Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a voter of the control group, and its region and zone."""

    address: HostPort
    region: Name
    zone: Name


class MeshOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Which schedulers replicate to each other, and how late a cordon may take effect.

    ``peers``: name and address of each scheduler; may include this scheduler, so that all schedulers can use
    the same file. Replication is disabled if ``peers`` is empty. ``installation``: links to schedulers of
    another installation are rejected. ``name``: defaults to the scheduler's name. ``listen``: the address for
    links from peers; defaults to the scheduler's address among ``peers``. ``bound_ms``: the longest time
    after the acceptance of a cordon during which a dispatcher that does not know the cordon may still send
    jobs. ``on_lost``: whether a scheduler without a lease continues to send jobs (``serve``) or sends no new
    ones until it has a lease (``hold``). ``partners``: the maximum number of links of this scheduler.
    ``catch_up_ms``: how long a scheduler that has just started waits for the state of its peers before it
    accepts clients without that state. ``folder``: whether the scheduler saves a snapshot of its replicated
    records in $TMPDIR. ``gang_*``: headers in which a job names its gang, the size of the gang and the job's
    index in the gang.

    ``voters``: the control group, which replaces ``peers`` (docs/control.md). ``regions``: all regions of the
    installation and their zones, to validate locations. ``region`` and ``zone``: the location of this
    scheduler. ``on_lost_by_kind``: overrides ``on_lost`` for the listed kinds of records.
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
            raise ValueError(f"peers: too many entries, at most {MAX_PEERS} are allowed")
        for key, address in (("listen", self.listen), *self.peers.items()):
            if address is not None and not 0 < int(address.rpartition(":")[2]) < 65536:
                raise ValueError(f"{key}: the port of {address!r} is not in the range 1 to 65535")

    def others(self, own: str) -> dict[str, str]:
        """Return the configured peers except the scheduler named ``own``, sorted by name."""
        return {name: self.peers[name] for name in sorted(self.peers) if name != own}

    @property
    def interval_us(self) -> int:
        """The interval between pings on a link: a third of the bound in a full mesh, otherwise a sixth.

        Each link on the path from one scheduler to another adds at most one interval to the age of what the
        second scheduler knows about the first. A path has one link in a full mesh, and at most four among 200
        schedulers. The part of the bound that the intervals do not use is for network delay.
        """
        return self.bound_ms * 1000 // (3 if len(self.peers) <= MAX_FULL_MESH_PEERS else 6)
