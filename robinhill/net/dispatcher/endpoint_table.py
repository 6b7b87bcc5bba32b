"""The current endpoint list, and the endpoint actor of each worker on it.

An endpoint is opened when its worker appears on the list, and closed when the worker has been removed from
the list and has no attempt in flight.
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
    """Workers and their endpoints, by instance id: listed workers, and removed ones not yet retired."""

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
        self.catch_up: CatchUp | None = None  # detects stalls; None: stalls are not detected
        # Called immediately before each write to a worker; returns whether the write is allowed. None: all
        # writes are allowed.
        self.may_send: Callable[[ListedEndpoint], bool] | None = None
        self.traffic_recorder: TrafficRecorder | None = None
        self._zones = list(config.zones)
        self._machine_types = list(config.machine_types)

    def listed(self) -> list[ListedEndpoint]:
        """The workers on the list, without removed ones, which stay in the table until their attempts end."""
        return [d for d in self.destinations.values() if d.lifecycle is not Lifecycle.REMOVED]

    def workers(self) -> list[api.Worker]:
        """The listed workers in the representation of the decision module."""
        return [self.worker(destination) for destination in self.listed()]

    def worker(self, destination: ListedEndpoint) -> api.Worker:
        """A worker in the representation of the decision module, with restrictions applied.

        Zones and machine types are numbered in the order of the settings; unknown ones follow in the order of
        their first appearance.
        """
        destination = self.restrictions.effective(destination)
        return api.Worker(
            address=destination.instance_id,
            zone=_index_of(self._zones, destination.zone),
            state=_WORKER_STATES[destination.lifecycle],
            started_us=destination.started_us,
            weight=destination.weight,
            kind=_index_of(self._machine_types, destination.machine_type),
            cell=destination.cell,
        )

    def apply(self, received: EndpointList, complete: bool) -> None:
        """Apply a received list.

        If ``complete``, workers that it does not contain are removed; otherwise it contains only the entries
        that have changed.
        """
        if complete:
            names = {destination.instance_id for destination in received.endpoints}
            for removed in [d for d in self.destinations.values() if d.instance_id not in names]:
                self.update(replace(removed, lifecycle=Lifecycle.REMOVED))
        for destination in received.endpoints:
            self.update(destination)

    def update(self, destination: ListedEndpoint) -> None:
        """Store a worker's list entry and pass it to the worker's endpoint, with restrictions applied.

        Opens the endpoint if there is none, unless the entry removes the worker.
        """
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
        """Update the endpoints of all listed workers after restrictions have changed."""
        for destination in self.listed():
            self.update(destination)

    def open_removed(self, destination: ListedEndpoint) -> Endpoint:
        """Open an endpoint for a worker that is no longer listed but has an attempt in flight."""
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
        """Close a removed worker's endpoint, and remove worker and endpoint from the table.

        This has no effect if the worker is listed again.
        """
        destination = self.destinations.get(instance_id)
        if destination and destination.lifecycle is Lifecycle.REMOVED:
            del self.destinations[instance_id]
            endpoint = self.endpoints.pop(instance_id)
            endpoint.stop()
            self.supervisor.spawn(endpoint.close(), f"close {endpoint.name}")

    def close_idle_connections(self) -> None:
        """Close idle connections to all workers, so that the successor process can use their descriptors."""
        for endpoint in self.endpoints.values():
            endpoint.tell(CloseIdleConnections())

    async def close(self) -> None:
        """Close all endpoints."""
        for endpoint in self.endpoints.values():
            await endpoint.close()


def _index_of(names: list[str], name: str) -> int:
    if name not in names:
        names.append(name)
    return names.index(name)
