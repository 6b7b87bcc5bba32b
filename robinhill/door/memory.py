"""The door's state as plain values, so that a successor process can go on with it.

Requests that wait are handed over one by one; this is what was learned of tenants and classes, how far
limits are used up, and what callers were told. Values go by name: versions may differ.
"""

from typing import Any

from robinhill.door.accounts import Account
from robinhill.door.buckets import Meter
from robinhill.door.callers import Directory
from robinhill.door.door import Door
from robinhill.door.promises import Promise
from robinhill.door.queues import Queue

Json = dict[str, Any]


def _levels(meter: Meter | None) -> Json:
    if meter is None:
        return {}
    both = {"requests": meter.requests, "work": meter.work}
    return {name: [bucket.tokens, bucket.at_us] for name, bucket in both.items() if bucket}


def _set_levels(meter: Meter | None, told: Json) -> None:
    for name, (tokens, at_us) in told.items():
        if meter and (bucket := getattr(meter, name)):
            bucket.tokens, bucket.at_us = min(bucket.burst, tokens), at_us


def learned(door: Door) -> Json:
    """All that goes along; the secret too, so that both know tenants by the same numbers."""
    return {
        "secret": door.secret.hex(),
        "costs": door.costs.by_class,
        "known": door.costs.known,
        "running": door.pace.smooth,
        "windows": [w.size for w in door.windows.windows],
        "start_us": door.accounts.start_us,
        "accounts": [
            {
                "tenant": a.tenant, "name": a.name, "count": a.count, "error": a.error, "jobs": a.jobs,
                "ratio": a.ratio, "served_us": a.served_us, "deficit_us": a.queue.deficit_us,
                "returns": {str(c): line.return_share for c, line in a.queue.lines.items()},
                "levels": _levels(a.meter),
            }
            for a in door.accounts.by_tenant.values()
        ],
        "networks": {name: _levels(meter) for name, meter in door.network_meters.items()},
        "promises": [_promise(door, p) for p in door.promises.held()],
    }  # fmt: skip


def _promise(door: Door, promise: Promise) -> Json:
    queue = promise.line.queue
    strangers = door.strangers.index(queue) if queue in door.strangers else -1
    return {
        "mark": promise.mark, "tenant": promise.tenant, "strangers": strangers,
        "class": promise.line.job_class, "cost_us": promise.cost_us,
        "told_us": promise.told_us, "wait_us": promise.due_us - promise.told_us,
    }  # fmt: skip


def recall(door: Door, now: int, told: Json) -> None:
    """Go on from there; before any request has come."""
    door.secret = bytes.fromhex(told["secret"])
    door.directory = Directory(door.options, door.secret)
    if len(told["costs"]) == len(door.costs.by_class):
        door.costs.by_class, door.costs.known = list(told["costs"]), list(told["known"])
    for window, size in zip(door.windows.windows, told["windows"], strict=False):
        window.size = size
    door.pace.smooth = told["running"]
    door.accounts.reset(told["start_us"])
    for values in told["accounts"]:
        account: Account = door.account(values["tenant"], values["name"])
        for name in ("count", "error", "jobs", "ratio", "served_us"):
            setattr(account, name, values[name])
        account.queue.deficit_us, account.queue.settled_us = min(0.0, values["deficit_us"]), now
        for job_class, share in values["returns"].items():
            account.queue.line(int(job_class)).return_share = share
        _set_levels(account.meter, values["levels"])
        door.accounts.restore(account)
    door.repin()
    for name, levels in told["networks"].items():
        _set_levels(door.network_meters.get(name), levels)
    for values in told["promises"]:
        queue = _queue(door, values)
        if queue:
            door.promises.make(
                values["told_us"], values["mark"], values["tenant"], queue.line(values["class"]),
                values["cost_us"], values["wait_us"],
            )  # fmt: skip


def _queue(door: Door, values: Json) -> Queue | None:
    if 0 <= values["strangers"] < len(door.strangers):
        return door.strangers[values["strangers"]]
    account = door.accounts.get(values["tenant"])
    return account.queue if account else None
