"""The transition from earlier lists of schedulers to the current one.

Until all schedulers are known to have used the current list for longer than the bound (the upper limit of the
propagation time), decisions also need majorities of the earlier lists.
"""

import logging

from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.freshness import Freshness
from robinhill.net.cordons.fleet import Fleet

log = logging.getLogger(__name__)


class PeerListTransition:
    """Ends the transition, so that ``freshness`` no longer requires majorities of earlier lists."""

    def __init__(self, fleet: Fleet, freshness: Freshness, tracker: PropagationTracker) -> None:
        self.fleet = fleet
        self.freshness = freshness
        self.tracker = tracker
        # Monotonic time since when all schedulers are known to use the current list; None if they are not.
        self._agreed_since_us: int | None = None

    def end_if_settled(self, mono_us: int) -> None:
        """End the transition if all schedulers are known to use the current list for longer than the bound.

        Called at each maintenance of the cordon actor. The time begins with the first call that finds that
        all schedulers use the current list, and begins again after a call that finds that they don't.
        """
        if len(self.freshness.quorum.lists) == 1:
            return
        if not self._all_agree():
            self._agreed_since_us = None
        elif self._agreed_since_us is None:
            self._agreed_since_us = mono_us
        elif mono_us - self._agreed_since_us > self.fleet.bound_us:
            self.freshness.settle()
            self._agreed_since_us = None
            log.info("peer_list_settled", extra={"schedulers": len(self.fleet.names)})

    def _all_agree(self) -> bool:
        digest = acknowledgements.list_digest(self.fleet.names)
        current = (peer.current_acknowledgement for peer in self.tracker.peers.values())
        return all(acknowledgement and acknowledgement.names_digest == digest for acknowledgement in current)
