"""Conversion of a recording of real traffic to a trace. A job's length is its running time at its worker."""

from pathlib import Path
from statistics import median

from robinhill.model.describe import DescriptionError, JobKind
from robinhill.model.trace import Trace, TracedRequest, repair_trace
from robinhill.record.frames import read_all
from robinhill.record.records import Answered, Arrived, Attempted, Dropped

CLOCK_STEP_US = 5_000_000  # a time this far before the latest one is a step of the clock, not reordering


def load(path: Path, kinds: tuple[JobKind, ...]) -> Trace:
    """Read a recording as a trace. Clients' retries are left out, as the model's clients make their own.

    A job that was never served gets its class's median length, or the mean of the description if no job of
    the class was served. The trace's ``repairs`` list what was repaired. Raises DescriptionError, with the
    place in the recording, for a fault that can't be repaired.
    """
    records, notes = read_all(path)
    arrivals: list[Arrived] = []
    ran_us_by_id: dict[int, int] = {}
    dropped = 0
    latest_us = 0
    for number, record in enumerate(records):
        if record.at_us < latest_us - CLOCK_STEP_US:
            raise DescriptionError(
                f"{path}: record {number}: the clock steps back by {(latest_us - record.at_us) / 1e6:.1f} s"
            )
        latest_us = max(latest_us, record.at_us)
        match record:
            case Arrived():
                arrivals.append(record)
            case Attempted(id=wire_id, outcome="completed", ran_us=ran_us) if ran_us >= 0:
                ran_us_by_id[wire_id] = ran_us
            case Dropped(count=count):
                dropped += count
            case Answered() | _:
                pass
    known = {k.name for k in kinds}
    lengths: dict[str, list[int]] = {}
    for a in arrivals:
        if a.kind not in known:
            raise DescriptionError(f"{path}: class {a.kind!r} is not among the classes of the description")
        if a.id in ran_us_by_id:
            lengths.setdefault(a.kind, []).append(ran_us_by_id[a.id])
    default_us = {k.name: median(lengths[k.name]) if k.name in lengths else k.work_ms * 1000 for k in kinds}
    tenants: dict[int, int] = {}
    requests = [
        TracedRequest(
            n,
            a.at_us,
            a.kind,
            tenants.setdefault(a.tenant, len(tenants)),
            float(ran_us_by_id.get(a.id, default_us[a.kind])),
            a.time_left_us,
        )
        for n, a in enumerate(a for a in arrivals if not a.is_client_retry)
    ]
    trace = repair_trace(requests)
    unserved = sum(a.id not in ran_us_by_id for a in arrivals)
    if unserved:
        notes.append(f"{unserved} requests were never served; each got the median length of its class")
    if dropped:
        notes.append(f"{dropped} records were dropped by the recorder")
    trace.repairs = notes + trace.repairs
    return trace
