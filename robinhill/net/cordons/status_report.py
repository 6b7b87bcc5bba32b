"""Status and metrics of a scheduler that shares state with peers, and its knowledge of its peers."""

from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.replica import Replica
from robinhill.net.clock import Clock
from robinhill.net.cordons.fleet import Fleet
from robinhill.net.cordons.replies import PROCESS_STATUS_NAMES, SchedulerReply, StatusReply


class StatusReport:
    """Builds status replies and metrics from the state of the objects passed to it, without changing them."""

    def __init__(
        self,
        fleet: Fleet,
        replica: Replica,
        freshness: Freshness,
        tracker: PropagationTracker,
        index: CordonIndex,
        clock: Clock,
    ) -> None:
        self.fleet = fleet
        self.replica = replica
        self.freshness = freshness
        self.tracker = tracker
        self.index = index
        self.clock = clock

    def status(self, mono_us: int, *, serving: bool) -> StatusReply:
        """Return the status of this scheduler's copy of the shared state.

        The copy's digest is included only if the scheduler accepts clients (``serving``).
        """
        age_us = self.freshness.age_us(mono_us)
        return StatusReply(
            name=self.fleet.own_name,
            incarnation=self.replica.clock.incarnation,
            digest=self.replica.digest(self.clock.now_us()).hex() if serving else None,
            counts=self.freshness.caught_up,
            on_lost=self.fleet.options.on_lost,
            lease=self.freshness.holds_lease(mono_us),
            majority_age_ms=None if age_us is None else age_us / 1000,
            schedulers=self.schedulers(mono_us),
        )

    def schedulers(self, mono_us: int) -> tuple[SchedulerReply, ...]:
        """Return the status of all configured schedulers, including this one."""
        return tuple(self._scheduler(name, mono_us) for name in self.fleet.names)

    def metrics(self, mono_us: int, catch_up_us: int | None) -> list[str]:
        """Return the metrics as lines (NAME:VALUE|g); the caller adds the common prefix of all names.

        ``catch_up_us``: the duration of the catch-up phase, None before its end. The metrics ``catch_up_ms``
        and ``majority_age_ms`` are -1 if their value is unknown.
        """
        age_us = self.freshness.age_us(mono_us)
        targets = self.tracker.applied.keys()
        lagging = {name for target in targets for name in self.tracker.lagging_peers(target)}
        sizes = sorted(self.replica.sizes().items())
        return [
            f"cordons:{len(self.index.active())}|g",
            f"cordoned_workers:{len(self.index.cordoned_workers())}|g",
            f"cordons_under_way:{len(self.tracker.pending())}|g",
            f"behind:{len(lagging)}|g",
            f"lease:{int(self.freshness.holds_lease(mono_us))}|g",
            f"majority_age_ms:{-1 if age_us is None else age_us // 1000}|g",
            f"catch_up_ms:{-1 if catch_up_us is None else catch_up_us // 1000}|g",
            *(f"records.{kind}:{count}|g" for kind, (count, _) in sizes),
            *(f"bytes.{kind}:{size}|g" for kind, (_, size) in sizes),
        ]

    def _scheduler(self, name: str, mono_us: int) -> SchedulerReply:
        if name == self.fleet.own_name:
            counts, same_list = self.freshness.caught_up, True
            as_of_us: int | None = mono_us
        else:
            current = self.tracker.peers[name].current_acknowledgement
            own_list = acknowledgements.list_digest(self.fleet.names)
            counts = bool(current and current.caught_up)
            same_list = bool(current and current.names_digest == own_list)
            as_of_us = self.freshness.known_as_of(name)
        scheduler = self.tracker.scheduler(mono_us, name)
        return SchedulerReply(
            name=name,
            state=PROCESS_STATUS_NAMES[scheduler.status],
            incarnation=scheduler.incarnation,
            on_lost=scheduler.mode.value if scheduler.mode else None,
            counts=counts,
            same_list=same_list,
            knowledge_age_ms=None if as_of_us is None else (mono_us - as_of_us) / 1000,
        )
