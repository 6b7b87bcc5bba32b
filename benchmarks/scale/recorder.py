"""What a recording costs by requests: processor time and bytes of its frames."""

from collections.abc import Sequence

from benchmarks.scale.counting import microseconds
from benchmarks.scale.fitting import Point, print_ladder
from robinhill.record.frames import frame
from robinhill.record.records import Answered, Arrived, Attempted, Record

REQUESTS = (100, 300, 1_000)  # in a frame
START_US = 1_700_000_000_000_000
APART_US = 5_000
ID_STEP = 2_654_435_761  # spreads ids as the recorder's hashes are
ID_BITS = 63


def records(requests: int) -> list[Record]:
    """What is recorded of so many requests: each comes, has one attempt and is answered."""
    made: list[Record] = []
    for number in range(requests):
        at_us = START_US + number * APART_US
        identity = number * ID_STEP * ID_STEP % (1 << ID_BITS)
        worker = f"worker-{number * ID_STEP % 10_000:05}"
        took_us = 30_000 + number * ID_STEP % 50_000
        made.append(Arrived(at_us, identity, "report", identity >> 7, 400, 5_000_000, False))
        made.append(Attempted(at_us + took_us, identity, worker, "completed", took_us, took_us - 900))
        made.append(Answered(at_us + took_us + 100, identity, 200))
    return made


def frame_us(requests: int) -> float:
    """Microseconds of writing the records of so many requests as a frame, without the disk."""
    made = records(requests)
    return microseconds(lambda: frame(made))


def frame_bytes(requests: int) -> int:
    """Bytes of that frame."""
    return len(frame(records(requests)))


def run(sizes: Sequence[int]) -> None:
    """Both ladders; ``sizes`` are of requests, empty for all."""
    counts = sizes or REQUESTS
    print_ladder("one frame", "us", [Point(n, frame_us(n)) for n in counts], "requests")
    print_ladder("one frame", "bytes", [Point(n, frame_bytes(n)) for n in counts], "requests")
