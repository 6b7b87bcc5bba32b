"""Export and import of the decision module's state as JSON values, for a hand-over to a successor process.

This module copies values between records and the types of ``placement.exported_format``; it makes no
decisions.
"""

from collections.abc import Mapping
from math import inf
from typing import Any

from robinhill import api
from robinhill.logic import Balancer
from robinhill.placement import timers
from robinhill.placement.decision_state import UNKNOWN_JOB_US
from robinhill.placement.exported_format import (
    ATTEMPT_KEYS,
    CLIENT_RETRIES_KEYS,
    ESTIMATES_KEYS,
    JOB_KEYS,
    JOB_TIMES_KEYS,
    MEAN_KEYS,
    REQUEST_KEYS,
    RETRY_BUDGET_KEYS,
    SENDS_KEYS,
    SHED_SHARE_KEYS,
    UNBOUND_FACTOR_KEYS,
    WEIGHTED_RATE_KEYS,
    WORKER_KEYS,
    ZONE_KEYS,
    ExportedAttempt,
    ExportedJob,
    ExportedState,
    ExportedWorker,
    Json,
    Keys,
)
from robinhill.placement.records import Attempt, AttemptKey, JobRecord, WorkerRecord, ZoneWait
from robinhill.placement.statistics import DecayingMean


def export_state(balancer: Balancer) -> ExportedState:
    """Export the state of the decision module without its jobs; the balancer is not changed."""
    estimates = balancer.estimates
    own: Json = {}
    for record, keys in _learned_records(balancer):
        own |= _export(record, keys)
    return {
        "own": own,
        "unit": _export(estimates.weighted_time, MEAN_KEYS),
        "kinds": [(number, _export(mean, MEAN_KEYS)) for number, mean in estimates.kinds.items()],
        "zones": [(number, _export(mean, ZONE_KEYS)) for number, mean in estimates.zones.items()],
        "quick": list(estimates.unit_times.items()),
        "served": _export(estimates.served, MEAN_KEYS),
        "seats": {address: _export_worker(worker) for address, worker in balancer.workers.items()},
    }


def import_state(balancer: Balancer, state: Mapping[str, Any]) -> None:
    """Import an ``ExportedState`` that any version of the program has exported.

    The balancer must have received the endpoint list before: exported workers that it does not know are
    skipped.
    """
    estimates = balancer.estimates
    for record, keys in _learned_records(balancer):
        _import(record, keys, state["own"])
    # The exported age weights may have been computed by another version's formula. Because the rate at their
    # last computation is set to 0, this process recomputes them at its first choice of a worker.
    balancer.weights.weighted_rate = 0.0
    _import(estimates.weighted_time, MEAN_KEYS, state["unit"])
    for number, values in state["kinds"]:
        _import(estimates.kinds.setdefault(number, DecayingMean()), MEAN_KEYS, values)
    for number, values in state["zones"]:
        _import(estimates.zone(number), ZONE_KEYS, values)
    estimates.unit_times.update(state["quick"])
    _import(estimates.served, MEAN_KEYS, state.get("served", {}))
    for address, values in state["seats"].items():
        if (worker := balancer.workers.get(address)) is not None:
            _import_worker(worker, values)


def export_job(balancer: Balancer, number: int) -> ExportedJob | None:
    """Remove a job and its attempts from the balancer and return them, for import by another process.

    Returns None if the balancer does not know the job.
    """
    if (job := balancer.jobs.pop(number, None)) is None:
        return None
    keys = [key for key in balancer.attempts if key[0] == number]
    return {
        "request": _export(job.request, REQUEST_KEYS),
        "values": _export(job, JOB_KEYS),
        "flights": [_export_attempt(balancer.attempts.pop(key)) for key in keys],
    }


def import_job(
    balancer: Balancer, now: int, exported: Mapping[str, Any], own: bool = False
) -> list[api.Action]:
    """Import an ``ExportedJob`` of any program version; return the actions that the caller must carry out.

    ``own``: this process had exported the job itself, and takes it back as no other process has accepted it.
    """
    attributes = {key: name for name, key in REQUEST_KEYS.items()}
    request = api.Request(**{attributes[key]: value for key, value in exported["request"].items()})
    job = JobRecord(request, balancer.settings.classes[request.job_class])
    _import(job, JOB_KEYS, exported["values"])
    balancer.jobs[request.job] = job
    for flight in exported["flights"]:
        _import_attempt(balancer, now, job, flight, own)
    actions = balancer.state.actions = []
    if not exported["flights"]:
        balancer.place(now, job)
    return actions


def is_timer_of_job(tag: str, number: int) -> bool:
    """Whether the timer with this tag checks an attempt of this job."""
    timer = timers.parse(tag)
    return timer is not None and timer.job == number


def _learned_records(balancer: Balancer) -> list[tuple[object, Keys]]:
    """The objects whose attributes are exported under the key ``own``, each with the keys of its attributes.

    They are in the order of export.
    """
    return [
        (balancer.state, SENDS_KEYS),
        (balancer.weights, WEIGHTED_RATE_KEYS),
        (balancer.retries, RETRY_BUDGET_KEYS),
        (balancer.overload, SHED_SHARE_KEYS),
        (balancer.weights, UNBOUND_FACTOR_KEYS),
        (balancer.estimates, ESTIMATES_KEYS),
        (balancer.job_times, JOB_TIMES_KEYS),
        (balancer.client_retries, CLIENT_RETRIES_KEYS),
    ]


def _export_worker(worker: WorkerRecord) -> ExportedWorker:
    return {
        "values": _export(worker, WORKER_KEYS),
        "own": _export(worker.own_time, MEAN_KEYS),
        "full": list(worker.class_backoff_until_us.items()),
        "out": len(worker.in_flight),
    }


def _import_worker(worker: WorkerRecord, exported: Mapping[str, Any]) -> None:
    listed_as_unavailable = worker.ejected_until_us == inf
    _import(worker, WORKER_KEYS, exported["values"])
    _import(worker.own_time, MEAN_KEYS, exported["own"])
    worker.class_backoff_until_us = dict(exported["full"])
    # The predecessor's attempts in flight use capacity of the worker, although this process does not know
    # them until `import_job` imports them.
    worker.concurrency_limit = max(1.0, worker.concurrency_limit - exported["out"])
    if listed_as_unavailable or worker.ejected_until_us == inf:
        # An infinite ``ejected_until_us`` means that the worker is not listed as ready. Whether it is ready
        # is read from this process's endpoint list, which is newer than the list of the process that exported
        # the state.
        worker.ejected_until_us = inf if listed_as_unavailable else 0


def _export_attempt(attempt: Attempt) -> ExportedAttempt:
    worker = attempt.worker
    waiting = worker.unstarted_attempt is attempt
    worker.in_flight.discard(attempt.key)
    if waiting:
        worker.unstarted_attempt = None
    return {
        "address": worker.entry.address,
        "attempt": attempt.key[1],
        "waiting": waiting,
        "values": _export(attempt, ATTEMPT_KEYS),
    }


def _import_attempt(
    balancer: Balancer, now: int, job: JobRecord, exported: Mapping[str, Any], own: bool
) -> None:
    worker = balancer.workers.get(exported["address"]) or _removed_worker(exported["address"])
    key: AttemptKey = (job.request.job, exported["attempt"])
    attempt = balancer.attempts[key] = Attempt(key, worker, now, job, 0, -1)
    _import(attempt, ATTEMPT_KEYS, exported["values"])
    worker.in_flight.add(key)
    # `_import_worker` has lowered the limit by 1 for each attempt in flight at the predecessor. This attempt
    # now counts as in flight at this process, so the limit is raised by 1 again. `export_job` does not lower
    # the limit, so the limit is not raised for a job that this process takes back.
    worker.concurrency_limit += 0.0 if own else 1.0
    if exported["waiting"]:
        worker.unstarted_attempt = attempt


def _removed_worker(address: str) -> WorkerRecord:
    """Create a record for a worker that is no longer on the endpoint list; it gets no more jobs."""
    entry = api.Worker(address, state=api.WorkerState.REMOVED)
    return WorkerRecord(entry, 0.0, ZoneWait(), UNKNOWN_JOB_US, ejected_until_us=inf)


def _export(record: object, keys: Keys) -> Json:
    """Return the record's values by exported key; null replaces infinity, which JSON cannot express."""
    values = {key: getattr(record, name) for name, key in keys.items()}
    return {key: None if value == inf else value for key, value in values.items()}


def _import(record: object, keys: Keys, values: Mapping[str, Any]) -> None:
    for name, key in keys.items():
        if key in values:
            value = values[key]
            setattr(record, name, inf if value is None else value)
