"""Restrictions on sending to workers: disabled workers, cordons, and a lost lease on the cordons.

A worker is disabled at this scheduler alone, and cordoned at all schedulers. Without the lease, this
scheduler may have missed a cordon. This module owns the set of disabled workers and the times at which
workers were out of use (disabled or cordoned) at this scheduler. Endpoints and decision module are notified
of restrictions only through list entries changed by ``effective``.
"""

import logging
from dataclasses import dataclass, replace

from robinhill.net.dispatcher.messages import CordonsChanged
from robinhill.net.operators.disabled_workers import DisabledWorkerStore
from robinhill.protocol import Lifecycle, ListedEndpoint

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class OutOfUse:
    """Start and end of a worker's time out of use at this scheduler, that is, disabled or cordoned.

    ``until_us`` is 0 while the worker is still out of use.
    """

    since_us: int
    until_us: int = 0


class WorkerRestrictions:
    """Disabled and cordoned workers, and whether this scheduler holds the lease on the cordons."""

    def __init__(self, store: DisabledWorkerStore, now_us: int) -> None:
        self.store = store
        self.disabled = store.load()
        # The file contains no times, so a worker disabled by an earlier process counts as out of use from the
        # start of this process.
        self.out_of_use = {instance_id: OutOfUse(now_us) for instance_id in self.disabled}
        self.cordons: CordonsChanged | None = None  # the cordons last received; None: none received yet
        # Whether the lease on the cordons is held, as last notified to endpoints and decision module; True if
        # no lease is needed.
        self.send_lease_held = True

    def applies_to(self, destination: ListedEndpoint | None, instance_id: str) -> bool:
        """Whether a worker is disabled at this scheduler or cordoned at all schedulers."""
        return instance_id in self.disabled or (
            self.cordons is not None and destination is not None and self.cordons.covers(destination)
        )

    def effective(self, destination: ListedEndpoint) -> ListedEndpoint:
        """The worker's list entry with restrictions applied, for endpoints and decision module.

        A restricted worker appears as draining, and so do all workers while the lease on the cordons is lost.
        A worker that is back in use counts as started when it came back: it may have restarted while it was
        out of use without the list showing the restart yet, and a cold worker that gets the load of a warm
        one would be overloaded.
        """
        if destination.lifecycle is Lifecycle.ACTIVE and (
            self.applies_to(destination, destination.instance_id) or not self.send_lease_held
        ):
            return replace(destination, lifecycle=Lifecycle.DRAINING)
        outage = self.out_of_use.get(destination.instance_id)
        if outage and outage.until_us and destination.started_us < outage.since_us:
            return replace(destination, started_us=outage.until_us)
        return destination

    def set_disabled(self, now_us: int, instance_id: str, disabled: bool) -> bool:
        """Disable or enable a worker; False, with nothing changed, if the change could not be saved."""
        changed = self.disabled | {instance_id} if disabled else self.disabled - {instance_id}
        if not self.store.save(changed):
            return False
        self.disabled = changed
        log.info("worker_disabled" if disabled else "worker_enabled", extra={"endpoint": instance_id})
        self._record_use(now_us, instance_id, not disabled)
        return True

    def set_cordons(self, now_us: int, cordons: CordonsChanged, listed: list[ListedEndpoint]) -> bool:
        """Replace the cordons; returns whether this changes the restrictions of a listed worker."""
        before = {d.instance_id: self.applies_to(d, d.instance_id) for d in listed}
        self.cordons = cordons
        changed = False
        for destination in listed:
            instance_id = destination.instance_id
            restricted = self.applies_to(destination, instance_id)
            if restricted is before[instance_id]:
                continue
            changed = True
            log.info("cordoned" if restricted else "uncordoned", extra={"endpoint": instance_id})
            self._record_use(now_us, instance_id, not restricted)
        return changed

    def _record_use(self, now_us: int, instance_id: str, in_use: bool) -> None:
        if in_use:
            outage = self.out_of_use.get(instance_id, OutOfUse(now_us))
            self.out_of_use[instance_id] = replace(outage, until_us=now_us)
        else:
            self.out_of_use[instance_id] = OutOfUse(now_us)

    def import_state(self, disabled: list[str], out_of_use: dict[str, OutOfUse]) -> None:
        """Adopt a predecessor process's disabled workers and times out of use."""
        self.disabled = set(disabled)
        self.out_of_use = out_of_use
