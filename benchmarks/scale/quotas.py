"""Cost of tenants' quotas in admission control, and the rate that several schedulers admit for one quota."""

import random
from collections.abc import Sequence

from benchmarks.scale.counting import allocated_bytes, executed_lines, median_cpu_us
from benchmarks.scale.fitting import Point, print_scaling
from robinhill import api
from robinhill.admission.admission import Admission
from robinhill.admission.messages import AdmissionRequest, Admit
from robinhill.admission.options import AdmissionOptions, Limits, Tenant

TENANTS = (10, 50, 190, 1_000, 5_000)
SCHEDULERS = (1, 2, 4, 8)
SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
QUOTA_PER_S = 100.0
OFFERED_PER_S = 2_000  # one tenant's requests to all schedulers; more than the largest number of them admits
DURATION_S = 2
REQUESTS_PER_RUN = 200
REQUEST_INTERVAL_US = 2_000
SETTINGS = api.Settings((api.JobClass(100_000, 5 * SECOND_US, repeat=api.Repeat.SAFE),), reports_start=True)


def tenant_name(tenant: int) -> str:
    return f"team-{tenant:04}"


class AdmittingScheduler:
    """Admission control of one scheduler. Each tenant has a quota; an admitted request ends immediately."""

    def __init__(self, tenants: int, seed: int = 7) -> None:
        limits = Limits(requests_per_s=QUOTA_PER_S, requests_burst=QUOTA_PER_S)
        configured = {tenant_name(tenant): Tenant(limits=limits) for tenant in range(tenants)}
        options = AdmissionOptions(enabled=True, tenants=configured)
        self.admission = Admission(SETTINGS, options, seed, bytes(16))
        self.tenants = tenants
        self.random = random.Random(seed)
        self.now_us = START_US
        self.number = 0
        self.admitted = 0

    def request(self, tenant: int, after_us: int = 0) -> None:
        """Advance the clock by ``after_us``, then handle a tenant's request, with its end if admitted."""
        self.now_us += after_us
        self.number += 1
        caller = self.admission.directory.find(tenant_name(tenant), "127.0.0.1", str(self.number))
        message = AdmissionRequest(self.number, 0, caller, self.now_us, 5 * SECOND_US)
        for action in self.admission.arrive(self.now_us, message):
            if isinstance(action, Admit):
                self.admitted += 1
                self._run(action.number)

    def _run(self, number: int) -> None:
        self.admission.placed(self.now_us, number)
        self.admission.execution_started(self.now_us, number)
        self.admission.ended(self.now_us, number, True)

    def run_requests(self) -> None:
        """Handle `REQUESTS_PER_RUN` requests, each of a tenant that is drawn uniformly at random."""
        for _ in range(REQUESTS_PER_RUN):
            self.request(self.random.randrange(self.tenants), REQUEST_INTERVAL_US)


def warmed_up_scheduler(tenants: int) -> AdmittingScheduler:
    scheduler = AdmittingScheduler(tenants)
    scheduler.run_requests()
    return scheduler


def request_us(tenants: int) -> float:
    """Microseconds of one request in admission control, from its arrival to its end."""
    return median_cpu_us(warmed_up_scheduler(tenants).run_requests) / REQUESTS_PER_RUN


def request_lines(tenants: int) -> float:
    """Python lines executed for one request in admission control, from its arrival to its end."""
    return executed_lines(warmed_up_scheduler(tenants).run_requests) / REQUESTS_PER_RUN


def state_bytes(tenants: int) -> int:
    """Bytes that admission control allocates with ``tenants`` tenants."""
    return allocated_bytes(lambda: warmed_up_scheduler(tenants))


def admitted_per_s(schedulers: int) -> float:
    """Admitted requests a second of one tenant that sends to all schedulers in rotation.

    Each scheduler applies the full quota of the tenant.
    """
    instances = [AdmittingScheduler(1, seed) for seed in range(schedulers)]
    for number in range(OFFERED_PER_S * DURATION_S):
        at_us = START_US + number * SECOND_US // OFFERED_PER_S
        scheduler = instances[number % schedulers]
        scheduler.request(0, at_us - scheduler.now_us)
    return sum(scheduler.admitted for scheduler in instances) / DURATION_S


def run(sizes: Sequence[int]) -> None:
    """Print all figures; ``sizes`` are numbers of tenants, by default `TENANTS`."""
    counts = sizes or TENANTS
    for title, unit, measure in (
        ("one request in admission control", "us", request_us),
        ("one request in admission control", "lines", request_lines),
        ("state of admission control", "bytes", state_bytes),
    ):
        print_scaling(title, unit, [Point(n, measure(n)) for n in counts], "tenants with quotas")
    points = [Point(n, admitted_per_s(n)) for n in SCHEDULERS]
    print_scaling(
        f"admitted requests of one tenant with a quota of {QUOTA_PER_S:g}/s and a burst of as many",
        "requests/s", points, "schedulers",
    )  # fmt: skip
