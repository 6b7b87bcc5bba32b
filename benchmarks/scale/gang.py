"""What a gang costs by its members: one look at all of them, their record, and memory."""

from collections.abc import Sequence

from benchmarks.scale.counting import allocated_bytes, executed_lines, microseconds
from benchmarks.scale.fitting import Point, print_ladder
from robinhill.api import Repeat
from robinhill.gang.errors import MalformedGang
from robinhill.gang.gangs import Gangs
from robinhill.gang.membership import Membership, read_membership
from robinhill.gang.options import GangOptions
from robinhill.gang.share import encode

MEMBERS = (16, 32, 64, 128, 256)
WANTED_MEMBERS = 256  # of the plan
SECOND_US = 1_000_000
HINT_US = 60 * SECOND_US
WORDS = 10  # of progress that each member has told
SLOW_EVERY = 10  # each tenth member goes at a third of the pace
GANG = "season"


def gang_of(members: int) -> Gangs:
    """One gang under way, all of its members here, each tenth slow.

    Members are made without their header, which is refused above `MAX_SIZE`.
    """
    gangs = Gangs(GangOptions(), "s0")
    now_us = SECOND_US
    for index in range(members):
        gangs.joined(now_us, index, Membership(GANG, members, index), Repeat.SAFE, HINT_US)
        gangs.placed(now_us, index, 0, f"worker-{index}", "std")
        gangs.started(now_us, index, 0)
    for word in range(1, WORDS + 1):
        for index in range(members):
            pace = 1 / 3 if index % SLOW_EVERY == 0 else 1.0
            gangs.progress(now_us + word * SECOND_US, index, 0, pace * word / HINT_US * SECOND_US)
    return gangs


def look_time_us() -> int:
    """When the next look is due."""
    return (WORDS + 2) * SECOND_US


def look_us(members: int) -> float:
    """Microseconds of one look."""
    gangs = gang_of(members)
    times = iter(range(look_time_us(), 10 * look_time_us(), SECOND_US // 2))
    return microseconds(lambda: gangs.look(next(times)))


def look_lines(members: int) -> int:
    """Executed lines of one look."""
    gangs = gang_of(members)
    return executed_lines(lambda: gangs.look(look_time_us()))


def held_bytes(members: int) -> int:
    """Bytes that one gang holds at a scheduler that has all of its members."""
    return allocated_bytes(lambda: gang_of(members))


def record_bytes(members: int) -> int:
    """Bytes of the record that schedulers share of one gang; it is written whole with each change."""
    gangs = gang_of(members)
    gang = gangs._table.get(GANG)
    assert gang
    return len(encode(gang.progress(look_time_us(), "scheduler-000")))


def admitted(members: int) -> bool:
    """Whether the header of a gang of this size is accepted."""
    try:
        read_membership([f"id={GANG}; size={members}; index=0"])
    except MalformedGang:
        return False
    return True


def run(sizes: Sequence[int]) -> None:
    """All ladders; ``sizes`` are of members, empty for all."""
    counts = sizes or MEMBERS
    for title, unit, measure in (
        ("one look", "us", look_us),
        ("one look", "lines", look_lines),
        ("one gang held", "bytes", held_bytes),
        ("one gang's shared record", "bytes", record_bytes),
    ):
        print_ladder(title, unit, [Point(n, measure(n)) for n in counts], "members")
    refused = [str(n) for n in counts if not admitted(n)]
    print(f"sizes whose header is refused: {', '.join(refused) or 'none'}")
