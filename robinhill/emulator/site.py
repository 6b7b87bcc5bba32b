"""A small site for emulation: the settings that the platform would provide, and free loopback addresses."""

import contextlib
import random
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

Json = dict[str, Any]
LOOPBACK = "127.0.0.1"
PORTS = range(20_000, 32_000)  # below the system's ephemeral ports, which outgoing connections use


@dataclass(slots=True, frozen=True)
class JobKind:
    """A class of jobs. Times are in milliseconds; ``work_ms`` is the mean run time on a worker of speed 1.

    A job is in time if it is answered within ``aim_ms`` plus ``stretch`` times its own run time.
    """

    name: str
    work_ms: float
    aim_ms: int
    stretch: float
    deadline_ms: int
    worth: float = 1.0
    repeat: str = "retryable"
    share: float = 1.0  # relative share of this class among the requests


# The classes of `robinhill.model.sites` with times about an eighth as long, so that a run of a minute has
# enough jobs.
KINDS = (
    JobKind("member-lookup", 80, 40, 2.5, 1_000, share=0.47),
    JobKind("season-report", 450, 400, 2.0, 3_500, share=0.31),
    JobKind("renewal-charge", 300, 100, 2.5, 3_500, worth=8.0, repeat="fragile", share=0.22),
)


@dataclass(slots=True, frozen=True)
class Site:
    """The parameters that all components of a small installation share."""

    kinds: Sequence[JobKind] = KINDS
    schedulers: int = 1
    cold_s: float = 2.0
    cold_from: float = 0.32
    fall_multiple: float = 3.0
    tip_after_s: float = 1.0
    connect_timeout_ms: int = 200
    max_retry_after_s: float = 60.0
    changes: Json = field(default_factory=dict)  # settings that replace the defaults, by top-level key

    def settings(self, number: int = 0) -> Json:
        """The settings of the scheduler with this index, with the platform's keys and units."""
        classes = [
            {
                "name": k.name, "aim-us": k.aim_ms * 1000, "hard-limit-us": k.deadline_ms * 1000,
                "repeat": k.repeat, "worth": k.worth,
            }
            for k in self.kinds
        ]  # fmt: skip
        given: Json = {
            "areas": ["north"], "shapes": ["std"], "zone": 0, "self-index": number,
            "fleet-size": self.schedulers, "discovery": "subscribe", "classes": classes, "value-by": "work",
            "guarantees": {
                "drain-grace-us": 500_000, "cold-from": self.cold_from, "cold-us": int(self.cold_s * 1e6),
                "fall-multiple": self.fall_multiple, "tip-after-us": int(self.tip_after_s * 1e6),
            },
            "policy-limits": {
                "most-tries": 4, "connect-timeout-us": self.connect_timeout_ms * 1000, "cancelling": True,
                "keepalive-us": 15_000_000, "max-retry-after-us": int(self.max_retry_after_s * 1e6),
                "retry-after": True, "probes": True,
            },
            "prices": {"waste": 0.02},
            "specifics": {"class-stretch": [k.stretch for k in self.kinds], "tells-start": True},
        }  # fmt: skip
        return given | self.changes

    def kind(self, name: str) -> JobKind:
        return next(k for k in self.kinds if k.name == name)

    @property
    def mean_work_ms(self) -> float:
        """The mean run time of a request over all classes, weighted by their shares."""
        return sum(k.work_ms * k.share for k in self.kinds) / sum(k.share for k in self.kinds)


_reserved: dict[int, socket.socket] = {}  # sockets that reserve the ports returned by this process, by port


def free_address() -> str:
    """A loopback address on which nothing listens and whose port is not used by outgoing connections.

    No two calls on this host return the same address, even from different processes. As the caller starts to
    listen on the port only later, the process reserves it until it exits, by an abstract Unix socket named
    after the port. Raises OSError if no port is free.
    """
    for port in random.sample(PORTS, 64):
        if port in _reserved or (reservation := _reserve(port)) is None:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            _reserved[port] = reservation
            return f"{LOOPBACK}:{port}"
        reservation.close()
    raise OSError("none of the 64 ports tried is free")


def _reserve(port: int) -> socket.socket | None:
    """A Unix socket that reserves this port among all processes of the host; None if one exists."""
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0robinhill-port-{port}")
    except OSError:
        reservation.close()
        return None
    return reservation
