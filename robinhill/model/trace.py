"""Traces of requests: draw one from a description, repair a recorded one, fit a description to one."""

from dataclasses import dataclass, field
from itertools import pairwise
from math import erfc, exp, log, pi, sin, sqrt

import numpy as np

from robinhill.model.describe import Description, DescriptionError, Fault, JobKind, Traffic

S = 1_000_000
TRAFFIC = 1  # spawn key of the random stream of arrivals; the other keys are in world.py


@dataclass(slots=True, frozen=True)
class TracedRequest:
    """One request of a trace; ``at_us`` is the time since the trace's start."""

    number: int
    at_us: int
    kind: str
    tenant: int
    work_us: float  # running time on a core of speed 1
    deadline_us: int = 0  # 0: the deadline of its class
    program: int = -1  # number of the program that the job needs; -1: none


@dataclass(slots=True)
class Trace:
    """Requests in the order of their times; ``repairs`` describes the repairs of a recorded trace."""

    requests: list[TracedRequest]
    repairs: list[str] = field(default_factory=list)

    @property
    def seconds(self) -> float:
        return self.requests[-1].at_us / S if self.requests else 0.0


def draw(description: Description, seed: int) -> Trace:
    """Draw a trace of the description's traffic with its surges. The same seed gives the same trace."""
    traffic, d = description.traffic, description
    rng = np.random.default_rng(np.random.SeedSequence(entropy=seed, spawn_key=(TRAFFIC,)))
    surges = [t for t in d.troubles if t.kind == "surge"]
    peak = traffic.rate_per_s * (1 + traffic.wave) * max([1.0, *(t.size for t in surges)])
    # Thinning (Lewis and Shedler 1979): draw arrivals at the peak rate, and keep each one with a probability
    # equal to the rate at its time divided by the peak rate.
    count = int(rng.poisson(peak * d.seconds))
    times = np.sort(rng.uniform(0, d.seconds, count))
    thinning_draws = rng.random(count)
    shares = np.array([k.share for k in traffic.kinds])
    kinds = rng.choice(len(traffic.kinds), size=count, p=shares / shares.sum())
    ranks = 1.0 / np.arange(1, traffic.tenants + 1) ** traffic.tenant_skew
    tenants = rng.choice(traffic.tenants, size=count, p=ranks / ranks.sum())
    lengths = rng.standard_normal(count)
    programs = np.full(count, -1)
    if traffic.programs:
        ranks = 1.0 / np.arange(1, traffic.programs + 1) ** traffic.program_skew
        programs = rng.choice(traffic.programs, size=count, p=ranks / ranks.sum())
    requests: list[TracedRequest] = []
    for at, thinning_draw, kind, tenant, z, program in zip(
        times, thinning_draws, kinds, tenants, lengths, programs, strict=True
    ):
        if thinning_draw * peak > rate_at(traffic, surges, float(at)):
            continue
        job: JobKind = traffic.kinds[int(kind)]
        work = job.work_ms * 1000 * relative_length(job, float(z))
        requests.append(
            TracedRequest(len(requests), int(at * S), job.name, int(tenant), work, program=int(program))
        )
    return Trace(requests)


def relative_length(job: JobKind, z: float) -> float:
    """Return a job's length relative to its class's mean. ``z`` is a standard normal draw."""
    if job.lengths == "exponential":
        return -log(max(1e-300, erfc(z / sqrt(2)) / 2))
    return exp(job.sigma * z - job.sigma**2 / 2)


def rate_at(traffic: Traffic, surges: list[Fault], at_s: float) -> float:
    """Return the requests per second at a time: the sine wave times the factors of all active surges."""
    rate = traffic.rate_per_s * (1 + traffic.wave * sin(2 * pi * at_s / traffic.wave_s))
    for surge in surges:
        if surge.at_s <= at_s < surge.at_s + surge.for_s:
            rate *= surge.size
    return rate


def repair_trace(requests: list[TracedRequest], longest_gap_s: float = 60.0) -> Trace:
    """Sort recorded requests by time, shift their times to start at 0, and number them anew.

    The returned trace lists these repairs. Raises DescriptionError for an empty trace and for a gap longer
    than ``longest_gap_s``, as it could mean either that no request arrived or that recording was interrupted.
    """
    repairs = []
    out_of_order = sum(a.at_us > b.at_us for a, b in pairwise(requests))
    if out_of_order:
        repairs.append(f"{out_of_order} records were out of order and were sorted by time")
    ordered = sorted(requests, key=lambda a: (a.at_us, a.number))
    if not ordered:
        raise DescriptionError("trace: contains no arrivals")
    start = ordered[0].at_us
    for before, after in pairwise(ordered):
        if after.at_us - before.at_us > longest_gap_s * S:
            at = (before.at_us - start) / S
            raise DescriptionError(
                f"trace: contains nothing for {(after.at_us - before.at_us) / S:.0f} s after {at:.1f} s,"
                " so recording may have been interrupted; cut the trace there"
            )
    repaired = [
        TracedRequest(n, a.at_us - start, a.kind, a.tenant, a.work_us, a.deadline_us)
        for n, a in enumerate(ordered)
    ]
    return Trace(repaired, repairs)


def fit(trace: Trace, kinds: tuple[JobKind, ...]) -> Traffic:
    """Fit a description to a trace's traffic: the rate, the share, mean length and spread of each class, and
    the number of tenants with their skew. Raises DescriptionError for fewer than ten arrivals or for a class
    that is not in ``kinds``.
    """
    if len(trace.requests) < 10:
        raise DescriptionError(f"trace: {len(trace.requests)} arrivals are too few to fit; 10 are needed")
    by_kind: dict[str, list[float]] = {}
    tenants: dict[int, int] = {}
    for a in trace.requests:
        by_kind.setdefault(a.kind, []).append(a.work_us)
        tenants[a.tenant] = tenants.get(a.tenant, 0) + 1
    known = {k.name: k for k in kinds}
    if unknown := set(by_kind) - set(known):
        raise DescriptionError(
            f"trace: class {sorted(unknown)[0]!r} is not among the classes of the description"
        )
    fitted = []
    for name, lengths in by_kind.items():
        logs = [log(max(1.0, w)) for w in lengths]
        mean_log = sum(logs) / len(logs)
        sigma = sqrt(sum((x - mean_log) ** 2 for x in logs) / len(logs))
        kind = known[name]
        fitted.append(
            JobKind(
                name, len(lengths) / len(trace.requests), sum(lengths) / len(lengths) / 1000, kind.aim_ms,
                kind.deadline_ms, min(3.0, sigma), kind.stretch, kind.worth, kind.repeat, kind.slots,
                kind.memory,
            )
        )  # fmt: skip
    counts = sorted(tenants.values(), reverse=True)
    return Traffic(
        rate_per_s=len(trace.requests) / max(trace.seconds, 1e-6),
        kinds=tuple(sorted(fitted, key=lambda k: k.name)),
        tenants=len(counts),
        tenant_skew=_skew(counts),
    )


def _skew(counts: list[int]) -> float:
    """Fit the exponent of 1/rank^skew by least squares on logarithms; 0 for one tenant or equal counts."""
    if len(counts) < 2:
        return 0.0
    x = np.log(np.arange(1, len(counts) + 1))
    y = np.log(np.array(counts, dtype=float))
    return float(min(4.0, max(0.0, -np.polyfit(x, y, 1)[0])))
