"""Which workers get nothing new by order: disabled by operators, cordoned, or no lease to send at all.

Owns the set of disabled workers and the times at which workers were taken out of use here. What follows from
it for a listed worker is ``effective``; endpoints and decision module see nothing else of it.
"""

import logging
from dataclasses import dataclass, replace

from robinhill.net.dispatcher.messages import CordonsChanged
from robinhill.net.operators.disabled_workers import DisabledWorkerStore
from robinhill.protocol import Lifecycle, ListedEndpoint

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class OutOfUse:
    """Since when, and until when, a worker was out of use here (us; until 0: it still is)."""

    since_us: int
    until_us: int = 0


class WorkerRestrictions:
    """Disabled and cordoned workers, and whether this scheduler may send by its lease on the cordons."""

    def __init__(self, store: DisabledWorkerStore, now_us: int) -> None:
        self.store = store
        self.disabled = store.load()
        # The file holds no times: a worker disabled by an earlier process counts from the start on.
        self.out_of_use = {instance_id: OutOfUse(now_us) for instance_id in self.disabled}
        self.cordons: CordonsChanged | None = None  # the last that came
        self.send_lease_held = True  # as endpoints and decision module were notified

    def applies_to(self, destination: ListedEndpoint | None, instance_id: str) -> bool:
        """Whether operators have ordered that a worker gets nothing, here or at any scheduler."""
        return instance_id in self.disabled or (
            self.cordons is not None and destination is not None and self.cordons.covers(destination)
        )

    def effective(self, destination: ListedEndpoint) -> ListedEndpoint:
        """The worker as endpoints and decision module are to see it: restrictions override the list.

        The list is late: a restart while the worker was out of use may not be on it yet, and a cold worker
        taken for a warm one would be overloaded. So one that is back in use counts as started just then.
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
        """Disable or enable a worker; False, with nothing changed, if that can't be saved."""
        changed = self.disabled | {instance_id} if disabled else self.disabled - {instance_id}
        if not self.store.save(changed):
            return False
        self.disabled = changed
        log.info("worker_disabled" if disabled else "worker_enabled", extra={"endpoint": instance_id})
        self._note_use(now_us, instance_id, not disabled)
        return True

    def set_cordons(self, now_us: int, cordons: CordonsChanged, listed: list[ListedEndpoint]) -> bool:
        """Use other cordons from now on; whether that changes anything for a listed worker."""
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
            self._note_use(now_us, instance_id, not restricted)
        return changed

    def _note_use(self, now_us: int, instance_id: str, in_use: bool) -> None:
        if in_use:
            outage = self.out_of_use.get(instance_id, OutOfUse(now_us))
            self.out_of_use[instance_id] = replace(outage, until_us=now_us)
        else:
            self.out_of_use[instance_id] = OutOfUse(now_us)

    def import_state(self, disabled: list[str], out_of_use: dict[str, OutOfUse]) -> None:
        """Take a predecessor's disabled workers and times."""
        self.disabled = set(disabled)
        self.out_of_use = out_of_use
