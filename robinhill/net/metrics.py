"""The metrics for operators: components update one `Metrics` object, which renders them as text.

Dashboards rely on the names and types of the rendered metrics (docs/operations.md).
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from robinhill.placement.list_lease import ListLease, ListOrigin
from robinhill.protocol import Answer

if TYPE_CHECKING:
    from robinhill.record.recorder import Recorder

METRIC_PREFIX = "app"  # first part of each metric's name
RESPONSE_OUTCOMES = ("ok", "shed", "errors")


def _outcome(answer: Answer) -> str:
    if answer.status == 200:
        return "ok"
    return "shed" if answer.status in (429, 503) else "errors"


class Metrics:
    """Counters, which start at 0 with the process, and gauges, which have the value that was last set."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self.classes = classes
        self.responses: Counter[tuple[str, str]] = Counter()  # final answers, by class and outcome
        self.attempts_sent = 0  # attempts whose request was written completely to a worker
        # Attempts whose request a worker's connection began to write, by the origin of the endpoint list that
        # was in use at that time.
        self.sends: Counter[ListOrigin] = Counter()
        self.rejections: Counter[str] = Counter()  # rejected requests, by reason
        self.retries: Counter[str] = Counter()  # retried attempts, by the outcome of the previous attempt
        # Connections that this process closed, by peer and reason: ``client.REASON`` or ``worker.REASON``.
        self.closes: Counter[str] = Counter()
        self.list_lease: ListLease | None = None  # lease on the endpoint list in use; None: no lease is shown
        # Requests that are queued at admission control or in flight at the dispatcher. The request of a
        # client that has disconnected counts until its attempt ends.
        self.active = 0
        self.pool_size = 0  # workers on the endpoint list
        self.pool_ejected = 0  # listed workers that are disabled, cordoned or avoided after failures
        self.recorder: Recorder | None = None  # None: traffic is not recorded
        # Returns the number of requests queued at admission control; None: no admission control.
        self.admission_queued: Callable[[], int] | None = None

    def count_answer(self, job_class: int, answer: Answer) -> None:
        """Count a request's final answer by its class and outcome (``RESPONSE_OUTCOMES``)."""
        self.responses[self.classes[job_class], _outcome(answer)] += 1

    def text(self, now_us: int = 0) -> str:
        """Render each metric as a line ``name:value|type``, with type c for counters and g for gauges.

        ``now_us`` is the current time, from which the age of the endpoint list is computed.
        """
        lines = [
            f"{METRIC_PREFIX}.responses.{name}.{outcome}:{self.responses[name, outcome]}|c"
            for name in self.classes
            for outcome in RESPONSE_OUTCOMES
        ]
        lines.append(f"{METRIC_PREFIX}.tries:{self.attempts_sent}|c")
        lines.append(f"{METRIC_PREFIX}.active:{self.active}|g")
        lines.append(f"{METRIC_PREFIX}.pool_size:{self.pool_size}|g")
        lines.append(f"{METRIC_PREFIX}.pool_ejected:{self.pool_ejected}|g")
        lines += [f"{METRIC_PREFIX}.sends.{origin.value}:{self.sends[origin]}|c" for origin in ListOrigin]
        for name, counts in (
            ("refusals", self.rejections),
            ("retries", self.retries),
            ("closes", self.closes),
        ):
            lines += [f"{METRIC_PREFIX}.{name}.{why}:{count}|c" for why, count in sorted(counts.items())]
        if self.list_lease:
            lines.append(f"{METRIC_PREFIX}.list.version:{self.list_lease.version}|g")
            lines.append(f"{METRIC_PREFIX}.list.age_ms:{self.list_lease.age_ms(now_us)}|g")
        if self.admission_queued:
            queued = self.admission_queued()
            lines.append(f"{METRIC_PREFIX}.admission.queued:{queued}|g")
            lines.append(f"{METRIC_PREFIX}.door.queued:{queued}|g")  # former name of admission.queued
        if self.recorder:
            lines.append(f"{METRIC_PREFIX}.record.written:{self.recorder.written}|c")
            lines.append(f"{METRIC_PREFIX}.record.dropped:{self.recorder.dropped}|c")
        return "".join(f"{line}\n" for line in lines)
