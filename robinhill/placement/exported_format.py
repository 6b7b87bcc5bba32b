"""The format of the exported state of the decision module (robinhill.logic): its keys and object types.

A process exports the state at a hand-over, and its successor imports it. The two may be of different program
versions, and each ignores keys that it does not know. So a key never changes its meaning, and a renamed
attribute keeps its key.
"""

from collections.abc import Mapping
from typing import Any, TypedDict

Json = dict[str, Any]
Keys = Mapping[str, str]

# Each mapping belongs to one object, and maps the names of its attributes to the keys of the exported values.
SENDS_KEYS: Keys = {"sends": "sends"}
WEIGHTED_RATE_KEYS: Keys = {"weighted_rate": "priced_rate"}
RETRY_BUDGET_KEYS: Keys = {"budget": "budget"}
SHED_SHARE_KEYS: Keys = {"shed_share": "shed"}
UNBOUND_FACTOR_KEYS: Keys = {"unbound_factor": "spare"}
ESTIMATES_KEYS: Keys = {
    "rate_updated_us": "rate_us",
    "started_us": "began_us",
    "rate": "rate",
    "mean_priority_weight": "worth",
    "requested_us": "asked_us",
    "unbound_us": "free_us",
}
CLIENT_RETRIES_KEYS: Keys = {"max_time_left_us": "full_us", "unretried_answers": "given_up"}
JOB_TIMES_KEYS: Keys = {
    "mean_us": "mean_us",
    "class_mean_us": "class_us",
    "class_baseline_us": "usual_us",
    "mean_hint_us": "hint_us",
}
MEAN_KEYS: Keys = {"value": "value", "count": "count", "at_us": "at_us"}
ZONE_KEYS: Keys = {**MEAN_KEYS, "cost_factor": "factor", "new_connection_factor": "fresh"}
WORKER_KEYS: Keys = {
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
JOB_KEYS: Keys = {
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
ATTEMPT_KEYS: Keys = {
    "sent_us": "sent_us",
    "in_flight_at_send": "others",
    "group": "group",
    "cancel_requested": "dropped",
    "last_progress_us": "heard_us",
}
REQUEST_KEYS: Keys = {
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
    """State of one worker.

    ``values``: attributes of the worker's record, under ``WORKER_KEYS``; ``own``: mean time of this
    scheduler's jobs at the worker; ``full``: pairs of a job class that the worker rejected because it was
    full, and the end of the class's backoff (us); ``out``: number of this scheduler's attempts in flight at
    the worker.
    """

    values: Json
    own: Json
    full: list[tuple[int, int]]
    out: int


class ExportedState(TypedDict):
    """State of the decision module, without its jobs and their attempts.

    ``own``: counters and estimates of the whole scheduler; ``unit``: mean job time on a worker of weight 1;
    ``kinds``: mean job time by kind of machine; ``zones``: mean wait by zone; ``quick``: low quantile of the
    time per unit of work, by kind of machine; ``served``: mean time of completed jobs at usable workers;
    ``seats``: state of workers by address. Each pair begins with the number of a kind of machine or of a
    zone.
    """

    own: Json
    unit: Json
    kinds: list[tuple[int, Json]]
    zones: list[tuple[int, Json]]
    quick: list[tuple[int, float]]
    served: Json
    seats: dict[str, ExportedWorker]


class ExportedAttempt(TypedDict):
    """An attempt in flight at the worker with this address.

    ``attempt``: number of the attempt, from 0; ``waiting``: whether the worker can report the start of the
    attempt, and has not reported it yet; ``values``: attributes of the attempt, under ``ATTEMPT_KEYS``.
    """

    address: str
    attempt: int
    waiting: bool
    values: Json


class ExportedJob(TypedDict):
    """A job and its attempts in flight.

    ``request``: attributes of the request, under ``REQUEST_KEYS``; ``values``: attributes of the job's
    record, under ``JOB_KEYS``; ``flights``: the attempts in flight.
    """

    request: Json
    values: Json
    flights: list[ExportedAttempt]
