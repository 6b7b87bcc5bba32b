"""Decides when a scheduler that has just started may accept clients: once it likely knows all cordons.

Whether the scheduler counts for majorities is a separate decision, see `Freshness.may_catch_up`.
"""

import logging

from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.net.cordons.fleet import Fleet

log = logging.getLogger(__name__)


class CatchUp:
    """The catch-up phase of a scheduler, in which it receives the state of its peers and accepts no clients.

    ``serving``: whether the phase has ended, so that this scheduler accepts clients. ``duration_us``: the
    duration of the phase; None before its end.
    """

    def __init__(self, fleet: Fleet, tracker: PropagationTracker, started_us: int) -> None:
        self.fleet = fleet
        self.tracker = tracker
        self.serving = False
        self.duration_us: int | None = None
        self._answered: set[str] = set()  # peers whose whole state was received since the start
        self._started_us = started_us

    def start(self, mono_us: int) -> None:
        """Start the catch-up phase; its timeout (``catch_up_ms``) counts from ``mono_us``."""
        self._started_us = mono_us

    def age_s(self, mono_us: int) -> float:
        """Return the seconds since the start of the catch-up phase."""
        return (mono_us - self._started_us) / 1e6

    def record_answer(self, name: str) -> None:
        """Record that a peer's whole state has been received."""
        self._answered.add(name)

    def serve_if_ready(self, mono_us: int) -> bool:
        """End the phase if it is complete, or if it has lasted for ``catch_up_ms``.

        The phase is complete once the whole state of all peers, or of one peer that accepts clients, was
        received. Returns whether this call has ended the phase.
        """
        age_s = self.age_s(mono_us)
        complete = self._is_complete()
        if self.serving or not (complete or age_s * 1e3 >= self.fleet.options.catch_up_ms):
            return False
        self.serving = True
        self.duration_us = int(age_s * 1e6)
        extra = {"seconds": age_s, "peers": ",".join(sorted(self._answered)) or "none"}
        if complete:
            log.info("caught_up", extra=extra)
        else:
            log.warning("catch_up_timed_out", extra=extra)
        return True

    def _is_complete(self) -> bool:
        peers = self.tracker.peers
        if self._answered >= peers.keys():
            return True
        answered = (peers[name].current_acknowledgement for name in self._answered if name in peers)
        return any(acknowledgement and acknowledgement.serving for acknowledgement in answered)
