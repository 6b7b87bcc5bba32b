"""What passes, as the records of a recording: no bodies, ids and tenants hashed."""

from typing import TYPE_CHECKING

from robinhill.api import Outcome
from robinhill.net.clock import Clock
from robinhill.protocol import JobRequest, ListedEndpoint
from robinhill.record.records import Answered, Arrived, Attempted, Listed

if TYPE_CHECKING:  # its compressor is loaded where something is recorded, and only there
    from robinhill.record.recorder import Recorder


class TrafficRecorder:
    """Called by the actors that know; the recorder's thread does the rest."""

    def __init__(self, recorder: "Recorder", clock: Clock, classes: tuple[str, ...]) -> None:
        self.recorder = recorder
        self.clock = clock
        self.classes = classes

    def arrived(self, request: JobRequest, at_us: int, tenant: str) -> None:
        """A request was taken; without admission control nobody knows of its tenant."""
        number = self.recorder.hash(tenant) if tenant else 0
        self.recorder.add(
            Arrived(
                at_us,
                self.recorder.hash(request.id),
                self.classes[request.job_class],
                number,
                len(request.body),
                request.time_left_us,
                request.client_repeat,
            )
        )

    def attempted(
        self, request: JobRequest, endpoint: str, outcome: Outcome, took_us: int, began_us: int
    ) -> None:
        """An attempt has ended."""
        now = self.clock.now_us()
        # The ending has come by another mailbox since: it did not run longer than it was out.
        ran = min(took_us, now - began_us) if began_us else -1
        self.recorder.add(
            Attempted(now, self.recorder.hash(request.id), endpoint, outcome.value, took_us, ran)
        )

    def answered(self, request: JobRequest, status: int) -> None:
        """A final answer, whoever gave it."""
        self.recorder.add(Answered(self.clock.now_us(), self.recorder.hash(request.id), status))

    def listed(self, d: ListedEndpoint) -> None:
        """An entry of the destination set, as discovery told it."""
        self.recorder.add(
            Listed(
                self.clock.now_us(), d.instance_id, d.zone, d.machine_type, d.lifecycle.value, d.started_us
            )
        )
