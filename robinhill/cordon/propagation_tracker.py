"""How far changes of cordons have come at all schedulers, from what each says of itself (`mesh.notices`).

A scheduler's word holds digests of the cordons that its dispatcher goes by. Copies only grow: so whoever goes
by a value that was held here at the change or later goes by the change. Values that were held only elsewhere
confirm nothing, which is safe; once copies are equal, so are the digests.

``mono_us``: monotonic microseconds of this process.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from robinhill.cordon.propagation import (
    Mode,
    Propagation,
    Propagations,
    PropagationStage,
    Scheduler,
    Standing,
)
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.acknowledgements import RECENT, Acknowledgement, Applied
from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Record, Stamp

HISTORY = 256  # digests of before that still confirm: as many changes may pass while a scheduler answers
MODES = {mode.value for mode in Mode}
LOST_US = 5_000_000  # without a link for so long, a scheduler is called gone and not suspect


@dataclass(slots=True, eq=False)
class Followed:
    """A change: what was written, and digests since, of each target and of all cordons."""

    key: str
    cordon_id: str
    began_us: int
    promise: Propagation
    stamps: dict[str, Stamp]  # by target
    digests: dict[str, deque[bytes]] = field(default_factory=dict)
    whole: deque[bytes] = field(default_factory=lambda: deque(maxlen=HISTORY))

    def shows(self, notice: Acknowledgement) -> bool:
        """Whether a scheduler that says so goes by this change."""
        recent = dict(notice.recent)
        return notice.applied in self.whole or all(
            recent.get(target) in digests for target, digests in self.digests.items()
        )


@dataclass(slots=True)
class Peer:
    """What is known of another scheduler."""

    notice: Acknowledgement | None = None
    linked: bool = False
    heard_us: int = 0
    incarnation: int = 0

    @property
    def word(self) -> Acknowledgement | None:
        """Its last word, if it is of its present process."""
        return self.notice if self.notice and self.notice.incarnation >= self.incarnation else None


class Following:
    """All changes of this process that are under way, and what is known of the other schedulers."""

    def __init__(self, me: str, mode: Mode, bound_us: int, quorum: Quorum) -> None:
        self.me, self.mode, self.bound_us = me, mode, bound_us
        self.quorum = quorum
        self.incarnation = 0  # of this process
        self.peers: dict[str, Peer] = {}
        self.applied = Applied()  # what is held here
        self.recent: dict[str, None] = {}  # targets that changed last, the latest behind
        self.promises = Propagations()
        self.acceptance = Acceptance(quorum)
        self._open: dict[str, Followed] = {}

    def reconfigure(self, mono_us: int, names: Iterable[str]) -> None:
        """These schedulers are configured now."""
        wanted = set(names) - {self.me}
        for gone in sorted(self.peers.keys() - wanted):
            del self.peers[gone]
            for promise in self.promises.under_way():
                promise.removed(mono_us, gone)
        for name in sorted(wanted - self.peers.keys()):
            self.peers[name] = Peer()
            self._news(mono_us, name)
        for stamp in self.acceptance.review(mono_us):
            self._accepted(mono_us, stamp)

    # Changes

    def changed(self, target: str, value: bytes) -> None:
        """A value is held here now."""
        digest = self.applied.put(target, value)
        self.recent.pop(target, None)
        self.recent[target] = None
        if len(self.recent) > RECENT:
            del self.recent[next(iter(self.recent))]
        for each in self._open.values():
            if target in each.digests:
                each.digests[target].append(digest)
            each.whole.append(self.applied.all)

    def follow(
        self,
        mono_us: int,
        key: str,
        cordon_id: str,
        written: Sequence[Record],
        *,
        lifts: bool,
        deadline_us: int | None,
        stored: bool,
    ) -> Followed:
        """Follow what was just written here, before `changed` is told of it. TooManyCalls."""
        what = f"the lift of {cordon_id}" if lifts else cordon_id
        schedulers = [self.scheduler(mono_us, name) for name in sorted({*self.peers, self.me})]
        promise = Propagation(what, self.me, self.mode, schedulers, lifts=lifts, deadline_us=deadline_us)
        self.promises.follow(key, promise)
        followed = Followed(key, cordon_id, mono_us, promise, {r.key: r.stamp for r in written})
        followed.digests = {r.key: deque(maxlen=HISTORY) for r in written}
        for record in written:
            self.acceptance.follow(mono_us, record.stamp)
        self._open[key] = followed
        self._prune()
        if stored:
            promise.stored(mono_us)
        return followed

    def _prune(self) -> None:
        """Forget what nobody asks after any more."""
        for key in [k for k in self._open if self.promises.get(k) is None]:
            for stamp in self._open.pop(key).stamps.values():
                self.acceptance.forget(stamp)

    def get(self, key: str) -> Followed | None:
        return self._open.get(key)

    def under_way(self) -> list[Followed]:
        return [f for f in self._open.values() if f.promise.step is not PropagationStage.IN_FORCE]

    def counts(self, mono_us: int) -> None:
        """This process counts for majorities from now on: what it has stored is stored in earnest."""
        for each in self._open.values():
            each.promise.stored(mono_us)

    def missing(self, followed: Followed) -> tuple[str, ...]:
        """Who does not hold a change, as far as is known here."""
        return tuple(
            sorted({n for stamp in followed.stamps.values() for n in self.acceptance.unconfirmed(stamp)})
        )

    def _match(self, mono_us: int, name: str, notice: Acknowledgement) -> None:
        for each in self.under_way():
            if not each.shows(notice):
                continue
            if notice.counts:
                for stamp in each.stamps.values():
                    if self.acceptance.confirmed(mono_us, name, notice.incarnation, stamp):
                        self._accepted(mono_us, stamp)
            each.promise.confirmed(mono_us, name, notice.incarnation)

    def _accepted(self, mono_us: int, stamp: Stamp) -> None:
        for each in self.under_way():
            if stamp in each.stamps.values() and all(
                self.acceptance.accepted_us(s) is not None for s in each.stamps.values()
            ):
                each.promise.accepted(mono_us)

    # Schedulers

    def said(self, mono_us: int, name: str, notice: Acknowledgement) -> None:
        """A scheduler's word on itself, or our own."""
        if name == self.me:
            self._match(mono_us, name, notice)
        elif (peer := self.peers.get(name)) is not None:
            peer.notice = notice
            self.started(mono_us, name, notice.incarnation)
            self._news(mono_us, name)
            if peer.word:
                self._match(mono_us, name, notice)

    def started(self, mono_us: int, name: str, incarnation: int) -> bool:
        """A scheduler runs in this start. True if that is news, and not the first of it."""
        peer = self.peers[name]
        if incarnation <= peer.incarnation:
            return False
        again, peer.incarnation = peer.incarnation > 0, incarnation
        self.acceptance.started(name, incarnation)
        self._news(mono_us, name)
        return again

    def linked(self, mono_us: int, name: str, yes: bool) -> None:
        if (peer := self.peers.get(name)) is not None:
            peer.linked, peer.heard_us = yes, mono_us
            self._news(mono_us, name)

    def _news(self, mono_us: int, name: str) -> None:
        scheduler = self.scheduler(mono_us, name)
        for promise in self.promises.under_way():
            promise.heard(mono_us, scheduler)

    def scheduler(self, mono_us: int, name: str) -> Scheduler:
        """As promises are to see it."""
        if name == self.me:
            return Scheduler(name, self.incarnation, Standing.ALIVE, self.mode, self.bound_us)
        peer = self.peers[name]
        word = peer.word
        if word and word.left:
            standing = Standing.LEFT
        elif peer.linked:
            standing = Standing.ALIVE
        elif not peer.heard_us:
            standing = Standing.UNHEARD if peer.notice is None else Standing.SUSPECT
        else:
            standing = Standing.GONE if mono_us - peer.heard_us > LOST_US else Standing.SUSPECT
        if word is None:
            return Scheduler(name, peer.incarnation, standing)
        mode = Mode(word.mode) if word.mode in MODES else None  # a newer version's: promises nothing
        return Scheduler(name, peer.incarnation, standing, mode, word.bound_us)

    def behind(self, target: str) -> tuple[str, ...]:
        """Schedulers whose last word does not show that they go by what is held here of a target.

        One whose last word was that its process ends sends nothing more, whatever it went by.
        """
        digest, whole = self.applied.get(target), self.applied.all
        return tuple(
            name
            for name, peer in sorted(self.peers.items())
            if not (word := peer.word)
            or (
                not word.left
                and word.applied != whole
                and (digest is None or dict(word.recent).get(target) != digest)
            )
        )
