"""Creates the records of a traffic recording from requests, attempts, answers and endpoints.

Records contain no request bodies, and only hashes of request ids and tenants. The `Recorder` writes them in a
thread of its own.
"""

from typing import TYPE_CHECKING

from robinhill.api import Outcome
from robinhill.net.clock import Clock
from robinhill.protocol import JobRequest, ListedEndpoint
from robinhill.record.records import Answered, Arrived, Attempted, Listed

if TYPE_CHECKING:  # imported at run time only if recording is configured, as it loads a compression library
    from robinhill.record.recorder import Recorder


class TrafficRecorder:
    """Adds requests, attempts, answers and endpoints to the recording, each as one record.

    The dispatcher and the admission actor call it.
    """

    def __init__(self, recorder: "Recorder", clock: Clock, classes: tuple[str, ...]) -> None:
        self.recorder = recorder
        self.clock = clock
        self.classes = classes

    def record_arrival(self, request: JobRequest, at_us: int, tenant: str) -> None:
        """Record an accepted request; ``tenant`` is empty if the request bypasses admission control."""
        tenant_hash = self.recorder.hash(tenant) if tenant else 0
        self.recorder.add(
            Arrived(
                at_us,
                self.recorder.hash(request.id),
                self.classes[request.job_class],
                tenant_hash,
                len(request.body),
                request.time_left_us,
                request.client_repeat,
            )
        )

    def record_attempt(
        self, request: JobRequest, endpoint: str, outcome: Outcome, took_us: int, started_us: int
    ) -> None:
        """Record an attempt that has ended.

        ``took_us`` is the time for which it was in flight. ``started_us`` is the time at which it started to
        run, 0 if unknown; its running time is then recorded as -1.
        """
        now = self.clock.now_us()
        # The end of the attempt was reported through a mailbox with some delay, so the time since its start
        # may exceed the time for which it was in flight. The shorter of the two is its running time.
        ran_us = min(took_us, now - started_us) if started_us else -1
        self.recorder.add(
            Attempted(now, self.recorder.hash(request.id), endpoint, outcome.value, took_us, ran_us)
        )

    def record_answer(self, request: JobRequest, status: int) -> None:
        """Record a final answer."""
        self.recorder.add(Answered(self.clock.now_us(), self.recorder.hash(request.id), status))

    def record_endpoint(self, endpoint: ListedEndpoint) -> None:
        """Record an entry of the endpoint list as received from discovery."""
        self.recorder.add(
            Listed(
                self.clock.now_us(),
                endpoint.instance_id,
                endpoint.zone,
                endpoint.machine_type,
                endpoint.lifecycle.value,
                endpoint.started_us,
            )
        )
