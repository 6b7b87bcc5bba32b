"""Which voter an observer joins: its own zone first, then its region, then any; of equals by lot."""

from collections.abc import Collection, Mapping
from random import Random

from robinhill.control.backoff import Backoff
from robinhill.control.options import Place
from robinhill.mesh.options import VoterPlace


class VoterSelection:
    """The voters in the order of preference, and when each may be tried. Times: monotonic microseconds."""

    def __init__(self, voters: Mapping[str, VoterPlace], place: Place, rng: Random) -> None:
        self.backoff = Backoff(rng)
        self._rng = rng
        self._feed_position = place
        self.order: tuple[str, ...] = ()
        self.reconfigure(voters)

    def reconfigure(self, voters: Mapping[str, VoterPlace]) -> None:
        """These voters are configured now."""
        shuffled = sorted(voters)
        self._rng.shuffle(shuffled)
        self.order = tuple(sorted(shuffled, key=lambda name: self._distance(voters[name])))

    def next(self, mono_us: int, taken: Collection[str]) -> str | None:
        """The best voter that may be tried now and is not taken; None while another is being tried."""
        self.backoff.expire(mono_us)
        if self.backoff.connecting:
            return None
        for name in self.order:
            if name not in taken and mono_us >= self.backoff.due_us(name):
                return name
        return None

    def due_us(self, taken: Collection[str]) -> int | None:
        """When `next` may name one: an attempt that is on has failed, or a pause is over; None: all are
        taken."""
        if self.backoff.connecting:
            return self.backoff.expires_us()
        return min((self.backoff.due_us(name) for name in self.order if name not in taken), default=None)

    def _distance(self, voter: VoterPlace) -> int:
        if voter.region != self._feed_position.region:
            return 2
        return 1 if voter.zone != self._feed_position.zone else 0
