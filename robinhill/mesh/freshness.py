"""Whether this scheduler may still send: how old its knowledge of a majority of schedulers is (docs/mesh.md).

**The guarantee.** Nothing is sent later than the bound after a cordon's acceptance without knowledge of it,
whatever links do, as long as there is never a majority of schedulers that lost their memory and have not
caught up. Proof: a lease at T means that for a majority R we know everything that each knew at some moment
later than T - bound. If acceptance is before T - bound, R shares a scheduler with the majority Q that had
stored the cordon by then. What that one knew at its moment includes the cordon, unless it lost its memory in
between; ``caught_up`` covers that case.

**Moments** are measured on our clock alone, from when we *wrote* the ping. The partner answered later, so our
moment is never later than the true one; neither the duration of ping and answer matters, nor whether the
partner was paused between. If a partner reports how old its own knowledge of a third scheduler was when it
answered, the same holds again. Only the *rates* of two clocks are compared that way: see `RATE_ALLOWANCE`.

**Who counts.** A scheduler that lost its memory at a start counts for nobody until `may_catch_up` is true: it
answers without its own name in ``ages_us``. Equal digests with one peer are enough for serving but not for
this: that peer may be one of the minority that does not know an accepted cordon. It takes

- a majority of the *others* that counted, each as of a moment when it knew our incarnation. That condition
  makes acceptance safe: of a scheduler that confirmed, lost its memory and caught up from others that do not
  yet know the cordon, these report the new incarnation to the accepting one before their own confirmation
  counts (`Acceptance.started`). Source: Michael, Ports, Sharma, Szekeres, "Recovering shared objects without
  stable storage", 2017, whose crash vectors are the incarnations that we spread like other state.
- or all others, whether they count or not, as of a moment when they knew our incarnation: the first start of
  a fleet, or the one after all were down together. No other knowledge exists then.

Not covered, as nothing between processes can be: a process that is paused between its check of the lease and
its write. So check last, and again after a pause. ``mono_us`` must advance while the host sleeps
(CLOCK_BOOTTIME, where there is one).
"""

from collections import deque
from collections.abc import Iterable, Mapping

from robinhill.mesh.quorum import NOW, Quorum

MAX_PENDING_PINGS = 64
"""Unanswered pings of each partner. An answer to an older one is ignored, which is safe."""

MAX_AGES = 256
"""Entries in an answer, the most recent first: more than a majority of 500 schedulers, in at most 6 KB."""

RATE_ALLOWANCE = 1_000
"""Another process's microseconds may be too long by one part in so many: NTP slews by 500 ppm at most."""

NEVER = -(1 << 62)
"""`lease_until` if there is no lease."""


class Freshness:
    """The moments as of which the other schedulers are known, and the lease that follows from them.

    ``caught_up`` is set by the caller: once `may_catch_up` is true, at once if everything that was ever
    confirmed is read back from disk, or if an operator confirms that nothing is in force.
    """

    def __init__(self, me: str, peers: Iterable[str], bound_us: int) -> None:
        self.me = me
        self.bound_us = bound_us
        self.quorum = Quorum(me, peers)
        self._caught_up = False
        self._names = self.quorum.names
        self._pending_pings: dict[str, deque[tuple[int, int]]] = {}  # by partner: number and when written
        self._counting_moments: dict[str, int] = {}
        self._starting_moments: dict[str, int] = {}  # of schedulers that did not count
        self._introduced_us: dict[str, int] = {}  # since when a peer knows our incarnation
        self._incarnations: dict[str, int] = {}
        self._floor = self._find_floor()

    @property
    def caught_up(self) -> bool:
        """Whether this scheduler counts for majorities, its own and those of others."""
        return self._caught_up

    @caught_up.setter
    def caught_up(self, value: bool) -> None:
        """Count for majorities from now on, or no longer."""
        self._caught_up = value
        self._floor = self._find_floor()

    def pinged(self, mono_us: int, partner: str, number: int) -> None:
        """Ping ``number`` is about to be written: ``mono_us`` is read before, and no number is used twice."""
        if partner not in self._names or partner == self.me:
            return
        pings = self._pending_pings.setdefault(partner, deque(maxlen=MAX_PENDING_PINGS))
        pings.append((number, mono_us))

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        """The answer to ping ``number`` was received, and everything that the partner knew before it.

        ``ages_us``: the partner's `ages`, taken after it had read the ping, with all its changes until then
        written before the answer. ``starting_us``: its `starting_ages`. The hello of the link must have given
        it our incarnation. Unknown and duplicated numbers are ignored.
        """
        pings = self._pending_pings.get(partner)
        if pings is None or all(one != number for one, _ in pings):
            return
        written_us = mono_us
        while pings:  # the link is ordered: earlier pings will not be answered any more
            one, written_us = pings.popleft()
            if one == number:
                break
        self._introduced_us.setdefault(partner, written_us)
        self._raise(self._counting_moments, written_us, ages_us)
        self._raise(self._starting_moments, written_us, starting_us or {})
        self._floor = self._find_floor()

    def introduced(self, mono_us: int, peer: str) -> None:
        """A peer without a link to us confirmed, through others, that it knows our incarnation."""
        if peer in self._names:
            self._introduced_us.setdefault(peer, mono_us)

    def started(self, peer: str, incarnation: int) -> None:
        """An incarnation of a peer became known: by the hello of a link, before any ping, or through others.

        If it is newer than the last one, what the former process reported no longer helps to catch up. It
        does not extend the lease either, though that would be safe: what was known at a moment stays true.
        """
        before = self._incarnations.get(peer, 0)
        if peer not in self._names or incarnation <= before:
            return
        self._incarnations[peer] = incarnation
        if before:
            self._forget(peer)
            self._floor = self._find_floor()

    def ages(self, mono_us: int) -> dict[str, int]:
        """For an answer: how old our knowledge is of each scheduler that counts, the freshest `AGES_AT_MOST`.

        We ourselves are in it, with 0, only if we count.
        """
        mine = {self.me: 0} if self._caught_up else {}
        return mine | self._freshest(self._counting_moments, mono_us, MAX_AGES - len(mine))

    def starting_ages(self, mono_us: int) -> dict[str, int]:
        """For an answer: the age of our knowledge of each scheduler that counts, the `MAX_AGES` most recent.

        Includes ourselves, with 0, only if we count.
        """
        mine = {} if self._caught_up else {self.me: 0}
        counting = self._counting_moments
        late = {peer: at for peer, at in self._starting_moments.items() if at > counting.get(peer, NEVER)}
        return mine | self._freshest(late, mono_us, MAX_AGES - len(mine))

    def age_us(self, mono_us: int) -> int | None:
        """The age of our knowledge of a majority; None if no majority is known."""
        if self._floor is None:
            return None
        return max(0, mono_us - self._floor)

    def holds_lease(self, mono_us: int) -> bool:
        """Whether work may be sent at this moment. Cheap enough for each send."""
        return self._floor is not None and mono_us - self._floor <= self.bound_us

    def lease_until(self, mono_us: int) -> int:
        """When the lease ends if nothing more is received; may be past, `NEVER` without a lease."""
        if self._floor is None:
            return NEVER
        return min(self._floor, mono_us) + self.bound_us

    def as_of(self, peer: str) -> int | None:
        """The moment (monotonic) as of which we know everything that a peer knew; None if it never
        counted."""
        return self._counting_moments.get(peer)

    def may_catch_up(self) -> bool:
        """Whether everything that was ever accepted is known here by now, so that `caught_up` may be set."""
        return self._majority_of_others() or all(
            self._since_introduced(peer, with_starting=True) for peer in self._names if peer != self.me
        )

    def reconfigure(self, peers: Iterable[str]) -> None:
        """Use a new list of schedulers: majorities of the old and the new one are needed until `settled`."""
        self.quorum.reconfigure(peers)
        self._list_changed()

    def settled(self) -> None:
        """Older lists no longer count; `Quorum.settled` explains when that is safe."""
        self.quorum.settled()
        self._list_changed()

    def _list_changed(self) -> None:
        self._names = self.quorum.names
        moments = self._counting_moments.keys() | self._starting_moments.keys()
        known = moments | self._pending_pings.keys() | self._introduced_us.keys() | self._incarnations.keys()
        for removed in known - self._names:
            self._forget(removed)
            self._incarnations.pop(removed, None)
        self._floor = self._find_floor()

    def _forget(self, peer: str) -> None:
        """Drop what was learned of a peer in its last incarnation."""
        self._pending_pings.pop(peer, None)
        self._counting_moments.pop(peer, None)
        self._starting_moments.pop(peer, None)
        self._introduced_us.pop(peer, None)

    def _raise(self, table: dict[str, int], written_us: int, ages_us: Mapping[str, int]) -> None:
        for peer, age_us in ages_us.items():
            moment_before = table.get(peer)
            if moment_before is None:
                if peer == self.me or peer not in self._names:
                    continue
            elif moment_before >= written_us - age_us:
                continue  # most entries of most answers are older than what is known
            age_us = max(0, age_us)  # a negative age would extend a lease into the future
            moment = written_us - age_us - (age_us + RATE_ALLOWANCE - 1) // RATE_ALLOWANCE
            if moment_before is None or moment > moment_before:
                table[peer] = moment

    def _freshest(self, table: Mapping[str, int], mono_us: int, limit: int) -> dict[str, int]:
        if len(table) > limit:
            table = dict(sorted(table.items(), key=lambda item: (-item[1], item[0]))[:limit])
        return {peer: mono_us - at for peer, at in table.items()}

    def _find_floor(self) -> int | None:
        return self.quorum.floor(self._counting_moments, mine=self._caught_up)

    def _majority_of_others(self) -> bool:
        return self.quorum.met({one for one in self._names if one != self.me and self._since_introduced(one)})

    def _since_introduced(self, peer: str, with_starting: bool = False) -> bool:
        moment = self._counting_moments.get(peer, NEVER)
        if with_starting:
            moment = max(moment, self._starting_moments.get(peer, NEVER))
        return moment >= self._introduced_us.get(peer, NOW)
