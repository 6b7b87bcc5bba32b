"""Cost of a gang by the number of its members: one straggler evaluation, the shared record, and memory."""

from collections.abc import Sequence

from benchmarks.scale.counting import allocated_bytes, executed_lines, median_cpu_us
from benchmarks.scale.fitting import Point, print_scaling
from robinhill.api import Repeat
from robinhill.gang.errors import MalformedGang
from robinhill.gang.gangs import Gangs
from robinhill.gang.membership import Membership, read_membership
from robinhill.gang.options import GangOptions
from robinhill.gang.share import encode

MEMBERS = (16, 32, 64, 128, 256)
PLANNED_MEMBERS = 256  # the largest gang of the capacity plan
SECOND_US = 1_000_000
HINT_US = 60 * SECOND_US
PROGRESS_REPORTS = 10  # number of reports of each member
SLOW_MEMBER_INTERVAL = 10  # every tenth member progresses at a third of the usual rate
GANG_ID = "season"


def make_gang(members: int) -> Gangs:
    """The gang state of a scheduler that runs all members of one gang; every tenth member is slow.

    The members are created without parsing a gang header, since a header with a size above `MAX_SIZE` is
    rejected.
    """
    gangs = Gangs(GangOptions(), "s0")
    now_us = SECOND_US
    for index in range(members):
        gangs.joined(now_us, index, Membership(GANG_ID, members, index), Repeat.SAFE, HINT_US)
        gangs.placed(now_us, index, 0, f"worker-{index}", "std")
        gangs.started(now_us, index, 0)
    for report in range(1, PROGRESS_REPORTS + 1):
        for index in range(members):
            rate = 1 / 3 if index % SLOW_MEMBER_INTERVAL == 0 else 1.0
            gangs.progress(now_us + report * SECOND_US, index, 0, rate * report / HINT_US * SECOND_US)
    return gangs


def evaluation_time_us() -> int:
    """The time of the first straggler evaluation after the last progress report."""
    return (PROGRESS_REPORTS + 2) * SECOND_US


def evaluation_us(members: int) -> float:
    """Microseconds of one straggler evaluation."""
    gangs = make_gang(members)
    times = iter(range(evaluation_time_us(), 10 * evaluation_time_us(), SECOND_US // 2))
    return median_cpu_us(lambda: gangs.evaluate(next(times)))


def evaluation_lines(members: int) -> int:
    """Python lines executed by one straggler evaluation."""
    gangs = make_gang(members)
    return executed_lines(lambda: gangs.evaluate(evaluation_time_us()))


def state_bytes(members: int) -> int:
    """Bytes that a scheduler allocates for one gang when it has all of the members."""
    return allocated_bytes(lambda: make_gang(members))


def record_bytes(members: int) -> int:
    """Bytes of the record of one gang that schedulers replicate; each change sends the whole record."""
    gangs = make_gang(members)
    gang = gangs._table.get(GANG_ID)
    assert gang
    return len(encode(gang.progress(evaluation_time_us(), "scheduler-000")))


def header_accepted(members: int) -> bool:
    """Whether the header of a gang of this size is accepted."""
    try:
        read_membership([f"id={GANG_ID}; size={members}; index=0"])
    except MalformedGang:
        return False
    return True


def run(sizes: Sequence[int]) -> None:
    """Print all costs; ``sizes`` are numbers of members, by default `MEMBERS`."""
    counts = sizes or MEMBERS
    for title, unit, measure in (
        ("one straggler evaluation", "us", evaluation_us),
        ("one straggler evaluation", "lines", evaluation_lines),
        ("state of one gang", "bytes", state_bytes),
        ("replicated record of one gang", "bytes", record_bytes),
    ):
        print_scaling(title, unit, [Point(n, measure(n)) for n in counts], "members")
    rejected = [str(n) for n in counts if not header_accepted(n)]
    print(f"sizes whose header is rejected: {', '.join(rejected) or 'none'}")
