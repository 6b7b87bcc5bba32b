"""Situations that ship with the program, as descriptions."""

from robinhill.model.describe import Clients, Description, Fleet, JobKind, Machine, Traffic, Trouble

# A day of a site of clubs: lookups, reports and renewals on two kinds of workers in two data centres.
KINDS = (
    JobKind("member-lookup", 0.47, 620, 300, 7_500, 0.5, 2.5),
    JobKind("season-report", 0.31, 3_700, 3_000, 25_000, 0.5, 2.0),
    JobKind("renewal-charge", 0.22, 2_500, 750, 25_000, 0.5, 2.5, 8.0, "fragile"),
)
MACHINES = (
    Machine("std-8", 5, speed=(0.85, 1.1)),
    Machine("slow-8", 6, speed=(0.64, 0.86)),
)
CLUBS = Description(
    "clubs", 60.0, Traffic(24.0, KINDS, tenants=20, tenant_skew=0.8, wave=0.1, wave_s=40.0),
    Fleet(MACHINES, schedulers=2, zones=("brisbane", "townsville")), Clients(), warm_s=5.0,
)  # fmt: skip

# A site of telescopes: frames are reduced on two kinds of workers, behind many schedulers of a few requests a
# second each. Long queues in order, cancels that stop nothing, no word of load but a job's start.
FRAMES = (
    JobKind("night-frame", 0.5, 770, 600, 10_000, stretch=1.75, worth=5.0, lengths="exponential"),
    JobKind("archive-frame", 0.5, 400, 600, 5_000, stretch=1.75, worth=1.0, lengths="exponential"),
)
DOMES = (
    Machine("dome-4", 75, cores=4, slots=4, memory=4.0, speed=(1.42, 1.58), queue=48),
    Machine("dome-5", 65, cores=5, slots=5, memory=5.0, speed=(0.92, 1.02), queue=60),
)
OBSERVATORY = Description(
    "observatory", 26.0, Traffic(760.0, FRAMES, scheduler_skew=0.5, programs=700, program_skew=0.9),
    Fleet(
        DOMES, schedulers=200, connect_cost_ms=20.0, most_tries=6, cancel_drops=False, probes=False,
        waste_price=0.06, handshake_price=0.02, keepalive_s=60.0, fetch_ms=250.0,
    ),
    warm_s=2.0,
)  # fmt: skip

SURGE_AT_NIGHT = (Trouble("surge", 12, 6, size=1.5),)
TROUBLES: dict[str, tuple[Trouble, ...]] = {
    "calm": (),
    "silent": (Trouble("silent", 15, 20, part=0.17),),
    "surge": (Trouble("surge", 20, 6, size=2.2),),
    "slow": (Trouble("slow", 20, 10, size=2.0),),
    "release": (Trouble("release", 15, 30),),
    "all": (
        Trouble("silent", 12, 20, part=0.17), Trouble("surge", 20, 6, size=2.0),
        Trouble("slow", 30, 10, size=1.8),
    ),
}  # fmt: skip


def site(name: str) -> Description:
    """A shipped situation by its name, one of ``names()``."""
    from msgspec.structs import replace

    base, _, trouble = name.partition("-")
    if base == "observatory" and trouble in ("", "surge"):
        return replace(OBSERVATORY, name=name, troubles=SURGE_AT_NIGHT if trouble else ())
    if base != "clubs" or (trouble or "calm") not in TROUBLES:
        raise KeyError(name)
    return replace(CLUBS, name=name, troubles=TROUBLES[trouble or "calm"])


def names() -> list[str]:
    troubled = [f"clubs-{t}" for t in TROUBLES if t != "calm"]
    return ["clubs", *troubled, "observatory", "observatory-surge"]
