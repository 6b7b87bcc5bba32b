"""Cost of a request's decisions by the number of workers, and of an attempt's end by that of queued jobs."""

from collections.abc import Sequence

from benchmarks.scale.counting import executed_lines, median_cpu_us
from benchmarks.scale.fitting import Point, print_scaling
from benchmarks.scale.nodes import SECOND_US, Node, settings

WORKERS = (10, 30, 100, 300, 1_000, 3_000, 10_000)
QUEUED_JOBS = (10, 100, 1_000, 10_000)
REQUESTS_PER_RUN = 16  # a multiple of 8, since prices by zone are computed at every eighth arrival
WARM_UP_REQUESTS = 200  # afterwards the smoothed arrival rate changes slowly, as it does on a busy node
ARRIVAL_INTERVAL_US = 1_000
FEW_WORKERS = 4
LONG_DEADLINE_US = 600 * SECOND_US  # no queued job expires during a measurement


def warmed_up_node(worker_count: int) -> Node:
    """A node that has run some jobs; a new node reprices all workers at almost every arrival."""
    node = Node(worker_count)
    for _ in range(WARM_UP_REQUESTS):
        run_request(node)
    return node


def run_request(node: Node) -> None:
    """Handle all events of one request: its arrival, and the start and end of its attempt."""
    node.arrive(ARRIVAL_INTERVAL_US)
    node.start_oldest()
    node.end_oldest()


def run_requests(node: Node) -> None:
    for _ in range(REQUESTS_PER_RUN):
        run_request(node)


def arrival_us(worker_count: int) -> float:
    """Microseconds of the decisions for one request: its arrival, and the start and end of its attempt."""
    node = warmed_up_node(worker_count)
    return median_cpu_us(lambda: run_requests(node)) / REQUESTS_PER_RUN


def arrival_lines(worker_count: int) -> float:
    """Python lines executed by the decisions for one request."""
    node = warmed_up_node(worker_count)
    return executed_lines(lambda: run_requests(node)) / REQUESTS_PER_RUN


def full_pricing_us(worker_count: int) -> float:
    """Microseconds of an arrival that recomputes the prices of all workers, as at a start or a burst."""
    node = Node(worker_count)
    return median_cpu_us(lambda: node.arrive(ARRIVAL_INTERVAL_US))


def node_with_queue(queued_jobs: int) -> Node:
    """A node whose few workers are all busy, with ``queued_jobs`` jobs in its queue."""
    node = Node(FEW_WORKERS, settings(LONG_DEADLINE_US, 2 * LONG_DEADLINE_US))
    while len(node.balancer.queue.jobs) < queued_jobs:
        node.arrive()
    return node


def end_attempt(node: Node) -> None:
    """Start and end the oldest attempt; the node sends queued jobs in its place."""
    node.start_oldest()
    node.end_oldest()


def queued_end_us(queued_jobs: int) -> float:
    """Microseconds of the start and end of one attempt, with the sending of queued jobs."""
    node = node_with_queue(queued_jobs)
    return median_cpu_us(lambda: end_attempt(node))


def queued_end_lines(queued_jobs: int) -> int:
    """Python lines executed for the start and end of one attempt, with the sending of queued jobs."""
    node = node_with_queue(queued_jobs)
    return executed_lines(lambda: end_attempt(node))


def run(sizes: Sequence[int]) -> None:
    """Print all costs; ``sizes`` are numbers of workers, by default `WORKERS`."""
    counts = sizes or WORKERS
    print_scaling("decisions for one request", "us", [Point(n, arrival_us(n)) for n in counts], "workers")
    points = [Point(n, full_pricing_us(n)) for n in counts]
    print_scaling("one arrival that recomputes the prices of all workers", "us", points, "workers")
    print_scaling(
        "decisions for one request", "lines", [Point(n, arrival_lines(n)) for n in counts], "workers"
    )
    print_scaling("end of an attempt", "us", [Point(n, queued_end_us(n)) for n in QUEUED_JOBS], "queued jobs")
    print_scaling(
        "end of an attempt", "lines", [Point(n, queued_end_lines(n)) for n in QUEUED_JOBS], "queued jobs"
    )
