"""State of the decision module as plain JSON values, so that a successor process can go on with it.

This module owns the keys of that format. It decides nothing. Two processes of a scheduler may be of different
versions: each imports the keys that it knows and ignores the others, so a key never changes its meaning.
"""

from collections.abc import Mapping
from math import inf
from typing import Any, TypedDict

from robinhill import api
from robinhill.logic import Balancer
from robinhill.placement import timers
from robinhill.placement.decision_state import UNKNOWN_JOB_US
from robinhill.placement.records import Attempt, AttemptKey, JobRecord, WorkerRecord, ZoneWait
from robinhill.placement.statistics import DecayingMean

Json = dict[str, Any]
Keys = Mapping[str, str]

# Key of the format by attribute. A renamed attribute keeps its key.
SENDS: Keys = {"sends": "sends"}
WEIGHTED_RATE: Keys = {"weighted_rate": "priced_rate"}
RETRY_BUDGET: Keys = {"budget": "budget"}
SHED_SHARE: Keys = {"shed_share": "shed"}
UNBOUND_FACTOR: Keys = {"unbound_factor": "spare"}
ESTIMATES: Keys = {
    "rate_updated_us": "rate_us",
    "started_us": "began_us",
    "rate": "rate",
    "mean_priority_weight": "worth",
    "requested_us": "asked_us",
    "unbound_us": "free_us",
}
CLIENT_RETRIES: Keys = {"max_time_left_us": "full_us", "unretried_answers": "given_up"}
TIMES: Keys = {
    "mean_us": "mean_us",
    "class_mean_us": "class_us",
    "class_baseline_us": "usual_us",
    "mean_hint_us": "hint_us",
}
MEAN: Keys = {"value": "value", "count": "count", "at_us": "at_us"}
ZONE: Keys = {**MEAN, "cost_factor": "factor", "new_connection_factor": "fresh"}
WORKER: Keys = {
    "tie_breaker": "rank",
    "job_time_us": "time_us",
    "last_send": "last",
    "age_weight": "lnq",
    "slow_start_until_us": "cold_us",
    "ejected_until_us": "shut_us",
    "concurrency_limit": "limit",
    "min_start_delay_us": "base_us",
    "own_unit_time": "quick",
    "unit_time": "unit",
    "failure_share": "errors",
    "error_share": "failed",
    "consecutive_ejections": "faults",
    "serves_bound_classes": "wanted",
    "last_response_us": "heard_us",
    "last_completion_us": "done_us",
    "suspected_until_us": "doubt_us",
    "health_check_since_us": "asked_us",
    "failed_health_checks": "unanswered",
    "backoff_until_us": "rest_us",
    "readmitted_us": "back_us",
    "slow_start_credit": "credit",
    "slow_start_credit_us": "credit_us",
    "connection_used_us": "idle_us",
}
JOB: Keys = {
    "queue_deadline_us": "until_us",
    "client_deadline_us": "end_us",
    "objective_us": "aim_us",
    "attempts": "tries",
    "attempts_in_flight": "pending",
    "may_have_run": "ran",
    "group": "group",
    "group_until_us": "group_until_us",
    "order": "order",
    "latest_start_us": "late_us",
}
ATTEMPT: Keys = {
    "sent_us": "sent_us",
    "in_flight_at_send": "others",
    "group": "group",
    "cancel_requested": "dropped",
    "last_progress_us": "heard_us",
}
REQUEST: Keys = {
    "job": "job",
    "job_class": "job_class",
    "time_left_us": "time_left_us",
    "tenant": "tenant",
    "work_hint_us": "work_hint_us",
    "client_repeat": "client_repeat",
    "group": "group",
    "group_until_us": "group_until_us",
}


class ExportedWorker(TypedDict):
    """What is known of one worker; ``full`` has a pair of class and end of back-off, ``out`` a count."""

    values: Json
    own: Json
    full: list[tuple[int, int]]
    out: int


class ExportedState(TypedDict):
    """What the module has learned of workers and of jobs in general.

    Pairs begin with the number of a kind of machine or of a zone.
    """

    own: Json
    unit: Json
    kinds: list[tuple[int, Json]]
    zones: list[tuple[int, Json]]
    quick: list[tuple[int, float]]
    served: Json
    seats: dict[str, ExportedWorker]


class ExportedAttempt(TypedDict):
    """An attempt in flight; ``waiting`` while its start has not been reported."""

    address: str
    attempt: int
    waiting: bool
    values: Json


class ExportedJob(TypedDict):
    """A job and its attempts in flight."""

    request: Json
    values: Json
    flights: list[ExportedAttempt]


def export_state(balancer: Balancer) -> ExportedState:
    """What the module has learned of workers and of jobs in general."""
    estimates = balancer.estimates
    own: Json = {}
    for record, keys in _learned_records(balancer):
        own |= _export(record, keys)
    return {
        "own": own,
        "unit": _export(estimates.weighted_time, MEAN),
        "kinds": [(number, _export(mean, MEAN)) for number, mean in estimates.kinds.items()],
        "zones": [(number, _export(mean, ZONE)) for number, mean in estimates.zones.items()],
        "quick": list(estimates.unit_times.items()),
        "served": _export(estimates.served, MEAN),
        "seats": {address: _export_worker(worker) for address, worker in balancer.workers.items()},
    }


def import_state(balancer: Balancer, state: Mapping[str, Any]) -> None:
    """Go on from an ``ExportedState`` of any version. The endpoint list must be known by then."""
    estimates = balancer.estimates
    for record, keys in _learned_records(balancer):
        _import(record, keys, state["own"])
    balancer.weights.weighted_rate = (
        0.0  # so that this version computes its own age weights at the first choice
    )
    _import(estimates.weighted_time, MEAN, state["unit"])
    for number, values in state["kinds"]:
        _import(estimates.kinds.setdefault(number, DecayingMean()), MEAN, values)
    for number, values in state["zones"]:
        _import(estimates.zone(number), ZONE, values)
    estimates.unit_times.update(state["quick"])
    _import(estimates.served, MEAN, state.get("served", {}))
    for address, values in state["seats"].items():
        if (worker := balancer.workers.get(address)) is not None:
            _import_worker(worker, values)


def export_job(balancer: Balancer, number: int) -> ExportedJob | None:
    """Remove a job and its attempts, for another process to go on with; None if there is no such job."""
    if (job := balancer.jobs.pop(number, None)) is None:
        return None
    keys = [key for key in balancer.attempts if key[0] == number]
    return {
        "request": _export(job.request, REQUEST),
        "values": _export(job, JOB),
        "flights": [_export_attempt(balancer.attempts.pop(key)) for key in keys],
    }


def import_job(
    balancer: Balancer, now: int, exported: Mapping[str, Any], own: bool = False
) -> list[api.Action]:
    """Take over an ``ExportedJob`` of any version; return the actions that follow.

    ``own``: this process exported the job, and no other has taken it.
    """
    attributes = {key: name for name, key in REQUEST.items()}
    request = api.Request(**{attributes[key]: value for key, value in exported["request"].items()})
    job = JobRecord(request, balancer.settings.classes[request.job_class])
    _import(job, JOB, exported["values"])
    balancer.jobs[request.job] = job
    for flight in exported["flights"]:
        _import_attempt(balancer, now, job, flight, own)
    actions = balancer.state.actions = []
    if not exported["flights"]:
        balancer.place(now, job)
    return actions


def is_timer_of_job(tag: str, number: int) -> bool:
    """Whether a timer is about an attempt of this job."""
    timer = timers.parse(tag)
    return timer is not None and timer.job == number


def _learned_records(balancer: Balancer) -> list[tuple[object, Keys]]:
    """Who has learned what, in the order of the format's keys."""
    return [
        (balancer.state, SENDS),
        (balancer.weights, WEIGHTED_RATE),
        (balancer.retries, RETRY_BUDGET),
        (balancer.overload, SHED_SHARE),
        (balancer.weights, UNBOUND_FACTOR),
        (balancer.estimates, ESTIMATES),
        (balancer.job_times, TIMES),
        (balancer.client_retries, CLIENT_RETRIES),
    ]


def _export_worker(worker: WorkerRecord) -> ExportedWorker:
    return {
        "values": _export(worker, WORKER),
        "own": _export(worker.own_time, MEAN),
        "full": list(worker.class_backoff_until_us.items()),
        "out": len(worker.in_flight),
    }


def _import_worker(worker: WorkerRecord, exported: Mapping[str, Any]) -> None:
    listed_as_unavailable = worker.ejected_until_us == inf
    _import(worker, WORKER, exported["values"])
    _import(worker.own_time, MEAN, exported["own"])
    worker.class_backoff_until_us = dict(exported["full"])
    # Attempts of the other process take capacity there until `import_job` brings them here.
    worker.concurrency_limit = max(1.0, worker.concurrency_limit - exported["out"])
    if listed_as_unavailable or worker.ejected_until_us == inf:  # the endpoint list here is newer
        worker.ejected_until_us = inf if listed_as_unavailable else 0


def _export_attempt(attempt: Attempt) -> ExportedAttempt:
    worker = attempt.worker
    waiting = worker.waiting is attempt
    worker.in_flight.discard(attempt.key)
    if waiting:
        worker.waiting = None
    return {
        "address": worker.entry.address,
        "attempt": attempt.key[1],
        "waiting": waiting,
        "values": _export(attempt, ATTEMPT),
    }


def _import_attempt(
    balancer: Balancer, now: int, job: JobRecord, exported: Mapping[str, Any], own: bool
) -> None:
    worker = balancer.workers.get(exported["address"]) or _removed_worker(exported["address"])
    key: AttemptKey = (job.request.job, exported["attempt"])
    attempt = balancer.attempts[key] = Attempt(key, worker, now, job, 0, -1)
    _import(attempt, ATTEMPT, exported["values"])
    worker.in_flight.add(key)
    worker.concurrency_limit += 0.0 if own else 1.0  # taken off in `_import_worker`, not in `export_job`
    if exported["waiting"]:
        worker.waiting = attempt


def _removed_worker(address: str) -> WorkerRecord:
    """A record for a worker that is no longer on the endpoint list."""
    entry = api.Worker(address, state=api.WorkerState.GONE)
    return WorkerRecord(entry, 0.0, ZoneWait(), UNKNOWN_JOB_US, ejected_until_us=inf)


def _export(record: object, keys: Keys) -> Json:
    """The record's values by key; JSON has no infinity, so null stands for it."""
    values = {key: getattr(record, name) for name, key in keys.items()}
    return {key: None if value == inf else value for key, value in values.items()}


def _import(record: object, keys: Keys, values: Mapping[str, Any]) -> None:
    for name, key in keys.items():
        if key in values:
            value = values[key]
            setattr(record, name, inf if value is None else value)
