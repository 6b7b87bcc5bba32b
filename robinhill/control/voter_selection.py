"""Which voter an observer joins: of its own zone first, then of its region, then any; equals in random
order."""

from collections.abc import Collection, Mapping
from random import Random

from robinhill.control.backoff import Backoff
from robinhill.control.options import Place
from robinhill.mesh.options import VoterPlace

SAME_ZONE, SAME_REGION, OTHER_REGION = range(3)


class VoterSelection:
    """The voters in order of preference, and when each may be connected to. Times: monotonic microseconds."""

    def __init__(self, voters: Mapping[str, VoterPlace], place: Place, rng: Random) -> None:
        self.backoff = Backoff(rng)
        self._rng = rng
        self._place = place
        self.order: tuple[str, ...] = ()
        self.reconfigure(voters)

    def reconfigure(self, voters: Mapping[str, VoterPlace]) -> None:
        """Use another list of voters."""
        shuffled = sorted(voters)
        self._rng.shuffle(shuffled)
        self.order = tuple(sorted(shuffled, key=lambda name: self._distance(voters[name])))

    def next(self, mono_us: int, linked: Collection[str]) -> str | None:
        """The best voter that is due and not linked; None also while an attempt is in flight."""
        self.backoff.expire(mono_us)
        if self.backoff.connecting:
            return None
        for name in self.order:
            if name not in linked and mono_us >= self.backoff.due_us(name):
                return name
        return None

    def due_us(self, linked: Collection[str]) -> int | None:
        """When `next` may return a voter: an attempt times out or a backoff ends; None: all are linked."""
        if self.backoff.connecting:
            return self.backoff.expires_us()
        return min((self.backoff.due_us(name) for name in self.order if name not in linked), default=None)

    def _distance(self, voter: VoterPlace) -> int:
        if voter.region != self._place.region:
            return OTHER_REGION
        return SAME_REGION if voter.zone != self._place.zone else SAME_ZONE
