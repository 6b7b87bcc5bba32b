"""Writes this scheduler's own acknowledgement: a record with the cordons that its dispatcher has applied.

This module owns two parts of the acknowledgement: its sequence number, and its list of the peers that started
most recently with their incarnations. It does not handle the other schedulers' acknowledgements.
"""

import asyncio
import logging
from collections.abc import Callable

from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.errors import StateFull
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.replica import Replica
from robinhill.net.clock import Clock
from robinhill.net.cordons.fleet import Fleet

log = logging.getLogger(__name__)

# Delay between the report of a peer's process start and the acknowledgement that includes it, so that one
# acknowledgement includes several peers that start at about the same time.
STARTS_DELAY_S = 0.05


class AcknowledgementWriter:
    """Writes the acknowledgement record of this scheduler.

    ``written_us``: the Unix time of the last write; 0 before the first write.
    """

    def __init__(
        self,
        fleet: Fleet,
        replica: Replica,
        freshness: Freshness,
        tracker: PropagationTracker,
        clock: Clock,
    ) -> None:
        self.fleet = fleet
        self.replica = replica
        self.freshness = freshness
        self.tracker = tracker
        self.clock = clock
        self.written_us = 0
        self._sequence = 0
        self._peer_starts: dict[str, int] = {}  # incarnations by peer, the most recent start at the end
        self._timer: asyncio.TimerHandle | None = None

    def record_start(self, name: str, incarnation: int) -> None:
        """Include a peer's incarnation in all acknowledgements from this call on.

        It is left out again after MAX_RECENT_CHANGES other peers have started later.
        """
        self._peer_starts.pop(name, None)
        self._peer_starts[name] = incarnation
        if len(self._peer_starts) > acknowledgements.MAX_RECENT_CHANGES:
            del self._peer_starts[next(iter(self._peer_starts))]

    def schedule(self, write: Callable[[], None]) -> None:
        """Call ``write`` after STARTS_DELAY_S, unless a call is already scheduled."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(STARTS_DELAY_S, write)

    def write(self, mono_us: int, applied_digest: bytes, *, serving: bool, left: bool = False) -> None:
        """Write the acknowledgement, and cancel the scheduled write, if any.

        ``applied_digest``: digest of the cordons that the dispatcher has applied. ``serving``: whether this
        scheduler accepts clients. ``left``: whether this process has made its last send to a worker.
        """
        self.stop()
        self._sequence += 1
        acknowledgement = Acknowledgement(
            version=acknowledgements.VERSION,
            incarnation=self.replica.clock.incarnation,
            sequence=self._sequence,
            mode=self.fleet.options.on_lost,
            bound_us=self.fleet.bound_us,
            caught_up=self.freshness.caught_up,
            serving=serving,
            left=left,
            names_digest=acknowledgements.list_digest(self.fleet.names),
            applied_digest=applied_digest,
            recent_digests=self._recent_digests(applied_digest),
            incarnations=tuple(self._peer_starts.items()),
        )
        self.written_us = self.clock.now_us()
        try:
            self.replica.write(
                self.written_us, acknowledgements.KIND_NAME, self.fleet.own_name, acknowledgement
            )
        except StateFull as e:
            log.error("acknowledgement_not_written", extra={"why": str(e)})
        self.tracker.record_acknowledgement(mono_us, self.fleet.own_name, acknowledgement)

    def stop(self) -> None:
        """Cancel the scheduled write, if any."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _recent_digests(self, applied_digest: bytes) -> tuple[tuple[str, bytes], ...]:
        """Return the digests of the cordons of the most recently changed targets, by target.

        The result is empty while the dispatcher has not applied all changes in this scheduler's copy.
        """
        applied = self.tracker.applied
        if applied_digest != applied.combined:
            return ()
        return tuple((t, digest) for t in self.tracker.recent_targets if (digest := applied.get(t)))
