"""The lease that permits this scheduler to send jobs: how old its knowledge of a majority of schedulers is.

docs/mesh.md describes the protocol. "We" is this scheduler; a *partner* is a scheduler with a link to it. A
change, such as a cordon, is *accepted* once a majority of schedulers has confirmed that they store it. The
*bound* is the longest time after a cordon's acceptance during which a scheduler may still send without
knowledge of the cordon. The *state* of a scheduler is the set of replicated records that it stores.

**The guarantee.** Once the bound has passed since a cordon's acceptance, no scheduler that does not know the
cordon sends a job. This holds for any behaviour of links, provided that there is never a majority of
schedulers that have lost their state and not caught up. Proof: a lease at time T means that for each
scheduler of a majority R, we know everything that it knew at some moment later than T - bound. If the cordon
was accepted before T - bound, R has a scheduler S in common with the majority Q that had stored the cordon by
then. What S knew at the moment as of which we know S includes the cordon, unless S lost its state between
storing the cordon and that moment; ``caught_up`` covers that case.

**Moments** are measured by our clock alone: the moment as of which we know a partner is the time at which we
*wrote* the ping. The partner answered later, so our moment is never later than the time as of which we
actually know the partner. Neither the duration of ping and answer matters, nor whether the partner was paused
between the two. The same argument applies if a partner reports how old its own knowledge of a third scheduler
was when it answered. Such a reported age depends only on the *rates* of the two clocks, not on the times that
they show: see `RATE_ALLOWANCE`.

**Which schedulers count towards majorities.** A scheduler that lost its state at a start does not count
towards any majority until `may_catch_up` is true; until then its answers do not include its own name in
``ages_us``. Equal digests with one peer are sufficient for accepting clients but not for counting towards
majorities: that peer may belong to the minority that does not know an accepted cordon. To count again, the
scheduler needs the state of either of these:

- A majority of schedulers, made up of *others* that count, each as of a moment when it knew our incarnation.
  That each of them knew our incarnation makes acceptance safe. Suppose that a scheduler confirmed a cordon,
  lost its state and caught up from others that do not know the cordon yet. The scheduler that waits for
  acceptance then receives the new incarnation from these others before it receives their confirmations, so
  the old confirmation is discarded (`Acceptance.started`). Source: Michael, Ports, Sharma, Szekeres,
  "Recovering shared objects without stable storage", 2017. The crash vectors of that paper are the
  incarnations, which spread between schedulers like records.
- All others, whether they count or not, as of a moment when they knew our incarnation. This covers the first
  start of a fleet, and the start after all schedulers were down at the same time. Their state is then all the
  state that exists.

The lease does not cover a process that is paused between its check of the lease and its write of the job; no
protocol between processes can prevent a late write. The caller therefore checks the lease last, and again
after a pause. ``mono_us`` is monotonic time and must advance while the host is suspended (CLOCK_BOOTTIME,
where it is available).
"""

from collections import deque
from collections.abc import Iterable, Mapping

from robinhill.mesh.quorum import FAR_FUTURE, Quorum

MAX_PENDING_PINGS = 64
"""Unanswered pings retained for each partner. An answer to an older ping is ignored, which is safe."""

MAX_AGES = 256
"""Maximum number of ages in an answer; the smallest ages are chosen. 256 schedulers are more than a majority
of 500, and their ages take at most 6 KB."""

RATE_ALLOWANCE = 1_000
"""An age that another process measured is extended by one part in 1,000, as the clock of that process may run
slower than ours: NTP changes the rate of a clock by at most 500 ppm."""

NEVER = -(1 << 62)
"""A moment before all others; the value of `lease_until` if no majority is known."""


class Freshness:
    """The moments as of which the other schedulers are known, and the lease that follows from them.

    The caller sets ``caught_up`` once `may_catch_up` is true. It may set ``caught_up`` earlier if the process
    has read from disk everything that it ever confirmed, or if an operator confirms that no cordon is in
    force.
    """

    def __init__(self, me: str, peers: Iterable[str], bound_us: int) -> None:
        self.me = me
        self.bound_us = bound_us
        self.quorum = Quorum(me, peers)
        self._caught_up = False
        self._names = self.quorum.names
        # By partner: the number of each unanswered ping, and the time when the ping was written.
        self._pending_pings: dict[str, deque[tuple[int, int]]] = {}
        # By scheduler: the latest moment as of which it is known and at which it counted towards majorities.
        self._counting_moments: dict[str, int] = {}
        # By scheduler: the latest moment as of which it is known and at which it did not count yet.
        self._starting_moments: dict[str, int] = {}
        self._introduced_us: dict[str, int] = {}  # by peer: the time from which it knows our incarnation
        self._incarnations: dict[str, int] = {}  # by peer: its newest known incarnation
        self._majority_moment = self._find_majority_moment()

    @property
    def caught_up(self) -> bool:
        """Whether this scheduler counts towards majorities, here and at the other schedulers."""
        return self._caught_up

    @caught_up.setter
    def caught_up(self, value: bool) -> None:
        """Set whether this scheduler counts towards majorities."""
        self._caught_up = value
        self._majority_moment = self._find_majority_moment()

    def pinged(self, mono_us: int, partner: str, number: int) -> None:
        """Record that ping ``number`` is about to be written to a partner.

        The caller reads the clock (``mono_us``) before it writes, and uses no number twice.
        """
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
        """Record the answer to ping ``number``.

        ``ages_us``: the partner's `ages`, computed after it had received the ping. ``starting_us``: the
        partner's `starting_ages`, computed at the same time. To be called once this scheduler has stored all
        changes that the partner knew when it computed the ages. The partner must have received our
        incarnation in the hello of the link. Unknown and duplicated numbers are ignored.
        """
        pings = self._pending_pings.get(partner)
        if pings is None or all(pending != number for pending, _ in pings):
            return
        written_us = mono_us
        while pings:  # the link is ordered, so no answer to an earlier ping can follow this answer
            pending, written_us = pings.popleft()
            if pending == number:
                break
        self._introduced_us.setdefault(partner, written_us)
        self._update_moments(self._counting_moments, written_us, ages_us)
        self._update_moments(self._starting_moments, written_us, starting_us or {})
        self._majority_moment = self._find_majority_moment()

    def introduced(self, mono_us: int, peer: str) -> None:
        """Record that a peer without a link to us knows our incarnation.

        The evidence is the peer's acknowledgement, which other peers relay and which names our incarnation.
        """
        if peer in self._names:
            self._introduced_us.setdefault(peer, mono_us)

    def started(self, peer: str, incarnation: int) -> None:
        """Record an incarnation of a peer, which the peer's hello or another peer has reported.

        The hello of a link must be recorded before any ping on that link.

        If the peer has restarted, the moments of its previous process are dropped, so that they do not help
        this scheduler to catch up. The dropped moments do not extend the lease any more either, although that
        would be safe: our knowledge of what the previous process knew at a moment remains correct.
        """
        previous = self._incarnations.get(peer, 0)
        if peer not in self._names or incarnation <= previous:
            return
        self._incarnations[peer] = incarnation
        if previous:
            self._forget(peer)
            self._majority_moment = self._find_majority_moment()

    def ages(self, mono_us: int) -> dict[str, int]:
        """Return the ages, in microseconds, of our knowledge of schedulers that count towards majorities.

        Answers to pings contain these ages; at most the `MAX_AGES` smallest ones are returned. This scheduler
        is included, with age 0, only if it counts towards majorities itself.
        """
        own = {self.me: 0} if self._caught_up else {}
        return own | self._most_recent(self._counting_moments, mono_us, MAX_AGES - len(own))

    def starting_ages(self, mono_us: int) -> dict[str, int]:
        """Return the ages, in microseconds, of our knowledge of schedulers that do not count yet.

        Answers to pings contain these ages; at most the `MAX_AGES` smallest ones are returned. This scheduler
        is included, with age 0, only if it does not count towards majorities yet.
        """
        own = {} if self._caught_up else {self.me: 0}
        counts = self._counting_moments
        starting = {name: at for name, at in self._starting_moments.items() if at > counts.get(name, NEVER)}
        return own | self._most_recent(starting, mono_us, MAX_AGES - len(own))

    def age_us(self, mono_us: int) -> int | None:
        """Return the age of our knowledge of a majority, in microseconds; None if no majority is known.

        This is the smallest age that the knowledge of each scheduler of some majority does not exceed.
        """
        if self._majority_moment is None:
            return None
        return max(0, mono_us - self._majority_moment)

    def holds_lease(self, mono_us: int) -> bool:
        """Whether this scheduler may send jobs at ``mono_us``. Cheap enough to be called before each send."""
        return self._majority_moment is not None and mono_us - self._majority_moment <= self.bound_us

    def lease_until(self, mono_us: int) -> int:
        """Return the monotonic time when the lease ends if no further answer is received.

        The time may be in the past. It is `NEVER` if no majority is known.
        """
        if self._majority_moment is None:
            return NEVER
        return min(self._majority_moment, mono_us) + self.bound_us

    def known_as_of(self, peer: str) -> int | None:
        """Return the moment (monotonic) as of which we know everything that a peer knew.

        None if the peer has not counted towards majorities since its last known start.
        """
        return self._counting_moments.get(peer)

    def may_catch_up(self) -> bool:
        """Whether this scheduler stores every change that was ever accepted; `caught_up` may be set then."""
        return self._majority_of_others() or all(
            self._known_since_introduced(peer, with_starting=True) for peer in self._names if peer != self.me
        )

    def reconfigure(self, peers: Iterable[str]) -> None:
        """Use a new list of schedulers.

        Until `settle` is called, a majority of the old list and a majority of the new list are needed.
        """
        self.quorum.reconfigure(peers)
        self._list_changed()

    def settle(self) -> None:
        """Drop all lists of schedulers but the newest list; `Quorum.settle` explains when that is safe."""
        self.quorum.settle()
        self._list_changed()

    def _list_changed(self) -> None:
        self._names = self.quorum.names
        moments = self._counting_moments.keys() | self._starting_moments.keys()
        known = moments | self._pending_pings.keys() | self._introduced_us.keys() | self._incarnations.keys()
        for removed in known - self._names:
            self._forget(removed)
            self._incarnations.pop(removed, None)
        self._majority_moment = self._find_majority_moment()

    def _forget(self, peer: str) -> None:
        """Drop the pending pings to a peer and all moments as of which it is known."""
        self._pending_pings.pop(peer, None)
        self._counting_moments.pop(peer, None)
        self._starting_moments.pop(peer, None)
        self._introduced_us.pop(peer, None)

    def _update_moments(self, moments: dict[str, int], written_us: int, ages_us: Mapping[str, int]) -> None:
        """Advance moments by the ages in the answer to a ping that was written at ``written_us``."""
        for peer, age_us in ages_us.items():
            previous = moments.get(peer)
            if previous is None:
                if peer == self.me or peer not in self._names:
                    continue
            elif previous >= written_us - age_us:
                continue  # saves the computation below: most ages in most answers imply no later moment
            age_us = max(0, age_us)  # a negative age would extend a lease into the future
            moment = written_us - age_us - (age_us + RATE_ALLOWANCE - 1) // RATE_ALLOWANCE
            if previous is None or moment > previous:
                moments[peer] = moment

    def _most_recent(self, moments: Mapping[str, int], mono_us: int, limit: int) -> dict[str, int]:
        """Return the ages of at most ``limit`` moments, the latest ones."""
        if len(moments) > limit:
            moments = dict(sorted(moments.items(), key=lambda item: (-item[1], item[0]))[:limit])
        return {peer: mono_us - at for peer, at in moments.items()}

    def _find_majority_moment(self) -> int | None:
        return self.quorum.majority_moment(self._counting_moments, counts_self=self._caught_up)

    def _majority_of_others(self) -> bool:
        """Whether other schedulers that counted towards majorities and knew our incarnation are a majority.

        A scheduler is included if we know its state as of a moment when both conditions held.
        """
        return self.quorum.has_majority(
            {peer for peer in self._names if peer != self.me and self._known_since_introduced(peer)}
        )

    def _known_since_introduced(self, peer: str, with_starting: bool = False) -> bool:
        """Whether we know a peer as of a moment when it knew our incarnation.

        ``with_starting``: include moments when the peer did not count towards majorities.
        """
        moment = self._counting_moments.get(peer, NEVER)
        if with_starting:
            moment = max(moment, self._starting_moments.get(peer, NEVER))
        return moment >= self._introduced_us.get(peer, FAR_FUTURE)
