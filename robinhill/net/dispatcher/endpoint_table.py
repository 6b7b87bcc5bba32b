"""The endpoint list as this process has it, and the endpoint actor of each worker on it.

Owns which endpoints exist: they are opened as workers are listed, and closed once a removed worker has no
attempt in flight. It does not choose workers.
"""

from collections.abc import Callable
from dataclasses import replace

from robinhill import api
from robinhill.config import Config
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.dispatcher.traffic_recorder import TrafficRecorder
from robinhill.net.dispatcher.worker_restrictions import WorkerRestrictions
from robinhill.net.metrics import Metrics
from robinhill.net.workers.endpoint import Endpoint, SendPolicy
from robinhill.net.workers.messages import CloseIdleConnections, EndpointReport
from robinhill.placement.list_lease import ListLease
from robinhill.protocol import EndpointList, Lifecycle, ListedEndpoint

_WORKER_STATES = {
    Lifecycle.ACTIVE: api.WorkerState.READY,
    Lifecycle.DRAINING: api.WorkerState.DRAINING,
    Lifecycle.REMOVED: api.WorkerState.REMOVED,
}


class EndpointTable:
    """Listed workers and their endpoints by instance id."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        restrictions: WorkerRestrictions,
        report: Callable[[EndpointReport], None],
        list_lease: ListLease | None,
    ) -> None:
        self.settings = config.settings
        self.supervisor = supervisor
        self.clock = clock
        self.metrics = metrics
        self.restrictions = restrictions
        self.report = report
        self.list_lease = list_lease
        self.destinations: dict[str, ListedEndpoint] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.catch_up: CatchUp | None = None  # after a stall; None: stalls are not detected
        self.may_send: Callable[[ListedEndpoint], bool] | None = None  # called right before each write
        self.traffic_recorder: TrafficRecorder | None = None
        self._zones = list(config.zones)
        self._machine_types = list(config.machine_types)

    def listed(self) -> list[ListedEndpoint]:
        """The workers on the list; a removed one stays in the table until its attempts are over."""
        return [d for d in self.destinations.values() if d.lifecycle is not Lifecycle.REMOVED]

    def workers(self) -> list[api.Worker]:
        """The listed workers as the decision module sees them."""
        return [self.worker(destination) for destination in self.listed()]

    def worker(self, destination: ListedEndpoint) -> api.Worker:
        """A worker as the decision module sees it: names are numbers, by settings and first appearance."""
        destination = self.restrictions.effective(destination)
        return api.Worker(
            address=destination.instance_id,
            zone=_number_of(self._zones, destination.zone),
            state=_WORKER_STATES[destination.lifecycle],
            started_us=destination.started_us,
            weight=destination.weight,
            kind=_number_of(self._machine_types, destination.machine_type),
            cell=destination.cell,
        )

    def apply(self, received: EndpointList, complete: bool) -> None:
        """Take a complete list, which removes whom it does not name, or changes to the one in use."""
        if complete:
            names = {destination.instance_id for destination in received.endpoints}
            for removed in [d for d in self.destinations.values() if d.instance_id not in names]:
                self.update(replace(removed, lifecycle=Lifecycle.REMOVED))
        for destination in received.endpoints:
            self.update(destination)

    def update(self, destination: ListedEndpoint) -> None:
        """Notify a worker's endpoint of its entry on the list, or open one."""
        instance_id = destination.instance_id
        self.destinations[instance_id] = destination
        if self.traffic_recorder:
            self.traffic_recorder.record_endpoint(destination)
        effective = self.restrictions.effective(destination)
        if endpoint := self.endpoints.get(instance_id):
            endpoint.tell(effective)
        elif destination.lifecycle is Lifecycle.REMOVED:
            del self.destinations[instance_id]
        else:
            self._open(effective)

    def update_all(self) -> None:
        """Notify all endpoints again, as restrictions have changed."""
        for destination in self.listed():
            self.update(destination)

    def open_removed(self, destination: ListedEndpoint) -> Endpoint:
        """An endpoint for what a worker still has that is no longer listed."""
        self.destinations[destination.instance_id] = destination
        return self._open(destination)

    def _open(self, destination: ListedEndpoint) -> Endpoint:
        endpoint = Endpoint(
            destination,
            self.supervisor,
            self.clock,
            self.settings.connect_timeout_us,
            self.settings.keepalive_us,
            self.metrics,
            self.report,
            SendPolicy(self.may_send, self.list_lease, self.catch_up),
        )
        self.endpoints[destination.instance_id] = endpoint
        endpoint.start()
        return endpoint

    def retire(self, instance_id: str) -> None:
        """Close the endpoint of a worker that has been removed, unless it is listed again."""
        destination = self.destinations.get(instance_id)
        if destination and destination.lifecycle is Lifecycle.REMOVED:
            del self.destinations[instance_id]
            endpoint = self.endpoints.pop(instance_id)
            endpoint.stop()
            self.supervisor.spawn(endpoint.close(), f"close {endpoint.name}")

    def close_idle_connections(self) -> None:
        """Leave the workers' connections to another process."""
        for endpoint in self.endpoints.values():
            endpoint.tell(CloseIdleConnections())

    async def close(self) -> None:
        """Close all endpoints."""
        for endpoint in self.endpoints.values():
            await endpoint.close()


def _number_of(names: list[str], name: str) -> int:
    if name not in names:
        names.append(name)
    return names.index(name)
