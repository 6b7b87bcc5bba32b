"""What a decision costs by listed workers, and what an event costs by held jobs."""

from collections.abc import Sequence

from benchmarks.scale.counting import executed_lines, microseconds
from benchmarks.scale.fitting import Point, print_ladder
from benchmarks.scale.nodes import SECOND_US, Node, settings

WORKERS = (10, 30, 100, 300, 1_000, 3_000, 10_000)
HELD_JOBS = (10, 100, 1_000, 10_000)
ARRIVALS = 16  # in one timing or count: prices by zone are worked out at each eighth
WARM_ARRIVALS = 200  # until the smoothed rate moves slowly, as it does on a busy node
APART_US = 1_000
FEW_WORKERS = 4
LONG_US = 600 * SECOND_US  # jobs that may be held for so long do not end while they are counted


def warmed(worker_count: int) -> Node:
    """A node that has seen some jobs: at first all workers are priced anew at most arrivals."""
    node = Node(worker_count)
    for _ in range(WARM_ARRIVALS):
        one_request(node)
    return node


def one_request(node: Node) -> None:
    """A request from arrival to its answer."""
    node.arrive(APART_US)
    node.start_first()
    node.end_first()


def many_requests(node: Node) -> None:
    for _ in range(ARRIVALS):
        one_request(node)


def arrival_us(worker_count: int) -> float:
    """Microseconds of one request's decisions: arrival, start and end."""
    node = warmed(worker_count)
    return microseconds(lambda: many_requests(node)) / ARRIVALS


def arrival_lines(worker_count: int) -> float:
    """Executed lines of the same."""
    node = warmed(worker_count)
    return executed_lines(lambda: many_requests(node)) / ARRIVALS


def priced_arrival_us(worker_count: int) -> float:
    """Microseconds of an arrival at which all workers are priced anew, as at a start or a burst."""
    node = Node(worker_count)
    return microseconds(lambda: node.arrive(APART_US))


def holding(held_jobs: int) -> Node:
    """A node whose few workers are all taken, with so many jobs held."""
    node = Node(FEW_WORKERS, settings(LONG_US, 2 * LONG_US))
    while len(node.balancer.queue.jobs) < held_jobs:
        node.arrive()
    return node


def one_end(node: Node) -> None:
    """The oldest attempt begins and ends; held jobs take its place."""
    node.start_first()
    node.end_first()


def held_end_us(held_jobs: int) -> float:
    """Microseconds of the end of one attempt, by which held jobs are sent."""
    node = holding(held_jobs)
    return microseconds(lambda: one_end(node))


def held_end_lines(held_jobs: int) -> int:
    """Executed lines of the same."""
    node = holding(held_jobs)
    return executed_lines(lambda: one_end(node))


def run(sizes: Sequence[int]) -> None:
    """Both ladders; ``sizes`` are of workers, empty for all."""
    counts = sizes or WORKERS
    print_ladder("one request's decisions", "us", [Point(n, arrival_us(n)) for n in counts], "workers")
    points = [Point(n, priced_arrival_us(n)) for n in counts]
    print_ladder("one arrival at which all workers are priced anew", "us", points, "workers")
    print_ladder("one request's decisions", "lines", [Point(n, arrival_lines(n)) for n in counts], "workers")
    print_ladder("end of an attempt", "us", [Point(n, held_end_us(n)) for n in HELD_JOBS], "held jobs")
    print_ladder("end of an attempt", "lines", [Point(n, held_end_lines(n)) for n in HELD_JOBS], "held jobs")
