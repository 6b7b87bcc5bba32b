"""Requests, attempts, answers and endpoints as the records of a recording.

Bodies are left out, ids and tenants are hashed. Writing is the recorder's part, in its own thread.
"""

from typing import TYPE_CHECKING

from robinhill.api import Outcome
from robinhill.net.clock import Clock
from robinhill.protocol import JobRequest, ListedEndpoint
from robinhill.record.records import Answered, Arrived, Attempted, Listed

if TYPE_CHECKING:  # its compressor is loaded where something is recorded, and only there
    from robinhill.record.recorder import Recorder


class TrafficRecorder:
    """Makes a record of each event; called by dispatcher and admission."""

    def __init__(self, recorder: "Recorder", clock: Clock, classes: tuple[str, ...]) -> None:
        self.recorder = recorder
        self.clock = clock
        self.classes = classes

    def record_arrival(self, request: JobRequest, at_us: int, tenant: str) -> None:
        """Record an accepted request; its tenant is empty where there is no admission control."""
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
        """Record an attempt that has ended; ``started_us``: when it began to run, 0 if that is not known."""
        now = self.clock.now_us()
        # Its end was reported by way of another mailbox: it did not run longer than it was in flight.
        ran_us = min(took_us, now - started_us) if started_us else -1
        self.recorder.add(
            Attempted(now, self.recorder.hash(request.id), endpoint, outcome.value, took_us, ran_us)
        )

    def record_answer(self, request: JobRequest, status: int) -> None:
        """Record a final answer."""
        self.recorder.add(Answered(self.clock.now_us(), self.recorder.hash(request.id), status))

    def record_endpoint(self, endpoint: ListedEndpoint) -> None:
        """Record an entry of the endpoint list as discovery gave it."""
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
