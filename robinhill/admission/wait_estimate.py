"""Estimates of the queueing delay of requests and of the time after which a rejected caller should retry.

Whether a request is rejected because of an estimate is decided in admission.py.
"""

from random import Random

from robinhill.admission.estimate import Costs, Throughput
from robinhill.admission.queues import ClassQueue, DeficitRoundRobin, Queue, Ticket
from robinhill.api import JobClass, Settings

# A job's latency objective is extended by `stretch`, a setting of its class, times its running time. As the
# job itself needs one running time, (stretch - 1) times the running time is left for waiting. A job may be
# queued for STRETCH_FACTOR times that remainder, in addition to the class's constant latency objective.
STRETCH_FACTOR = 1.5
# A caller that retries at its promised time is expected to be queued for at most this share of the time for
# which its request may be queued, see `WaitEstimate.patience_us`.
TARGET_PATIENCE_SHARE = 0.8
MIN_RETRY_AFTER_US = 50_000  # a caller that retries sooner would find the queue unchanged
JITTER_SHARE = 0.03  # a promised wait is varied at random by up to this share, up or down
# Promised waits are computed with this share of a class's service rate: with the full rate, returning callers
# would queue up behind each other.
BOOKED_RATE_SHARE = 0.75
MIN_RATE = 1e-3  # in work per unit of time; avoids a division by zero


class WaitEstimate:
    """Estimates the service rates of queues and classes, and from them the waits of requests (us)."""

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
        """How long a request of a class may be queued (its patience) and still meet its latency objective.

        ``typical_us`` is the mean running time of the class.
        """
        stretch = max(0.0, job_class.stretch - 1)
        return job_class.latency_objective_us + int(STRETCH_FACTOR * stretch * typical_us)

    def queue_rate(self, now: int, queue: Queue) -> float:
        """The estimated work that is admitted from a queue per unit of time."""
        queue.advance(now)
        return max(MIN_RATE, queue.rate(self._throughput.rate * self._round_robin.share(queue)))

    def class_rate(self, now: int, class_queue: ClassQueue) -> float:
        """The estimated work that is admitted from one class of a queue per unit of time.

        It is the rate of the queue multiplied by the class's share of the recently admitted work.
        """
        queue = class_queue.queue
        return self.queue_rate(now, queue) * queue.class_share(class_queue.job_class)

    def retry_after_us(self, now: int, ticket: Ticket) -> int:
        """Time after which the caller of a rejected request should retry, with jitter.

        A retry at that time is expected to be queued for TARGET_PATIENCE_SHARE of its patience.
        """
        class_queue = ticket.queue.class_queue(ticket.job_class)
        patience = self.patience_us(self._classes[ticket.job_class], self._costs.by_class[ticket.job_class])
        rate = BOOKED_RATE_SHARE * self.class_rate(now, class_queue)
        wait = class_queue.work_ahead_us / rate - patience * TARGET_PATIENCE_SHARE
        jitter = 1 + JITTER_SHARE * (2 * self._random.random() - 1)
        return max(MIN_RETRY_AFTER_US, int(wait * jitter))
