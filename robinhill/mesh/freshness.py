"""Whether we may still send: how old our knowledge of a majority of the schedulers is (`docs/mesh.md`, The
bound).

**The claim.** Nothing is sent later than the bound after a cordon's acceptance without knowledge of it,
whatever links do, as long as there are never a majority of schedulers at once which lost their memory and
have not caught up. Why: a lease at T means that for a majority R we know all that each knew at some moment
later than T - bound. If acceptance lies before T - bound, R shares a scheduler with the majority Q that held
the cordon by then, and what that one knew at such a moment holds the cordon, unless it lost its memory
between. `caught_up` is there for that.

**Moments.** They are measured on our clock alone, from when we *wrote* the ping. The partner answered later,
so our moment is never later than the true one; nor does it matter how long ping or answer took, or whether
the partner stood still between. Where a partner tells how old its own knowledge of a third one was as it
answered, the same holds again. Only the *rates* of two clocks are compared that way: see `RATE_ALLOWANCE`.

**Who counts.** A scheduler that lost its memory at a start counts for nobody until `may_catch_up` is true: it
answers without its own name in ``ages_us``. Equal digests with one peer are enough for serving but not for
this: that peer may be one of the minority that has not heard of an accepted cordon. It takes

- a majority of the *others* that counted, each as of a moment when it knew of our start. The last condition
  is what makes acceptance safe: of a scheduler that confirmed, lost its memory and caught up from those who
  have not yet heard of the cordon, these tell the accepting one of its new start before their own
  confirmation counts (`Acceptance.started`). Source: Michael, Ports, Sharma, Szekeres, "Recovering shared
  objects without stable storage", 2017, whose vectors of crashes are the starts that we spread like other
  state.
- or all others, whether they count or not, as of a moment when they knew of our start: the first start of a
  fleet, or the one after all went down together. Nothing is left to be heard then.

Not covered, as nothing between processes can: a process that is stopped between its look at the lease and its
write. So look last, and after a stop look again (`failure_detector_actions.ProcessPaused`). ``mono_us`` must
go on while the host sleeps (CLOCK_BOOTTIME, where there is one).
"""

from collections import deque
from collections.abc import Iterable, Mapping

from robinhill.mesh.quorum import NOW, Quorum

PINGS_AT_MOST = 64
"""Unanswered pings remembered for each partner: at ten a second more than any bound that is of use. An answer
to a forgotten one counts for nothing, which is safe."""

AGES_AT_MOST = 256
"""Entries in an answer, the freshest first: above the 200 schedulers that we are built for, and over a
majority of 500, so that a partner's lease can always follow from ours. Some 6 KB in an answer at the most."""

RATE_ALLOWANCE = 1_000
"""Another process's microseconds may be this much too long, one in so many: NTP slews by 500 parts in a
million at most, and quartz is ten times better."""

NEVER = -(1 << 62)
"""`lease_until` where there is no lease that could end."""


class Freshness:
    """The moments as of which we know the others, and the lease that follows.

    ``caught_up`` is the caller's: it sets it once `may_catch_up` says so, at once where all that was ever
    confirmed is read back from disk, or where an operator vouches that nothing is in force.
    """

    def __init__(self, me: str, peers: Iterable[str], bound_us: int) -> None:
        self.me = me
        self.bound_us = bound_us
        self.quorum = Quorum(me, peers)
        self._caught_up = False
        self._names = self.quorum.names
        self._pings: dict[str, deque[tuple[int, int]]] = {}  # by partner: number, when written; oldest first
        self._known: dict[str, int] = {}  # of those that counted: the moment as of which we know them
        self._starting: dict[str, int] = {}  # of those that did not count
        self._introduced: dict[str, int] = {}  # the moment from which on a peer is known to know of our start
        self._starts: dict[str, int] = {}  # the newest that we heard of
        self._floor = self._find_floor()

    @property
    def caught_up(self) -> bool:
        """Whether we count for a majority, for ourselves and for others."""
        return self._caught_up

    @caught_up.setter
    def caught_up(self, value: bool) -> None:
        self._caught_up = value
        self._floor = self._find_floor()

    def pinged(self, mono_us: int, partner: str, number: int) -> None:
        """We are about to write ping ``number``: read ``mono_us`` before writing, and never use a number
        twice."""
        if partner not in self._names or partner == self.me:
            return
        pings = self._pings.setdefault(partner, deque(maxlen=PINGS_AT_MOST))
        pings.append((number, mono_us))

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        """The answer to ping ``number`` is here, and on the same ordered link before it all that the partner
        knew.

        ``ages_us``: its `ages` when it answered; it must have asked for them after it had read the ping, and
        have written all its changes up to then before the answer. ``starting_us``: its `starting_ages`. The
        link's greeting must have told it which start of ours this is. Unknown and doubled numbers count for
        nothing.
        """
        pings = self._pings.get(partner)
        if pings is None or all(one != number for one, _ in pings):
            return
        written_us = mono_us
        while pings:  # an ordered link: what was written before will not be answered any more
            one, written_us = pings.popleft()
            if one == number:
                break
        self._introduced.setdefault(partner, written_us)
        self._raise(self._known, written_us, ages_us)
        self._raise(self._starting, written_us, starting_us or {})
        self._floor = self._find_floor()

    def introduced(self, mono_us: int, peer: str) -> None:
        """A peer that is no partner confirmed, by way of others, that it knows of our present start."""
        if peer in self._names:
            self._introduced.setdefault(peer, mono_us)

    def started(self, peer: str, incarnation: int) -> None:
        """We heard of this start of a peer: by a link's greeting before any ping, or by others' word.

        Where it is newer than one that we knew of, what the former self told no longer helps to catch up. Nor
        does it lengthen the lease, though that would be right: what was known at a moment stays true.
        """
        before = self._starts.get(peer, 0)
        if peer not in self._names or incarnation <= before:
            return
        self._starts[peer] = incarnation
        if before:
            for table in (self._pings, self._known, self._starting, self._introduced):
                table.pop(peer, None)
            self._floor = self._find_floor()

    def ages(self, mono_us: int) -> dict[str, int]:
        """For an answer: how old our knowledge is of each scheduler that counts, the freshest `AGES_AT_MOST`.

        We ourselves are in it, with 0, only if we count.
        """
        mine = {self.me: 0} if self._caught_up else {}
        return mine | self._freshest(self._known, mono_us, AGES_AT_MOST - len(mine))

    def starting_ages(self, mono_us: int) -> dict[str, int]:
        """For an answer: the same of those that do not count yet, which only matters to a whole fleet's
        start."""
        mine = {} if self._caught_up else {self.me: 0}
        late = {peer: at for peer, at in self._starting.items() if at > self._known.get(peer, NEVER)}
        return mine | self._freshest(late, mono_us, AGES_AT_MOST - len(mine))

    def age_us(self, mono_us: int) -> int | None:
        """As of how long ago we know a majority; None if we do not know one."""
        if self._floor is None:
            return None
        return max(0, mono_us - self._floor)

    def holds_lease(self, mono_us: int) -> bool:
        """Whether work may be sent at this moment. Cheap: for each send."""
        return self._floor is not None and mono_us - self._floor <= self.bound_us

    def lease_until(self, mono_us: int) -> int:
        """The last moment of the lease if nothing more is heard, which may be past; `NEVER` without any."""
        if self._floor is None:
            return NEVER
        return min(self._floor, mono_us) + self.bound_us

    def as_of(self, peer: str) -> int | None:
        """The moment, on our clock, as of which we know all that a peer knew; None if it never counted."""
        return self._known.get(peer)

    def may_catch_up(self) -> bool:
        """Whether all that was ever accepted must be here by now, so that `caught_up` may be set."""
        return self._majority_of_others() or all(
            self._since_introduced(peer, with_starting=True) for peer in self._names if peer != self.me
        )

    def reconfigure(self, peers: Iterable[str]) -> None:
        """A new list of schedulers: majorities of the old and the new are needed until `settled`."""
        self.quorum.reconfigure(peers)
        self._list_changed()

    def settled(self) -> None:
        """The older lists count no more; `Quorum.settled` tells when that is safe."""
        self.quorum.settled()
        self._list_changed()

    def _list_changed(self) -> None:
        self._names = self.quorum.names
        for table in (self._pings, self._known, self._starting, self._introduced, self._starts):
            for gone in table.keys() - self._names:
                del table[gone]
        self._floor = self._find_floor()

    def _raise(self, table: dict[str, int], written_us: int, ages_us: Mapping[str, int]) -> None:
        for peer, age_us in ages_us.items():
            known = table.get(peer)
            if known is None:
                if peer == self.me or peer not in self._names:
                    continue
            elif known >= written_us - age_us:
                continue  # most entries of most answers: we know it from nearer by
            told = max(0, age_us)  # a negative age would lend a lease from the future
            moment = written_us - told - (told + RATE_ALLOWANCE - 1) // RATE_ALLOWANCE
            if known is None or moment > known:
                table[peer] = moment

    def _freshest(self, table: Mapping[str, int], mono_us: int, limit: int) -> dict[str, int]:
        if len(table) > limit:
            table = dict(sorted(table.items(), key=lambda item: (-item[1], item[0]))[:limit])
        return {peer: mono_us - at for peer, at in table.items()}

    def _find_floor(self) -> int | None:
        return self.quorum.floor(self._known, mine=self._caught_up)

    def _majority_of_others(self) -> bool:
        return self.quorum.met({one for one in self._names if one != self.me and self._since_introduced(one)})

    def _since_introduced(self, peer: str, with_starting: bool = False) -> bool:
        moment = self._known.get(peer, NEVER)
        if with_starting:
            moment = max(moment, self._starting.get(peer, NEVER))
        return moment >= self._introduced.get(peer, NOW)
