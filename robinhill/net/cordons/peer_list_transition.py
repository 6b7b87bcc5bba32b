"""The transition from former lists of schedulers to the present one.

Majorities of the former lists are needed, too, until all schedulers have been known to use the present one
for as long as the bound.
"""

import logging

from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.freshness import Freshness
from robinhill.net.cordons.fleet import Fleet

log = logging.getLogger(__name__)


class PeerListTransition:
    """Ends the transition in ``freshness`` when that is safe."""

    def __init__(self, fleet: Fleet, freshness: Freshness, tracker: PropagationTracker) -> None:
        self.fleet = fleet
        self.freshness = freshness
        self.tracker = tracker
        self._agreed_since_us: int | None = None

    def review(self, mono_us: int) -> None:
        """End the transition if all have agreed for long enough."""
        if len(self.freshness.quorum.lists) == 1:
            return
        if not self._all_agree():
            self._agreed_since_us = None
        elif self._agreed_since_us is None:
            self._agreed_since_us = mono_us
        elif mono_us - self._agreed_since_us > self.fleet.bound_us:
            self.freshness.settled()
            self._agreed_since_us = None
            log.info("peer_list_settled", extra={"schedulers": len(self.fleet.names)})

    def _all_agree(self) -> bool:
        digest = acknowledgements.list_digest(self.fleet.names)
        current = (peer.current_acknowledgement for peer in self.tracker.peers.values())
        return all(acknowledgement and acknowledgement.names_digest == digest for acknowledgement in current)
