"""Descriptions of traffic, fleet and faults as JSON files. Errors of their validation name the faulty key.

The suffix of a key is its unit. A run needs only a description and a seed; a recorded trace can replace the
traffic that is drawn from the description.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Ms = Annotated[float, Meta(ge=0)]


class DescriptionError(ValueError):
    """A description, trace or setting that can't be used. The message names the place and the fault."""


class JobKind(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs.

    ``share`` is its share of all arrivals, relative to those of the other classes. ``work_ms`` is the mean
    running time on a core of speed 1, ``lengths`` the distribution of running times, and ``sigma`` the
    spread of a lognormal distribution. A job is served in time if its latency is at most ``aim_ms`` plus
    ``stretch`` times its running time on a core of speed 1. ``worth`` is the value of one core second of a
    job; a ``fragile`` job must not be executed twice.
    """

    name: str
    share: Positive
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    sigma: Annotated[float, Meta(ge=0, le=3)] = 0.5
    stretch: Annotated[float, Meta(ge=0)] = 0.0
    worth: Positive = 1.0
    repeat: Literal["retryable", "fragile"] = "retryable"
    slots: Annotated[int, Meta(ge=1, le=64)] = 1
    memory: Annotated[float, Meta(ge=0)] = 1.0
    lengths: Literal["lognormal", "exponential"] = "lognormal"


class Traffic(Struct, frozen=True, forbid_unknown_fields=True):
    """The arrivals of jobs. Their rate is a sine wave of relative amplitude ``wave`` and period ``wave_s``
    around ``rate_per_s``. The shares of tenants, schedulers and programs in the arrivals fall as 1/rank^skew.
    A job needs one of ``programs`` programs; with 0, jobs need none.
    """

    rate_per_s: Positive
    kinds: tuple[JobKind, ...]
    tenants: Annotated[int, Meta(ge=1, le=10_000)] = 1
    tenant_skew: Annotated[float, Meta(ge=0, le=4)] = 0.0
    wave: Share = 0.0
    wave_s: Positive = 60.0
    scheduler_skew: Annotated[float, Meta(ge=0, le=4)] = 0.0
    programs: Annotated[int, Meta(ge=0, le=100_000)] = 0
    program_skew: Annotated[float, Meta(ge=0, le=4)] = 0.0


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """Retries of clients after a refusal or an error.

    A client waits for an exponential backoff, or with probability ``heed`` for the time in Retry-After.
    """

    retries: Annotated[int, Meta(ge=0, le=100)] = 2
    back_off_ms: Ms = 200.0
    back_off_factor: Annotated[float, Meta(ge=1)] = 2.0
    heed: Share = 0.5


class Machine(Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of worker. The speed of each worker is drawn from a uniform distribution over ``speed``."""

    name: str
    count: Annotated[int, Meta(ge=1, le=100_000)]
    cores: Annotated[int, Meta(ge=1, le=256)] = 8
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    memory: Positive = 8.0
    speed: tuple[float, float] = (1.0, 1.0)
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 16
    connections: Annotated[int, Meta(ge=1)] = 512
    programs: Annotated[int, Meta(ge=1)] = 4  # size of the worker's LRU cache of programs


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Workers, schedulers, the network between them, and settings of the schedulers."""

    machines: tuple[Machine, ...]
    schedulers: Annotated[int, Meta(ge=1, le=1000)] = 2
    zones: tuple[str, ...] = ("a",)
    near_ms: Ms = 0.3  # one-way delay within a zone
    far_ms: Ms = 8.0  # one-way delay between two zones
    connect_cost_ms: Ms = 0.5  # core time that a worker spends on a new connection
    connect_timeout_ms: Positive = 200.0
    cold_s: Positive = 8.8  # duration of a worker's slow start
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.32  # share of its capacity at the start of slow start
    fall_multiple: Positive = 3.0  # a worker in slow start fails if it is sent this multiple of its capacity
    tip_after_s: Positive = 1.0  # time over which the sent work is summed for `fall_multiple`
    list_delay_s: tuple[float, float] = (0.5, 2.0)  # lowest and highest delay of a change of the worker list
    drain_returns: bool = True  # a draining worker returns the jobs in its queue
    fetch_ms: Ms = 0.0  # core time that a worker spends on fetching a program outside its cache
    cancel_drops: bool = True  # a cancelled job is removed from the worker's queue
    probes: bool = True
    waste_price: Annotated[float, Meta(ge=0)] = 0.02
    handshake_price: Annotated[float, Meta(ge=0)] = 0.0
    keepalive_s: Positive = 15.0  # time after which a worker closes an idle connection
    max_retry_after_s: Annotated[float, Meta(ge=0)] = 2.0
    most_tries: Annotated[int, Meta(ge=1)] = 4


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault or a surge of load that begins at ``at_s`` and lasts ``for_s``.

    ``part`` is the share of workers that it affects, or of schedulers for ``crash``; ``surge``, ``partition``
    and ``discovery`` ignore it. ``size`` is the factor of the arrival rate (``surge``) or of the running time
    (``slow``), or the share of jobs that fail (``errors``). A ``silent`` worker has lost its jobs and
    exchanges no messages until it restarts; ``release`` restarts the workers one after another, which kills
    their jobs.
    """

    kind: Literal["silent", "surge", "slow", "release", "drain", "crash", "partition", "errors", "discovery"]
    at_s: Ms
    for_s: Positive
    part: Annotated[float, Meta(gt=0, le=1)] = 1.0
    size: Positive = 2.0


class Description(Struct, frozen=True, forbid_unknown_fields=True):
    """One situation to simulate: its duration, traffic, fleet, clients and faults."""

    name: str
    seconds: Positive
    traffic: Traffic
    fleet: Fleet
    clients: Clients = Clients()
    troubles: tuple[Fault, ...] = ()
    warm_s: Ms = 0.0  # requests that arrive before this time are excluded from the served worth

    def __post_init__(self) -> None:
        names = [k.name for k in self.traffic.kinds]
        if not names or len(set(names)) < len(names):
            raise ValueError("traffic.kinds: must contain at least one class, and each name only once")
        for number, machine in enumerate(self.fleet.machines):
            low, high = machine.speed
            if not 0 < low <= high:
                raise ValueError(
                    f"fleet.machines[{number}].speed: must be two numbers above 0, the lower one first"
                )
        if not self.fleet.machines:
            raise ValueError("fleet.machines: must contain at least one kind")
        if self.warm_s >= self.seconds:
            raise ValueError("warm_s: must be less than seconds, the duration of the situation")


def read(path: Path) -> Description:
    """Read a description from a file. Raises DescriptionError with the file and the faulty key."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Description)
    except OSError as e:
        raise DescriptionError(f"{path}: can't be read: {e.strerror}") from e
    except (msgspec.ValidationError, msgspec.DecodeError) as e:
        raise DescriptionError(f"{path}: {e}") from e


def write(description: Description) -> bytes:
    return msgspec.json.format(msgspec.json.encode(description), indent=2) + b"\n"
