"""How long a queued request will wait, and when a rejected caller should come back.

Estimates only: what follows from them is admission's.
"""

from random import Random

from robinhill.admission.estimate import Costs, Throughput
from robinhill.admission.queues import ClassQueue, DeficitRoundRobin, Queue, Ticket
from robinhill.api import JobClass, Settings

STRETCH_FACTOR = 1.5  # how far a job may wait into what its own length adds to its latency objective
TARGET_PATIENCE_SHARE = 0.8  # a caller that comes back in time finds at most so much of it queued
MIN_RETRY_AFTER_US = 50_000  # a caller that is back sooner finds nothing changed
JITTER_SHARE = 0.03
BOOKED_RATE_SHARE = 0.75  # of a rate is promised: fully booked returns would queue up behind each other
MIN_RATE = 1e-3


class WaitEstimate:
    """Rates of queues and classes, and the waits that follow. Times are microseconds."""

    def __init__(
        self,
        settings: Settings,
        costs: Costs,
        throughput: Throughput,
        round_robin: DeficitRoundRobin,
        random: Random,
    ) -> None:
        self._classes = settings.classes
        self._costs = costs
        self._throughput = throughput
        self._round_robin = round_robin
        self._random = random

    def patience_us(self, job_class: JobClass, typical_us: float) -> int:
        """How long a request of a class may wait and still make its latency objective."""
        stretch = max(0.0, job_class.stretch - 1)
        return job_class.latency_objective_us + int(STRETCH_FACTOR * stretch * typical_us)

    def queue_rate(self, now: int, queue: Queue) -> float:
        """Work admitted from a queue in a unit of time."""
        queue.advance(now)
        return max(MIN_RATE, queue.rate(self._throughput.rate * self._round_robin.share(queue)))

    def class_rate(self, now: int, class_queue: ClassQueue) -> float:
        """The same of one class of a queue, by the part that it has had recently."""
        queue = class_queue.queue
        return self.queue_rate(now, queue) * queue.part(class_queue.job_class)

    def retry_after_us(self, now: int, ticket: Ticket) -> int:
        """When the queue will be short enough for a request like this one, with jitter."""
        class_queue = ticket.queue.class_queue(ticket.job_class)
        patience = self.patience_us(self._classes[ticket.job_class], self._costs.by_class[ticket.job_class])
        rate = BOOKED_RATE_SHARE * self.class_rate(now, class_queue)
        wait = class_queue.work_ahead_us / rate - patience * TARGET_PATIENCE_SHARE
        jitter = 1 + JITTER_SHARE * (2 * self._random.random() - 1)
        return max(MIN_RETRY_AFTER_US, int(wait * jitter))
