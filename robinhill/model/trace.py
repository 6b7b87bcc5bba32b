"""What was asked for: a trace, drawn from a description or recorded, and a description fitted to one."""

from dataclasses import dataclass, field
from itertools import pairwise
from math import erfc, exp, log, pi, sin, sqrt

import numpy as np

from robinhill.model.describe import Description, DescriptionError, JobKind, Traffic, Trouble

S = 1_000_000
TRAFFIC = 1  # the seed's branch


@dataclass(slots=True, frozen=True)
class Asked:
    """A client's wish: when, after the trace's start, and what."""

    number: int
    at_us: int
    kind: str
    tenant: int
    work_us: float  # on a core of speed 1
    deadline_us: int = 0  # 0: its class's
    program: int = -1  # that it needs; -1: none


@dataclass(slots=True)
class Trace:
    """Wishes in the order of their times; ``repairs`` tells what was mended when it was read."""

    asked: list[Asked]
    repairs: list[str] = field(default_factory=list)

    @property
    def seconds(self) -> float:
        return self.asked[-1].at_us / S if self.asked else 0.0


def draw(description: Description, seed: int) -> Trace:
    """A trace of the description's traffic, with its surges; the same for the same seed."""
    traffic, d = description.traffic, description
    rng = np.random.default_rng(np.random.SeedSequence(entropy=seed, spawn_key=(TRAFFIC,)))
    surges = [t for t in d.troubles if t.kind == "surge"]
    peak = traffic.rate_per_s * (1 + traffic.wave) * max([1.0, *(t.size for t in surges)])
    # Thinning (Lewis and Shedler 1979): arrivals of the peak's rate, each kept by the rate of its moment.
    count = int(rng.poisson(peak * d.seconds))
    times = np.sort(rng.uniform(0, d.seconds, count))
    keep = rng.random(count)
    shares = np.array([k.share for k in traffic.kinds])
    kinds = rng.choice(len(traffic.kinds), size=count, p=shares / shares.sum())
    ranks = 1.0 / np.arange(1, traffic.tenants + 1) ** traffic.tenant_skew
    tenants = rng.choice(traffic.tenants, size=count, p=ranks / ranks.sum())
    lengths = rng.standard_normal(count)
    programs = np.full(count, -1)
    if traffic.programs:
        ranks = 1.0 / np.arange(1, traffic.programs + 1) ** traffic.program_skew
        programs = rng.choice(traffic.programs, size=count, p=ranks / ranks.sum())
    asked: list[Asked] = []
    for at, kept, kind, tenant, z, program in zip(
        times, keep, kinds, tenants, lengths, programs, strict=True
    ):
        if kept * peak > rate_at(traffic, surges, float(at)):
            continue
        job: JobKind = traffic.kinds[int(kind)]
        work = job.work_ms * 1000 * relative_length(job, float(z))
        asked.append(Asked(len(asked), int(at * S), job.name, int(tenant), work, program=int(program)))
    return Trace(asked)


def relative_length(job: JobKind, z: float) -> float:
    """A job's length over its class's mean, from a standard normal draw."""
    if job.lengths == "exponential":
        return -log(max(1e-300, erfc(z / sqrt(2)) / 2))
    return exp(job.sigma * z - job.sigma**2 / 2)


def rate_at(traffic: Traffic, surges: list[Trouble], at_s: float) -> float:
    """Requests a second at a moment: the wave, times the surges that are on."""
    rate = traffic.rate_per_s * (1 + traffic.wave * sin(2 * pi * at_s / traffic.wave_s))
    for surge in surges:
        if surge.at_s <= at_s < surge.at_s + surge.for_s:
            rate *= surge.size
    return rate


def mend(asked: list[Asked], longest_gap_s: float = 60.0) -> Trace:
    """A recorded trace made usable: sorted, starting at 0, numbered anew; says what it did.

    A gap longer than ``longest_gap_s`` is an error: nobody can tell whether nothing was asked for, or
    nothing written.
    """
    repairs = []
    out_of_order = sum(a.at_us > b.at_us for a, b in pairwise(asked))
    if out_of_order:
        repairs.append(f"{out_of_order} records were out of order and were sorted by time")
    ordered = sorted(asked, key=lambda a: (a.at_us, a.number))
    if not ordered:
        raise DescriptionError("trace: holds no arrivals")
    start = ordered[0].at_us
    for before, after in pairwise(ordered):
        if after.at_us - before.at_us > longest_gap_s * S:
            at = (before.at_us - start) / S
            raise DescriptionError(
                f"trace: nothing for {(after.at_us - before.at_us) / S:.0f} s after {at:.1f} s: cut it there"
            )
    mended = [
        Asked(n, a.at_us - start, a.kind, a.tenant, a.work_us, a.deadline_us) for n, a in enumerate(ordered)
    ]
    return Trace(mended, repairs)


def fit(trace: Trace, kinds: tuple[JobKind, ...]) -> Traffic:
    """A description of a trace's traffic: rate, shares, mean lengths and their spread, tenants and their
    skew.
    """
    if len(trace.asked) < 10:
        raise DescriptionError(f"trace: {len(trace.asked)} arrivals are too few to describe")
    by_kind: dict[str, list[float]] = {}
    tenants: dict[int, int] = {}
    for a in trace.asked:
        by_kind.setdefault(a.kind, []).append(a.work_us)
        tenants[a.tenant] = tenants.get(a.tenant, 0) + 1
    known = {k.name: k for k in kinds}
    if unknown := set(by_kind) - set(known):
        raise DescriptionError(f"trace: class {sorted(unknown)[0]!r} is not among the classes given")
    fitted = []
    for name, works in by_kind.items():
        logs = [log(max(1.0, w)) for w in works]
        middle = sum(logs) / len(logs)
        sigma = sqrt(sum((x - middle) ** 2 for x in logs) / len(logs))
        old = known[name]
        fitted.append(
            JobKind(
                name, len(works) / len(trace.asked), sum(works) / len(works) / 1000, old.aim_ms,
                old.deadline_ms, min(3.0, sigma), old.stretch, old.worth, old.repeat, old.slots, old.memory,
            )
        )  # fmt: skip
    counts = sorted(tenants.values(), reverse=True)
    return Traffic(
        rate_per_s=len(trace.asked) / max(trace.seconds, 1e-6),
        kinds=tuple(sorted(fitted, key=lambda k: k.name)),
        tenants=len(counts),
        tenant_skew=_skew(counts),
    )


def _skew(counts: list[int]) -> float:
    """The exponent of 1/rank^skew by least squares over the logarithms; 0 for one tenant or equal ones."""
    if len(counts) < 2:
        return 0.0
    x = np.log(np.arange(1, len(counts) + 1))
    y = np.log(np.array(counts, dtype=float))
    return float(min(4.0, max(0.0, -np.polyfit(x, y, 1)[0])))
