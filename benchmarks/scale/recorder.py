"""Cost of a recording by the number of requests: CPU time and bytes of its frames."""

from collections.abc import Sequence

from benchmarks.scale.counting import median_cpu_us
from benchmarks.scale.fitting import Point, print_scaling
from robinhill.record.frames import frame
from robinhill.record.records import Answered, Arrived, Attempted, Record

REQUESTS = (100, 300, 1_000)  # numbers of requests in one frame
START_US = 1_700_000_000_000_000
ARRIVAL_INTERVAL_US = 5_000
ID_STEP = 2_654_435_761  # spreads the ids over their range, as the recorder's hashes are spread
ID_BITS = 63


def records(requests: int) -> list[Record]:
    """The records of ``requests`` requests: for each the arrival, one completed attempt and the answer."""
    created: list[Record] = []
    for number in range(requests):
        at_us = START_US + number * ARRIVAL_INTERVAL_US
        request_id = number * ID_STEP * ID_STEP % (1 << ID_BITS)
        worker = f"worker-{number * ID_STEP % 10_000:05}"
        took_us = 30_000 + number * ID_STEP % 50_000
        created.append(Arrived(at_us, request_id, "report", request_id >> 7, 400, 5_000_000, False))
        created.append(Attempted(at_us + took_us, request_id, worker, "completed", took_us, took_us - 900))
        created.append(Answered(at_us + took_us + 100, request_id, 200))
    return created


def frame_us(requests: int) -> float:
    """Microseconds to encode the records of ``requests`` requests as one frame, without a disk write."""
    to_encode = records(requests)
    return median_cpu_us(lambda: frame(to_encode))


def frame_bytes(requests: int) -> int:
    """Bytes of one frame with the records of ``requests`` requests."""
    return len(frame(records(requests)))


def run(sizes: Sequence[int]) -> None:
    """Print both costs; ``sizes`` are numbers of requests, by default `REQUESTS`."""
    counts = sizes or REQUESTS
    print_scaling("one frame", "us", [Point(n, frame_us(n)) for n in counts], "requests")
    print_scaling("one frame", "bytes", [Point(n, frame_bytes(n)) for n in counts], "requests")
