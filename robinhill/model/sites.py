"""Descriptions of the situations that ship with the program: two sites, without and with faults."""

from robinhill.model.describe import Clients, Description, Fault, Fleet, JobKind, Machine, Traffic

# A site that serves clubs: lookups, reports and renewals on two kinds of workers in two data centres.
KINDS = (
    JobKind("member-lookup", 0.47, 620, 300, 7_500, 0.5, 2.5),
    JobKind("season-report", 0.31, 3_700, 3_000, 25_000, 0.5, 2.0),
    JobKind("renewal-charge", 0.22, 2_500, 750, 25_000, 0.5, 2.5, 8.0, "fragile"),
)
CLUBS_MACHINES = (
    Machine("std-8", 5, speed=(0.85, 1.1)),
    Machine("slow-8", 6, speed=(0.64, 0.86)),
)
CLUBS = Description(
    "clubs", 60.0, Traffic(24.0, KINDS, tenants=20, tenant_skew=0.8, wave=0.1, wave_s=40.0),
    Fleet(CLUBS_MACHINES, schedulers=2, zones=("brisbane", "townsville")), Clients(), warm_s=5.0,
)  # fmt: skip

# The site of an observatory: images are processed on two kinds of workers, behind many schedulers with a few
# requests per second each. Workers have long FIFO queues and execute cancelled jobs; there are no health
# checks. Apart from the ends of their own attempts, schedulers learn of a worker's load only by the reported
# starts of jobs.
FRAME_KINDS = (
    JobKind("night-frame", 0.5, 770, 600, 10_000, stretch=1.75, worth=5.0, lengths="exponential"),
    JobKind("archive-frame", 0.5, 400, 600, 5_000, stretch=1.75, worth=1.0, lengths="exponential"),
)
DOME_MACHINES = (
    Machine("dome-4", 75, cores=4, slots=4, memory=4.0, speed=(1.42, 1.58), queue=48),
    Machine("dome-5", 65, cores=5, slots=5, memory=5.0, speed=(0.92, 1.02), queue=60),
)
OBSERVATORY = Description(
    "observatory", 26.0, Traffic(760.0, FRAME_KINDS, scheduler_skew=0.5, programs=700, program_skew=0.9),
    Fleet(
        DOME_MACHINES, schedulers=200, connect_cost_ms=20.0, most_tries=6, cancel_drops=False, probes=False,
        waste_price=0.06, handshake_price=0.02, keepalive_s=60.0, fetch_ms=250.0,
    ),
    warm_s=2.0,
)  # fmt: skip

OBSERVATORY_SURGE = (Fault("surge", 12, 6, size=1.5),)
FAULTS: dict[str, tuple[Fault, ...]] = {
    "calm": (),
    "silent": (Fault("silent", 15, 20, part=0.17),),
    "surge": (Fault("surge", 20, 6, size=2.2),),
    "slow": (Fault("slow", 20, 10, size=2.0),),
    "release": (Fault("release", 15, 30),),
    "all": (
        Fault("silent", 12, 20, part=0.17), Fault("surge", 20, 6, size=2.0),
        Fault("slow", 30, 10, size=1.8),
    ),
}  # fmt: skip


def site(name: str) -> Description:
    """Return the shipped description with this name. Raises KeyError for a name that is not in `names`."""
    from msgspec.structs import replace

    base, _, fault = name.partition("-")
    if base == "observatory" and fault in ("", "surge"):
        return replace(OBSERVATORY, name=name, troubles=OBSERVATORY_SURGE if fault else ())
    if base != "clubs" or (fault or "calm") not in FAULTS:
        raise KeyError(name)
    return replace(CLUBS, name=name, troubles=FAULTS[fault or "calm"])


def names() -> list[str]:
    with_faults = [f"clubs-{t}" for t in FAULTS if t != "calm"]
    return ["clubs", *with_faults, "observatory", "observatory-surge"]
