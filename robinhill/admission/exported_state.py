"""Export and import of admission control's state as JSON values, for a hand-over to a successor process.

The state consists of the learned costs of tenants and classes, the tenants' served work and deficits, the
sizes of admission windows, the levels of rate limiters, and open retry promises. Queued requests are not part
of it: they are handed over one by one. The successor may run another version, so the keys never change: if an
attribute is renamed, its key stays.
"""

from typing import Any

from robinhill.admission.accounts import Account
from robinhill.admission.admission import Admission
from robinhill.admission.buckets import RateLimiter
from robinhill.admission.callers import Caller, Directory
from robinhill.admission.promises import RetryPromise
from robinhill.admission.queues import Queue

Json = dict[str, Any]


def _export_levels(limiter: RateLimiter | None) -> Json:
    if limiter is None:
        return {}
    both = {"requests": limiter.requests, "work": limiter.work}
    return {name: [bucket.tokens, bucket.at_us] for name, bucket in both.items() if bucket}


def _import_levels(limiter: RateLimiter | None, levels: Json) -> None:
    for name, (tokens, at_us) in levels.items():
        if limiter and (bucket := getattr(limiter, name)):
            bucket.tokens, bucket.at_us = min(bucket.burst, tokens), at_us


def export_caller(caller: Caller) -> Json:
    """The caller of a request as JSON values, which are sent to the successor with the request."""
    return {
        "tenant": caller.tenant,
        "name": caller.name,
        "network": caller.network,
        "mark": caller.fingerprint,
    }


def import_caller(values: Json) -> Caller:
    """The caller whose JSON values `export_caller` has returned in another process."""
    return Caller(values["tenant"], values["name"], values["network"], values["mark"])


def export_state(admission: Admission) -> Json:
    """The state of admission control as JSON values.

    It includes the secret, so that both processes compute equal tenant hashes.
    """
    return {
        "secret": admission.secret.hex(),
        "costs": admission.costs.by_class,
        "known": admission.costs.known,
        "running": admission.throughput.smoothed_running,
        "windows": [w.size for w in admission.windows.windows],
        "start_us": admission.accounts.start_us,
        "accounts": [
            {
                "tenant": a.tenant, "name": a.name, "count": a.count, "error": a.error, "jobs": a.jobs,
                "ratio": a.ratio, "served_us": a.served_us, "deficit_us": a.queue.deficit_us,
                "returns": {str(c): each.return_share for c, each in a.queue.class_queues.items()},
                "levels": _export_levels(a.limiter),
            }
            for a in admission.accounts.by_tenant.values()
        ],
        "networks": {
            name: _export_levels(limiter) for name, limiter in admission.limits.network_limiters.items()
        },
        "promises": [_export_promise(admission, p) for p in admission.promises.open_promises()],
    }  # fmt: skip


def _export_promise(admission: Admission, promise: RetryPromise) -> Json:
    queue = promise.class_queue.queue
    shared = admission.shared_queues.index(queue) if queue in admission.shared_queues else -1
    return {
        "mark": promise.fingerprint, "tenant": promise.tenant, "strangers": shared,
        "class": promise.class_queue.job_class, "cost_us": promise.cost_us,
        "told_us": promise.promised_us, "wait_us": promise.due_us - promise.promised_us,
    }  # fmt: skip


def import_state(admission: Admission, now: int, values: Json) -> None:
    """Adopt another process's state; must be called before the first request arrives. ``now`` is in us."""
    admission.secret = bytes.fromhex(values["secret"])
    admission.directory = Directory(admission.options, admission.secret)
    if len(values["costs"]) == len(admission.costs.by_class):
        admission.costs.by_class, admission.costs.known = (
            list(values["costs"]),
            list(values["known"]),
        )
    for window, size in zip(admission.windows.windows, values["windows"], strict=False):
        window.size = size
    admission.throughput.smoothed_running = values["running"]
    admission.accounts.reset(values["start_us"])
    for each in values["accounts"]:
        account: Account = admission.new_account(each["tenant"], each["name"])
        for name in ("count", "error", "jobs", "ratio", "served_us"):
            setattr(account, name, each[name])
        account.queue.deficit_us, account.queue.settled_us = min(0.0, each["deficit_us"]), now
        for job_class, share in each["returns"].items():
            account.queue.class_queue(int(job_class)).return_share = share
        _import_levels(account.limiter, each["levels"])
        admission.accounts.restore(account)
    admission.apply_named_tenants()
    for name, levels in values["networks"].items():
        _import_levels(admission.limits.network_limiters.get(name), levels)
    for each in values["promises"]:
        queue = _queue_of_promise(admission, each)
        if queue:
            admission.promises.make(
                each["told_us"], each["mark"], each["tenant"], queue.class_queue(each["class"]),
                each["cost_us"], each["wait_us"],
            )  # fmt: skip


def _queue_of_promise(admission: Admission, values: Json) -> Queue | None:
    if 0 <= values["strangers"] < len(admission.shared_queues):
        return admission.shared_queues[values["strangers"]]
    account = admission.accounts.get(values["tenant"])
    return account.queue if account else None
