"""Descriptions of traffic, fleet and troubles as JSON files: checked structs, errors name the key.

Times are in the units that the keys name. A description is all that a run needs beside a seed; a recorded
trace can stand for its traffic.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Ms = Annotated[float, Meta(ge=0)]


class DescriptionError(ValueError):
    """A description, trace or result that can't be used; says where and why."""


class JobKind(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs. ``work_ms`` is the mean running time on a core of speed 1, lognormal with the spread
    ``sigma`` or exponential.
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
    """What clients ask for. The rate follows a wave of a period; tenants have shares of it, falling as
    1/rank^skew, and so have schedulers and programs. A job needs one program, where there are any.
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
    """What clients do when they are refused or fail: retries with back-off, some heeding Retry-After."""

    retries: Annotated[int, Meta(ge=0, le=100)] = 2
    back_off_ms: Ms = 200.0
    back_off_factor: Annotated[float, Meta(ge=1)] = 2.0
    heed: Share = 0.5


class Machine(Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of worker. ``speed`` is drawn evenly from the range for each one."""

    name: str
    count: Annotated[int, Meta(ge=1, le=100_000)]
    cores: Annotated[int, Meta(ge=1, le=256)] = 8
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    memory: Positive = 8.0
    speed: tuple[float, float] = (1.0, 1.0)
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 16
    connections: Annotated[int, Meta(ge=1)] = 512
    programs: Annotated[int, Meta(ge=1)] = 4  # it keeps so many, the last used ones


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Workers, schedulers, and what lies between them."""

    machines: tuple[Machine, ...]
    schedulers: Annotated[int, Meta(ge=1, le=1000)] = 2
    zones: tuple[str, ...] = ("a",)
    near_ms: Ms = 0.3  # one way within a zone
    far_ms: Ms = 8.0  # and between two
    connect_cost_ms: Ms = 0.5  # work that a new connection costs a worker
    connect_timeout_ms: Positive = 200.0
    cold_s: Positive = 8.8
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.32
    fall_multiple: Positive = 3.0
    tip_after_s: Positive = 1.0
    list_delay_s: tuple[float, float] = (0.5, 2.0)
    drain_returns: bool = True
    fetch_ms: Ms = 0.0  # work to fetch a program that a worker does not have
    cancel_drops: bool = True  # a cancel takes waiting work out of the queue
    probes: bool = True
    waste_price: Annotated[float, Meta(ge=0)] = 0.02
    handshake_price: Annotated[float, Meta(ge=0)] = 0.0
    keepalive_s: Positive = 15.0  # idle connections are closed after it
    max_retry_after_s: Annotated[float, Meta(ge=0)] = 2.0
    most_tries: Annotated[int, Meta(ge=1)] = 4


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong from ``at_s`` for ``for_s``.

    ``part`` is the share of workers (or of schedulers for ``crash``, of a zone's workers for ``partition``)
    that it strikes, ``size`` a factor (``surge``, ``slow``), or a share of
    jobs (``errors``).
    """

    kind: Literal["silent", "surge", "slow", "release", "drain", "crash", "partition", "errors", "discovery"]
    at_s: Ms
    for_s: Positive
    part: Annotated[float, Meta(gt=0, le=1)] = 1.0
    size: Positive = 2.0


class Description(Struct, frozen=True, forbid_unknown_fields=True):
    """One situation: how long it lasts, what is asked for, who serves it and what goes wrong."""

    name: str
    seconds: Positive
    traffic: Traffic
    fleet: Fleet
    clients: Clients = Clients()
    troubles: tuple[Trouble, ...] = ()
    warm_s: Ms = 0.0  # what is asked before counts nowhere

    def __post_init__(self) -> None:
        names = [k.name for k in self.traffic.kinds]
        if not names or len(set(names)) < len(names):
            raise ValueError("traffic.kinds: must name at least one class, and each once")
        for number, machine in enumerate(self.fleet.machines):
            low, high = machine.speed
            if not 0 < low <= high:
                raise ValueError(
                    f"fleet.machines[{number}].speed: must be two numbers above 0, the lower first"
                )
        if not self.fleet.machines:
            raise ValueError("fleet.machines: must hold at least one kind")
        if self.warm_s >= self.seconds:
            raise ValueError("warm_s: must be less than seconds")


def read(path: Path) -> Description:
    """A description from a file; a DescriptionError names the file and the faulty key."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Description)
    except OSError as e:
        raise DescriptionError(f"{path}: can't be read: {e.strerror}") from e
    except (msgspec.ValidationError, msgspec.DecodeError) as e:
        raise DescriptionError(f"{path}: {e}") from e


def write(description: Description) -> bytes:
    return msgspec.json.format(msgspec.json.encode(description), indent=2) + b"\n"
