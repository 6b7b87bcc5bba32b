"""The module's state as plain values, so that a successor process can go on with it.

Nothing here decides. Values go by name: processes of different versions take what both of them know.
"""

from dataclasses import fields
from math import inf
from typing import Any

from robinhill import api
from robinhill.logic import Balancer, _Flight, _Job, _Seat
from robinhill.means import Mean, Weighed

Json = dict[str, Any]

# Of the module as a whole; means by number (of kind or zone) apart.
LEARNED = (
    "sends", "rate_us", "began_us", "rate", "priced_rate", "mean_us", "class_us", "usual_us", "hint_us",
    "full_us", "given_up", "budget", "shed", "worth", "asked_us", "free_us", "spare",
)  # fmt: skip


def _scalars(thing: object) -> Json:
    """The numbers and flags of one of the module's records; without end is null in JSON."""
    values = {f.name: getattr(thing, f.name) for f in fields(thing)}  # type: ignore[arg-type]
    return {k: None if v == inf else v for k, v in values.items() if isinstance(v, int | float | bool)}


def _set(thing: object, values: Json) -> None:
    for name, value in values.items():
        if hasattr(thing, name):
            setattr(thing, name, inf if value is None else value)


def learned(balancer: Balancer) -> Json:
    """What it has learned of workers and of jobs as such."""
    return {
        "own": {name: getattr(balancer, name) for name in LEARNED},
        "unit": _scalars(balancer.unit),
        "kinds": [[number, _scalars(mean)] for number, mean in balancer.kinds.items()],
        "zones": [[number, _scalars(mean)] for number, mean in balancer.zones.items()],
        "quick": list(balancer.quick.items()),
        "served": _scalars(balancer.served),
        "seats": {
            address: {
                "values": _scalars(seat),
                "own": _scalars(seat.own),
                "full": list(seat.full.items()),
                "out": len(seat.out),
            }
            for address, seat in balancer.seats.items()
        },
    }


def recall(balancer: Balancer, told: Json) -> None:
    """Go on from there; to be called once the list is known."""
    _set(balancer, {name: told["own"][name] for name in LEARNED if name in told["own"]})
    _set(balancer.unit, told["unit"])
    for number, values in told["kinds"]:
        _set(balancer.kinds.setdefault(number, Mean()), values)
    for number, values in told["zones"]:
        _set(balancer.zones.setdefault(number, Weighed()), values)
    balancer.quick.update(told["quick"])
    _set(balancer.served, told.get("served", {}))
    for address, values in told["seats"].items():
        if (seat := balancer.seats.get(address)) is None:
            continue
        left_out = seat.shut_us == inf
        _set(seat, values["values"])
        _set(seat.own, values["own"])
        seat.full = dict(values["full"])
        # What the other process has out there takes room, until it comes here with it (`resume`).
        seat.limit = max(1.0, seat.limit - values["out"])
        if left_out or seat.shut_us == inf:  # the list's word on leaving is newer
            seat.shut_us = inf if left_out else 0


def release(balancer: Balancer, number: int) -> Json | None:
    """Let a job go to another process: it and its attempt are forgotten here."""
    if (job := balancer.jobs.pop(number, None)) is None:
        return None
    flights = []
    for key in [key for key in balancer.flights if key[0] == number]:
        flight = balancer.flights.pop(key)
        seat, waiting = flight.seat, flight.seat.waiting is flight
        seat.out.discard(key)
        seat.waiting = None if waiting else seat.waiting
        there = {"address": seat.entry.address, "attempt": key[1], "waiting": waiting}
        flights.append(there | {"values": _scalars(flight)})
    request = {name: getattr(job.request, name) for name in api.Request.__slots__}
    return {"request": request, "values": _scalars(job), "flights": flights}


def resume(balancer: Balancer, now: int, told: Json, own: bool = False) -> list[api.Action]:
    """Take a job that another process has let go, or an ``own`` one back; what is to be done for it."""
    job = _Job(api.Request(**told["request"]))
    _set(job, told["values"])
    number = job.request.job
    balancer.jobs[number] = job
    for there in told["flights"]:
        seat = balancer.seats.get(there["address"])
        if seat is None:  # it has left the list
            gone = api.Worker(there["address"], state=api.WorkerState.GONE)
            seat = _Seat(gone, 0.0, Weighed(), shut_us=inf)
        key = (number, there["attempt"])
        flight = balancer.flights[key] = _Flight(seat, now, job, 0, -1)
        _set(flight, there["values"])
        seat.out.add(key)
        seat.limit += 0.0 if own else 1.0  # `recall` took that room away; `release` did not
        if there["waiting"]:
            seat.waiting = flight
    balancer.out = []
    if not told["flights"]:
        balancer._place(now, job)
    return balancer.out


def concerns(tag: str, number: int) -> bool:
    """Whether a timer is about this job."""
    return tag.split(" ")[1:2] == [str(number)]
