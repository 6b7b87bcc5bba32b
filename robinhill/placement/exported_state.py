"""The module's state as plain values, so that a successor process can go on with it.

Nothing here decides. Values go by name: processes of different versions take what both of them know.
"""

from collections.abc import Mapping
from dataclasses import fields
from math import inf
from typing import Any

from robinhill import api
from robinhill.logic import UNKNOWN_JOB_US, Balancer
from robinhill.placement import timers
from robinhill.placement.records import Attempt, JobRecord, WorkerRecord
from robinhill.placement.statistics import Mean, Weighed

Json = dict[str, Any]
Names = Mapping[str, str]

# Names on the link, by attribute: they stay as older versions know them. Of the module as a whole, of its
# estimates, their job times and clients' tries; means by number (of kind or zone) apart.
LEARNED = {
    "sends": "sends",
    "weighted_rate": "priced_rate",
    "retry_budget": "budget",
    "shed": "shed",
    "unbound_factor": "spare",
}
ESTIMATES = {
    "rate_us": "rate_us",
    "began_us": "began_us",
    "rate": "rate",
    "mean_worth": "worth",
    "requested_us": "asked_us",
    "unbound_us": "free_us",
}
TRIES = {"longest_left_us": "full_us", "given_up": "given_up"}
TIMES = {"mean_us": "mean_us", "class_us": "class_us", "usual_us": "usual_us", "hint_us": "hint_us"}

# The same for attributes of records that have another name on the link.
WORKER = {
    "last_send": "last",
    "age_weight": "lnq",
    "cold_until_us": "cold_us",
    "shut_until_us": "shut_us",
    "shortest_start_us": "base_us",
    "own_unit_time": "quick",
    "unit_time": "unit",
    "failure_share": "errors",
    "error_share": "failed",
    "ejections": "faults",
    "for_bound": "wanted",
    "doubt_until_us": "doubt_us",
    "probed_us": "asked_us",
    "rest_until_us": "rest_us",
    "connection_us": "idle_us",
}
JOB = {"hold_until_us": "until_us", "late_start_us": "late_us"}
ATTEMPT = {"withdrawn": "dropped"}
SAME: Names = {}


def _scalars(record: object, names: Names = SAME) -> Json:
    """The numbers and flags of one of the module's records; without end is null in JSON."""
    values = {f.name: getattr(record, f.name) for f in fields(record)}  # type: ignore[arg-type]
    return {
        names.get(name, name): None if value == inf else value
        for name, value in values.items()
        if isinstance(value, int | float | bool)
    }


def _named(record: object, names: Names) -> Json:
    return {on_link: getattr(record, name) for name, on_link in names.items()}


def _set(record: object, values: Json, names: Names = SAME) -> None:
    attributes = {on_link: name for name, on_link in names.items()}
    for on_link, value in values.items():
        name = attributes.get(on_link, on_link)
        if hasattr(record, name):
            setattr(record, name, inf if value is None else value)


def learned(balancer: Balancer) -> Json:
    """What it has learned of workers and of jobs as such."""
    estimates = balancer.estimates
    return {
        "own": _named(balancer, LEARNED)
        | _named(estimates, ESTIMATES)
        | _named(estimates.jobs, TIMES)
        | _named(balancer.client_tries, TRIES),
        "unit": _scalars(estimates.weighted_time),
        "kinds": [[number, _scalars(mean)] for number, mean in estimates.kinds.items()],
        "zones": [[number, _scalars(mean)] for number, mean in estimates.zones.items()],
        "quick": list(estimates.unit_times.items()),
        "served": _scalars(estimates.served),
        "seats": {
            address: {
                "values": _scalars(worker, WORKER),
                "own": _scalars(worker.own_time),
                "full": list(worker.full_until_us.items()),
                "out": len(worker.out),
            }
            for address, worker in balancer.workers.items()
        },
    }


def recall(balancer: Balancer, told: Json) -> None:
    """Go on from there; to be called once the list is known."""
    estimates = balancer.estimates
    for record, names in (
        (balancer, LEARNED),
        (estimates, ESTIMATES),
        (estimates.jobs, TIMES),
        (balancer.client_tries, TRIES),
    ):
        values = {on_link: told["own"][on_link] for on_link in names.values() if on_link in told["own"]}
        _set(record, values, names)
    balancer.weighted_rate = 0.0  # so that ages get the weights of this version at the first choice
    _set(estimates.weighted_time, told["unit"])
    for number, values in told["kinds"]:
        _set(estimates.kinds.setdefault(number, Mean()), values)
    for number, values in told["zones"]:
        _set(estimates.zone(number), values)
    estimates.unit_times.update(told["quick"])
    _set(estimates.served, told.get("served", {}))
    for address, values in told["seats"].items():
        if (worker := balancer.workers.get(address)) is None:
            continue
        left_out = worker.shut_until_us == inf
        _set(worker, values["values"], WORKER)
        _set(worker.own_time, values["own"])
        worker.full_until_us = dict(values["full"])
        # What the other process has out there takes room, until it comes here with it (`resume`).
        worker.limit = max(1.0, worker.limit - values["out"])
        if left_out or worker.shut_until_us == inf:  # the list's word on leaving is newer
            worker.shut_until_us = inf if left_out else 0


def release(balancer: Balancer, number: int) -> Json | None:
    """Let a job go to another process: it and its attempt are forgotten here."""
    if (job := balancer.jobs.pop(number, None)) is None:
        return None
    attempts = []
    for key in [key for key in balancer.attempts if key[0] == number]:
        attempt = balancer.attempts.pop(key)
        worker, waiting = attempt.worker, attempt.worker.waiting is attempt
        worker.out.discard(key)
        worker.waiting = None if waiting else worker.waiting
        there = {"address": worker.entry.address, "attempt": key[1], "waiting": waiting}
        attempts.append(there | {"values": _scalars(attempt, ATTEMPT)})
    request = {name: getattr(job.request, name) for name in api.Request.__slots__}
    return {"request": request, "values": _scalars(job, JOB), "flights": attempts}


def resume(balancer: Balancer, now: int, told: Json, own: bool = False) -> list[api.Action]:
    """Take a job that another process has let go, or an ``own`` one back; what is to be done for it."""
    request = api.Request(**told["request"])
    job = JobRecord(request, balancer.settings.classes[request.job_class])
    _set(job, told["values"], JOB)
    number = job.request.job
    balancer.jobs[number] = job
    for there in told["flights"]:
        worker = balancer.workers.get(there["address"])
        if worker is None:  # it has left the list
            gone = api.Worker(there["address"], state=api.WorkerState.GONE)
            worker = WorkerRecord(gone, 0.0, Weighed(), UNKNOWN_JOB_US, shut_until_us=inf)
        key = (number, there["attempt"])
        attempt = balancer.attempts[key] = Attempt(key, worker, now, job, 0, -1)
        _set(attempt, there["values"], ATTEMPT)
        worker.out.add(key)
        worker.limit += 0.0 if own else 1.0  # `recall` took that room away; `release` did not
        if there["waiting"]:
            worker.waiting = attempt
    balancer.actions = []
    if not told["flights"]:
        balancer.place(now, job)
    return balancer.actions


def concerns(tag: str, number: int) -> bool:
    """Whether a timer is about this job."""
    timer = timers.read(tag)
    return timer is not None and timer.job == number
