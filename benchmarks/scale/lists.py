"""Cost of parsing an endpoint list, and of applying one: a full list, an equal one or a small change."""

from collections.abc import Sequence
from dataclasses import replace

import msgspec

from benchmarks.scale.counting import executed_lines, median_cpu_us
from benchmarks.scale.fitting import Point, print_scaling
from benchmarks.scale.nodes import ADDRESS_PORT, Node, worker, workers
from robinhill import api
from robinhill.protocol import WatchEventReader

WORKERS = (100, 300, 1_000, 3_000, 10_000)
CHANGED_WORKERS = 10
MAX_EVENT_BYTES = 64 << 20


def restarted_workers(worker_count: int, restart: int) -> list[api.Worker]:
    """The first `CHANGED_WORKERS` workers after a restart; their start time differs for each ``restart``."""
    chosen = [worker(number) for number in range(min(CHANGED_WORKERS, worker_count))]
    return [replace(each, started_us=1 + restart) for each in chosen]


def full_list_us(worker_count: int) -> float:
    """Microseconds to apply the first full list; includes the creation of the node."""
    listed = workers(worker_count)
    return median_cpu_us(lambda: Node(0).apply_list(api.ListKind.FULL, listed))


def repeated_list_us(worker_count: int) -> float:
    """Microseconds to apply a full list that is equal to the one in use."""
    node, listed = Node(worker_count), workers(worker_count)
    return median_cpu_us(lambda: node.apply_list(api.ListKind.FULL, listed))


def change_us(worker_count: int) -> float:
    """Microseconds to apply a change of `CHANGED_WORKERS` of the listed workers."""
    node = Node(worker_count)
    changes = iter([restarted_workers(worker_count, restart) for restart in range(100)])
    return median_cpu_us(lambda: node.apply_list(api.ListKind.CHANGES, next(changes)))


def full_list_lines(worker_count: int) -> int:
    """Python lines executed to apply the first full list."""
    node, listed = Node(0), workers(worker_count)
    return executed_lines(lambda: node.apply_list(api.ListKind.FULL, listed))


def change_lines(worker_count: int) -> int:
    """Python lines executed to apply a change of `CHANGED_WORKERS` of the listed workers."""
    node, listed = Node(worker_count), restarted_workers(worker_count, 0)
    return executed_lines(lambda: node.apply_list(api.ListKind.CHANGES, listed))


def discovery_entry(number: int) -> dict[str, object]:
    """The entry of one worker in the format of the discovery service."""
    octets = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return {
        "instanceId": f"worker-{number:05}", "hostPort": f"{octets}:{ADDRESS_PORT}",
        "zone": f"zone-{number % 21}", "machineType": "std", "cell": 0, "lifecycle": "active",
        "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip


def encoded_full_list(worker_count: int) -> bytes:
    """A full list in the format of the discovery service."""
    message = {
        "generation": 1, "reset": True,
        "instances": [discovery_entry(number) for number in range(worker_count)],
    }  # fmt: skip
    return msgspec.json.encode(message) + b"\n"


def parse_us(worker_count: int) -> float:
    """Microseconds to parse a full list."""
    data = encoded_full_list(worker_count)
    return median_cpu_us(lambda: list(WatchEventReader(MAX_EVENT_BYTES).feed(data)))


MEASUREMENTS = (
    ("apply a full list", "us", full_list_us),
    ("apply an equal full list", "us", repeated_list_us),
    ("apply a change of 10 workers", "us", change_us),
    ("parse a full list", "us", parse_us),
    ("size of a full list on the wire", "bytes", lambda count: len(encoded_full_list(count))),
)


def run(sizes: Sequence[int]) -> None:
    """Print all costs; ``sizes`` are numbers of workers, by default `WORKERS`."""
    for title, unit, measure in MEASUREMENTS:
        points = [Point(count, measure(count)) for count in sizes or WORKERS]
        print_scaling(title, unit, points, "workers")
