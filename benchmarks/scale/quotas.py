"""What tenants' quotas cost at admission, and how much several schedulers admit together for one quota."""

import random
from collections.abc import Sequence

from benchmarks.scale.counting import allocated_bytes, executed_lines, microseconds
from benchmarks.scale.fitting import Point, print_ladder
from robinhill import api
from robinhill.admission.admission import Admission
from robinhill.admission.messages import AdmissionRequest, Admit
from robinhill.admission.options import AdmissionOptions, Limits, Tenant

TENANTS = (10, 50, 190, 1_000, 5_000)
SCHEDULERS = (1, 2, 4, 8)
SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
QUOTA_PER_S = 100.0
ASKED_PER_S = 2_000  # of one tenant over all schedulers: more than any number of them admits
SECONDS = 2
REQUESTS = 200  # in one timing or count
APART_US = 2_000
SETTINGS = api.Settings((api.JobClass(100_000, 5 * SECOND_US, repeat=api.Repeat.SAFE),), reports_start=True)


def name_of(tenant: int) -> str:
    return f"team-{tenant:04}"


class AdmittingScheduler:
    """One scheduler's admission with so many tenants that have quotas; each admitted request ends at once."""

    def __init__(self, tenants: int, seed: int = 7) -> None:
        limits = Limits(requests_per_s=QUOTA_PER_S, requests_burst=QUOTA_PER_S)
        named = {name_of(tenant): Tenant(limits=limits) for tenant in range(tenants)}
        options = AdmissionOptions(enabled=True, tenants=named)
        self.admission = Admission(SETTINGS, options, seed, bytes(16))
        self.tenants = tenants
        self.random = random.Random(seed)
        self.now_us = START_US
        self.number = 0
        self.admitted = 0

    def request(self, tenant: int, after_us: int = 0) -> None:
        """A request of a tenant's comes, runs and ends if it is admitted."""
        self.now_us += after_us
        self.number += 1
        caller = self.admission.directory.find(name_of(tenant), "127.0.0.1", str(self.number))
        ask = AdmissionRequest(self.number, 0, caller, self.now_us, 5 * SECOND_US)
        for action in self.admission.arrive(self.now_us, ask):
            if isinstance(action, Admit):
                self.admitted += 1
                self._run(action.number)

    def _run(self, number: int) -> None:
        self.admission.placed(self.now_us, number)
        self.admission.execution_started(self.now_us, number)
        self.admission.ended(self.now_us, number, True)

    def requests(self) -> None:
        """A count of requests of tenants drawn evenly."""
        for _ in range(REQUESTS):
            self.request(self.random.randrange(self.tenants), APART_US)


def warmed(tenants: int) -> AdmittingScheduler:
    admission = AdmittingScheduler(tenants)
    admission.requests()
    return admission


def request_us(tenants: int) -> float:
    """Microseconds of one request at admission, to its end."""
    return microseconds(warmed(tenants).requests) / REQUESTS


def request_lines(tenants: int) -> float:
    """Executed lines of the same."""
    return executed_lines(warmed(tenants).requests) / REQUESTS


def held_bytes(tenants: int) -> int:
    """Bytes that admission holds for so many tenants."""
    return allocated_bytes(lambda: warmed(tenants))


def admitted_per_s(schedulers: int) -> float:
    """Requests a second that are admitted of one tenant that asks all schedulers in turn, its quota the same
    at each.
    """
    admissions = [AdmittingScheduler(1, seed) for seed in range(schedulers)]
    for number in range(ASKED_PER_S * SECONDS):
        at_us = START_US + number * SECOND_US // ASKED_PER_S
        admission = admissions[number % schedulers]
        admission.request(0, at_us - admission.now_us)
    return sum(admission.admitted for admission in admissions) / SECONDS


def run(sizes: Sequence[int]) -> None:
    """All ladders; ``sizes`` are of tenants, empty for all."""
    counts = sizes or TENANTS
    for title, unit, measure in (
        ("one request at admission", "us", request_us),
        ("one request at admission", "lines", request_lines),
        ("admission's state", "bytes", held_bytes),
    ):
        print_ladder(title, unit, [Point(n, measure(n)) for n in counts], "tenants with quotas")
    points = [Point(n, admitted_per_s(n)) for n in SCHEDULERS]
    print_ladder(
        f"admitted of one tenant whose quota is {QUOTA_PER_S:g} a second, with a burst of as many",
        "requests a second", points, "schedulers",
    )  # fmt: skip
