"""A recording of real traffic as a trace: each job's length from how long it ran where it was served."""

from pathlib import Path
from statistics import median

from robinhill.model.describe import DescriptionError, JobKind
from robinhill.model.trace import Asked, Trace, mend
from robinhill.record.frames import read_all
from robinhill.record.records import Answered, Arrived, Attempted, Dropped

CLOCK_STEP_US = 5_000_000  # a record so far before the one in front of it tells of a step of the clock


def load(path: Path, kinds: tuple[JobKind, ...]) -> Trace:
    """The wishes in a recording, first tries alone: the model's clients make their own retries.

    What was never served has its class's median length. Raises DescriptionError with the place for what
    can't be used; what was mended stands in the trace's ``repairs``.
    """
    records, notes = read_all(path)
    arrivals: list[Arrived] = []
    ran: dict[int, int] = {}
    dropped = 0
    latest = 0
    for number, record in enumerate(records):
        if record.at_us < latest - CLOCK_STEP_US:
            raise DescriptionError(
                f"{path}: record {number}: the clock steps back by {(latest - record.at_us) / 1e6:.1f} s"
            )
        latest = max(latest, record.at_us)
        match record:
            case Arrived():
                arrivals.append(record)
            case Attempted(id=wire_id, outcome="completed", ran_us=ran_us) if ran_us >= 0:
                ran[wire_id] = ran_us
            case Dropped(count=count):
                dropped += count
            case Answered() | _:
                pass
    known = {k.name for k in kinds}
    lengths: dict[str, list[int]] = {}
    for a in arrivals:
        if a.kind not in known:
            raise DescriptionError(f"{path}: class {a.kind!r} is not among those of the description")
        if a.id in ran:
            lengths.setdefault(a.kind, []).append(ran[a.id])
    usual = {k.name: median(lengths[k.name]) if k.name in lengths else k.work_ms * 1000 for k in kinds}
    tenants: dict[int, int] = {}
    asked = [
        Asked(
            n,
            a.at_us,
            a.kind,
            tenants.setdefault(a.tenant, len(tenants)),
            float(ran.get(a.id, usual[a.kind])),
            a.time_left_us,
        )
        for n, a in enumerate(a for a in arrivals if not a.is_client_retry)
    ]
    trace = mend(asked)
    unserved = sum(a.id not in ran for a in arrivals)
    if unserved:
        notes.append(f"{unserved} requests were never served and got their class's median length")
    if dropped:
        notes.append(f"{dropped} records were dropped while recording")
    trace.repairs = notes + trace.repairs
    return trace
