"""Chooses the voter that an observer joins: voters of the observer's zone first, then of its region, then all
others. The order of the voters within each of these three groups is random."""

from collections.abc import Collection, Mapping
from random import Random

from robinhill.control.backoff import Backoff
from robinhill.control.options import Place
from robinhill.mesh.options import VoterPlace

SAME_ZONE, SAME_REGION, OTHER_REGION = range(3)


class VoterSelection:
    """The voters in order of preference (``order``), with their backoff. Times are monotonic microseconds."""

    def __init__(self, voters: Mapping[str, VoterPlace], place: Place, rng: Random) -> None:
        self.backoff = Backoff(rng)
        self._rng = rng
        self._place = place
        self.order: tuple[str, ...] = ()
        self.reconfigure(voters)

    def reconfigure(self, voters: Mapping[str, VoterPlace]) -> None:
        """Replace the list of voters."""
        shuffled = sorted(voters)
        self._rng.shuffle(shuffled)
        self.order = tuple(sorted(shuffled, key=lambda name: self._distance(voters[name])))

    def next(self, mono_us: int, linked: Collection[str]) -> str | None:
        """Return the most preferred voter without a link whose backoff has ended.

        ``linked``: voters with a link. Returns None if there is no such voter, or while a connection attempt
        to any voter is in flight.
        """
        self.backoff.expire(mono_us)
        if self.backoff.connecting:
            return None
        for name in self.order:
            if name not in linked and mono_us >= self.backoff.due_us(name):
                return name
        return None

    def due_us(self, linked: Collection[str]) -> int | None:
        """Time at which `next` may return a voter, because an attempt times out or a backoff ends.

        ``linked``: voters with a link. Returns None if all voters have a link.
        """
        if self.backoff.connecting:
            return self.backoff.expires_us()
        return min((self.backoff.due_us(name) for name in self.order if name not in linked), default=None)

    def _distance(self, voter: VoterPlace) -> int:
        if voter.region != self._place.region:
            return OTHER_REGION
        return SAME_REGION if voter.zone != self._place.zone else SAME_ZONE
