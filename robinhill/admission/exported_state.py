"""Admission's state as plain values, so that a successor process can go on with it.

Requests that wait are handed over one by one; this is what was learned of tenants and classes, how far
limits are used up, and what callers were told. Values go by name: versions may differ.
"""

from typing import Any

from robinhill.admission.accounts import Account
from robinhill.admission.admission import Admission
from robinhill.admission.buckets import Meter
from robinhill.admission.callers import Directory
from robinhill.admission.promises import Promise
from robinhill.admission.queues import Queue

Json = dict[str, Any]


def _levels(meter: Meter | None) -> Json:
    if meter is None:
        return {}
    both = {"requests": meter.requests, "work": meter.work}
    return {name: [bucket.tokens, bucket.at_us] for name, bucket in both.items() if bucket}


def _set_levels(meter: Meter | None, learned_values: Json) -> None:
    for name, (tokens, at_us) in learned_values.items():
        if meter and (bucket := getattr(meter, name)):
            bucket.tokens, bucket.at_us = min(bucket.burst, tokens), at_us


def learned(admission: Admission) -> Json:
    """All that goes along; the secret too, so that both know tenants by the same numbers."""
    return {
        "secret": admission.secret.hex(),
        "costs": admission.costs.by_class,
        "known": admission.costs.known,
        "running": admission.pace.smooth,
        "windows": [w.size for w in admission.windows.windows],
        "start_us": admission.accounts.start_us,
        "accounts": [
            {
                "tenant": a.tenant, "name": a.name, "count": a.count, "error": a.error, "jobs": a.jobs,
                "ratio": a.ratio, "served_us": a.served_us, "deficit_us": a.queue.deficit_us,
                "returns": {str(c): line.return_share for c, line in a.queue.lines.items()},
                "levels": _levels(a.meter),
            }
            for a in admission.accounts.by_tenant.values()
        ],
        "networks": {name: _levels(meter) for name, meter in admission.network_meters.items()},
        "promises": [_promise(admission, p) for p in admission.promises.held()],
    }  # fmt: skip


def _promise(admission: Admission, promise: Promise) -> Json:
    queue = promise.line.queue
    strangers = admission.strangers.index(queue) if queue in admission.strangers else -1
    return {
        "mark": promise.mark, "tenant": promise.tenant, "strangers": strangers,
        "class": promise.line.job_class, "cost_us": promise.cost_us,
        "told_us": promise.told_us, "wait_us": promise.due_us - promise.told_us,
    }  # fmt: skip


def recall(admission: Admission, now: int, learned_values: Json) -> None:
    """Go on from there; before any request has come."""
    admission.secret = bytes.fromhex(learned_values["secret"])
    admission.directory = Directory(admission.options, admission.secret)
    if len(learned_values["costs"]) == len(admission.costs.by_class):
        admission.costs.by_class, admission.costs.known = (
            list(learned_values["costs"]),
            list(learned_values["known"]),
        )
    for window, size in zip(admission.windows.windows, learned_values["windows"], strict=False):
        window.size = size
    admission.pace.smooth = learned_values["running"]
    admission.accounts.reset(learned_values["start_us"])
    for values in learned_values["accounts"]:
        account: Account = admission.account(values["tenant"], values["name"])
        for name in ("count", "error", "jobs", "ratio", "served_us"):
            setattr(account, name, values[name])
        account.queue.deficit_us, account.queue.settled_us = min(0.0, values["deficit_us"]), now
        for job_class, share in values["returns"].items():
            account.queue.line(int(job_class)).return_share = share
        _set_levels(account.meter, values["levels"])
        admission.accounts.restore(account)
    admission.repin()
    for name, levels in learned_values["networks"].items():
        _set_levels(admission.network_meters.get(name), levels)
    for values in learned_values["promises"]:
        queue = _queue(admission, values)
        if queue:
            admission.promises.make(
                values["told_us"], values["mark"], values["tenant"], queue.line(values["class"]),
                values["cost_us"], values["wait_us"],
            )  # fmt: skip


def _queue(admission: Admission, values: Json) -> Queue | None:
    if 0 <= values["strangers"] < len(admission.strangers):
        return admission.strangers[values["strangers"]]
    account = admission.accounts.get(values["tenant"])
    return account.queue if account else None
