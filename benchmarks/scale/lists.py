"""What applying a list costs: whole, the same again, and a change of ten workers; and reading its words."""

from collections.abc import Sequence
from dataclasses import replace

import msgspec

from benchmarks.scale.counting import executed_lines, microseconds
from benchmarks.scale.fitting import Point, print_ladder
from benchmarks.scale.nodes import ADDRESS_PORT, Node, worker, workers
from robinhill import api
from robinhill.protocol import WatchEventReader

WORKERS = (100, 300, 1_000, 3_000, 10_000)
CHANGED = 10
LONGEST_BYTES = 64 << 20


def changed(worker_count: int, turn: int) -> list[api.Worker]:
    """Ten of the workers, which have started again."""
    chosen = [worker(number) for number in range(min(CHANGED, worker_count))]
    return [replace(each, started_us=1 + turn) for each in chosen]


def whole_us(worker_count: int) -> float:
    """Microseconds of a first whole list."""
    listed = workers(worker_count)
    return microseconds(lambda: Node(0).list(api.ListKind.FULL, listed))


def equal_us(worker_count: int) -> float:
    """Microseconds of the same whole list again."""
    node, listed = Node(worker_count), workers(worker_count)
    return microseconds(lambda: node.list(api.ListKind.FULL, listed))


def change_us(worker_count: int) -> float:
    """Microseconds of a change of ten workers among so many."""
    node = Node(worker_count)
    changes = iter([changed(worker_count, turn) for turn in range(100)])
    return microseconds(lambda: node.list(api.ListKind.CHANGES, next(changes)))


def whole_lines(worker_count: int) -> int:
    """Executed lines of a first whole list."""
    node, listed = Node(0), workers(worker_count)
    return executed_lines(lambda: node.list(api.ListKind.FULL, listed))


def change_lines(worker_count: int) -> int:
    """Executed lines of a change of ten workers among so many."""
    node, listed = Node(worker_count), changed(worker_count, 0)
    return executed_lines(lambda: node.list(api.ListKind.CHANGES, listed))


def entry(number: int) -> dict[str, object]:
    """An entry as discovery writes it."""
    octets = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return {
        "instanceId": f"worker-{number:05}", "hostPort": f"{octets}:{ADDRESS_PORT}",
        "zone": f"zone-{number % 21}", "machineType": "std", "cell": 0, "lifecycle": "active",
        "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip


def written(worker_count: int) -> bytes:
    """A whole list as discovery writes it."""
    told = {
        "generation": 1, "reset": True, "instances": [entry(number) for number in range(worker_count)],
    }  # fmt: skip
    return msgspec.json.encode(told) + b"\n"


def read_us(worker_count: int) -> float:
    """Microseconds of reading a whole list."""
    data = written(worker_count)
    return microseconds(lambda: list(WatchEventReader(LONGEST_BYTES).feed(data)))


LADDERS = (
    ("whole list", "us", whole_us),
    ("equal list", "us", equal_us),
    ("change of 10", "us", change_us),
    ("reading a whole list", "us", read_us),
    ("a whole list on the wire", "bytes", lambda count: len(written(count))),
)


def run(sizes: Sequence[int]) -> None:
    """All ladders; ``sizes`` are of workers, empty for all."""
    for title, unit, measure in LADDERS:
        points = [Point(count, measure(count)) for count in sizes or WORKERS]
        print_ladder(title, unit, points, "workers")
