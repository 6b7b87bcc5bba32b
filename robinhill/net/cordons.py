"""The actor that owns what schedulers share and the cordons in it: operators' calls, what the decider is
told, and what this scheduler may still send.

What comes from peers is taken in at once (``learned``) and not by the mailbox: the last check before a write
asks ``may_send``, and an answer that lends a lease must never be known here before the cordon that came ahead
of it.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Annotated, Any, cast

import msgspec
import orjson

from robinhill.cordon import limits, value
from robinhill.cordon.book import Book, Place, targets_of
from robinhill.cordon.errors import (
    BoundNotMet,
    CordonElsewhere,
    CordonError,
    CordonMalformed,
    CordonUnknown,
    NotAccepted,
    TooManyCalls,
)  # fmt: skip
from robinhill.cordon.promise import Mode, Promise, Promises, Scheduler, Standing, Step
from robinhill.errors import RobinhillError
from robinhill.mesh import notices
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.notices import Applied, Notice
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Answered, Learned
from robinhill.mesh.words import StateFull
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock
from robinhill.net.decider import Cordoned, Lease
from robinhill.net.messages import Answer, Destination
from robinhill.net.peers import mono_us

log = logging.getLogger(__name__)

Json = dict[str, Any]
HISTORY = 256  # digests of before that still confirm: as many changes may pass while a scheduler answers
LOST_US = 5_000_000  # without a link and a word for so long, a scheduler is called gone and not suspect
LEAST_LOOK_US = 20_000
CLOCK_AHEAD_US = 2_000_000  # clocks that differ by more are told of: ends of cordons come late or early

_CODES: dict[type[CordonError], int] = {
    CordonMalformed: 400,
    CordonUnknown: 404,
    CordonElsewhere: 409,
    TooManyCalls: 429,
    NotAccepted: 504,
    BoundNotMet: 504,
}


class Asked(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a PUT: what to cordon, why, who asks, and until when or for how long (seconds)."""

    target: Annotated[str, msgspec.Meta(max_length=limits.MAX_TARGET)]
    reason: Annotated[str, msgspec.Meta(max_length=limits.MAX_TEXT)]
    by: Annotated[str, msgspec.Meta(max_length=limits.MAX_BY)] = ""
    until: datetime | None = None
    for_s: Annotated[float, msgspec.Meta(gt=0, le=limits.MAX_END_US / 1e6)] | None = None


@dataclass(slots=True, frozen=True)
class Call:
    """An operator's call; ``wait_s``: for how long it waits to be in force, None: only to be accepted."""

    method: str
    cordon_id: str
    body: bytes
    wait_s: float | None
    reply: asyncio.Future[Answer]


@dataclass(slots=True, frozen=True)
class AppliedNow:
    """The decider and all endpoints go by the cordons of this number."""

    number: int


@dataclass(slots=True, frozen=True)
class ListChanged:
    """Discovery has told of workers."""


@dataclass(slots=True, frozen=True)
class Look:
    """Time has passed."""


ToCordons = Call | AppliedNow | ListChanged | Look


@dataclass(slots=True, eq=False)
class _Open:
    """A change that is followed."""

    promise: Promise
    cordon_id: str
    targets: tuple[str, ...]
    began_us: int
    digests: dict[str, deque[bytes]]  # of each target since the change: whoever has one of them has it too
    whole: deque[bytes]  # the same of all cordons


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that has not been answered."""

    open: _Open
    for_step: Step
    deadline_us: int
    reply: asyncio.Future[Answer]


@dataclass(slots=True)
class _Peer:
    """What is known of another scheduler."""

    notice: Notice | None = None
    linked: bool = False
    heard_us: int = 0
    incarnation: int = 0


@dataclass(slots=True)
class _Telling:
    """Digests as they were when the decider was told, until it says that all goes by it."""

    whole: bytes
    changed: list[str] = field(default_factory=list)


class Cordons(Actor[ToCordons]):
    """``names`` are all configured schedulers, this one (``me``) with them."""

    def __init__(
        self,
        options: MeshOptions,
        me: str,
        names: Iterable[str],
        incarnation: int,
        replica: Replica,
        freshness: Freshness,
        supervisor: Supervisor,
        clock: Clock,
        decider: Callable[[Cordoned | Lease], None],
        listed: Callable[[], list[Destination]],
    ) -> None:
        super().__init__("cordons", supervisor)
        self.options = options
        self.me, self.names = me, tuple(sorted(names))
        self.incarnation = incarnation
        self.replica = replica
        self.freshness = freshness
        self.clock = clock
        self.decider = decider
        self.listed = listed
        self.changed: Callable[[], None] = lambda: None  # the replica has: peers are to hear of it
        self.serving = False  # this scheduler takes clients
        self.on_serving: Callable[[], None] = lambda: None
        self.book = Book()
        self.targets: frozenset[str] = frozenset()
        self.applied = Applied()
        self.promises = Promises()
        self._opens: list[_Open] = []
        self._waiters: list[_Waiter] = []
        self._peers = {name: _Peer() for name in self.names if name != me}
        self._answered: set[str] = set()  # who has answered since our start
        self._starts: dict[str, int] = {}
        self._recent: dict[str, None] = {}
        self._counter = 0
        self._serial = 0
        self._noticed_us = 0
        self._tellings: dict[int, _Telling] = {}
        self._told = 0
        self._undo: list[str] = []
        self._applied_whole = self.applied.all
        self._next_end_us = 0
        self._leased = True
        self._timer: asyncio.TimerHandle | None = None
        self._catch_up_us = 0
        self.caught_up_in_us: int | None = None

    def start(self) -> None:
        super().start()
        now = mono_us()
        self._catch_up_us = now + self.options.catch_up_ms * 1000
        for record in self.replica.snapshot():
            self._took_in(record.kind, record.key, record.value)
        self._update()
        self._write_notice()
        self._look()

    def receive(self, message: ToCordons) -> None:
        match message:
            case Call():
                self._call(message)
            case AppliedNow(number=number):
                self._applied_now(number)
            case ListChanged():
                self._update()
            case Look():
                self._look()

    # What the last check before a write asks

    def may_send(self, worker: Destination) -> bool:
        """Whether a worker may get something new at this moment."""
        if _covers(self.targets, worker):
            return False
        return self.lease()

    # From peers, at once

    def learned(self, learned: Learned) -> None:
        cordons = False
        for record in learned.records:
            cordons |= self._took_in(record.kind, record.key, record.value)
        for record, error in learned.declined:
            log.warning(
                "record_declined",
                extra={"kind": record.kind, "key": record.key, "why": str(error)},
            )
        if cordons:
            self._update()
        self._review()

    def greeted(self, name: str, incarnation: int, clock_ahead_us: int) -> None:
        if abs(clock_ahead_us) > CLOCK_AHEAD_US:
            log.warning("clocks_differ", extra={"peer": name, "ahead_s": clock_ahead_us / 1e6})
        if (peer := self._peers.get(name)) is not None:
            peer.linked, peer.heard_us = True, mono_us()
            self._started(name, incarnation)
            self._heard(name)

    def lost(self, name: str) -> None:
        """There is no link to this peer now."""
        if (peer := self._peers.get(name)) is not None:
            peer.linked, peer.heard_us = False, mono_us()
            self._heard(name)

    def answered(self, name: str, answered: Answered) -> None:
        self._answered.add(name)
        if not self.freshness.caught_up and self.freshness.may_catch_up():
            self.vouch("learned from a majority")
        if not self.serving:
            self._maybe_serve()
        if not self._leased:
            self._check_lease()

    def vouch(self, why: str) -> None:
        """All that was ever accepted is here: this scheduler counts for majorities from now on."""
        self.freshness.caught_up = True
        log.info("counts_for_majorities", extra={"why": why, "seconds": self._age_s()})
        for each in self._opens:
            each.promise.stored(mono_us())
        self._write_notice()
        self._check_lease()
        self._review()

    def _took_in(self, kind: str, key: str, data: bytes) -> bool:
        """Whether it is about cordons."""
        if kind == value.NAME:
            digest = self.applied.put(key, data)
            self._recent.pop(key, None)
            self._recent[key] = None
            if len(self._recent) > notices.RECENT:
                del self._recent[next(iter(self._recent))]
            for each in self._opens:
                if key in each.digests:
                    each.digests[key].append(digest)
                each.whole.append(self.applied.all)
            return True
        if kind == notices.NAME:
            notice = self.replica.value(kind, key)
            if isinstance(notice, Notice):
                self._word(key, notice)
        return False

    def _word(self, name: str, notice: Notice) -> None:
        """Another scheduler's word on itself, or what a former process of our own name has left."""
        if name == self.me:
            if notice.incarnation > self.incarnation:
                log.error("newer_self", extra={"incarnation": notice.incarnation, "ours": self.incarnation})
            return
        if (peer := self._peers.get(name)) is None:
            return
        peer.notice = notice
        self._started(name, notice.incarnation)
        if (self.me, self.incarnation) in notice.starts:
            self.freshness.introduced(mono_us(), name)
        self._heard(name)
        for each in self._opens:
            self._match(each, name, notice)
        if notice.serving and not self.serving:
            self._maybe_serve()

    def _started(self, name: str, incarnation: int) -> None:
        peer = self._peers[name]
        if incarnation <= peer.incarnation:
            return
        again = peer.incarnation > 0
        peer.incarnation = incarnation
        if again:
            self.freshness.started(name)
            log.info("peer_started_again", extra={"peer": name, "incarnation": incarnation})
        self._starts.pop(name, None)
        self._starts[name] = incarnation
        if len(self._starts) > notices.RECENT:
            del self._starts[next(iter(self._starts))]
        if self._alive:
            self._write_notice()

    def _scheduler(self, name: str) -> Scheduler:
        """As promises are to see it."""
        if name == self.me:
            return Scheduler(name, self.incarnation, Standing.ALIVE, Mode(self.options.on_lost),
                             self.options.bound_ms * 1000)  # fmt: skip
        peer = self._peers[name]
        notice = peer.notice
        if notice and notice.left and notice.incarnation >= peer.incarnation:
            standing = Standing.LEFT
        elif peer.linked:
            standing = Standing.ALIVE
        elif not peer.heard_us and not notice:
            standing = Standing.UNHEARD
        elif peer.heard_us and mono_us() - peer.heard_us > LOST_US:
            standing = Standing.GONE
        else:
            standing = Standing.SUSPECT
        if notice is None or notice.incarnation < peer.incarnation:
            return Scheduler(name, peer.incarnation, standing)
        return Scheduler(name, peer.incarnation, standing, Mode(notice.mode), notice.bound_us)

    def _heard(self, name: str) -> None:
        now, scheduler = mono_us(), self._scheduler(name)
        for promise in self.promises.under_way():
            promise.heard(now, scheduler)

    def _match(self, each: _Open, name: str, notice: Notice) -> None:
        """Whether a scheduler's word says that it goes by a change."""
        if not notice.counts and self.options.on_lost == "hold":
            return
        recent = dict(notice.recent)
        if notice.applied in each.whole or all(
            recent.get(target) in each.digests[target] for target in each.targets
        ):
            each.promise.confirmed(mono_us(), name, notice.incarnation)

    def reconfigure(self, options: MeshOptions, names: Iterable[str]) -> None:
        """Other schedulers are configured now."""
        now = mono_us()
        self.options, self.names = options, tuple(sorted(names))
        for gone in self._peers.keys() - set(self.names):
            del self._peers[gone]
            for promise in self.promises.under_way():
                promise.removed(now, gone)
        for name in self.names:
            if name != self.me and name not in self._peers:
                self._peers[name] = _Peer()
                notice = self.replica.value(notices.NAME, name)
                if isinstance(notice, Notice):
                    self._word(name, notice)
                self._heard(name)
        self._write_notice()
        self._review()

    # Catching up

    def _age_s(self) -> float:
        return (mono_us() - self._catch_up_us) / 1e6 + self.options.catch_up_ms / 1000

    def _maybe_serve(self) -> None:
        """Take clients once what one serving peer knew is here, or all others', or time is up."""
        serving = [n for n in self._answered if (w := self._peers[n].notice) and w.serving]
        late = mono_us() >= self._catch_up_us
        if not (serving or late or len(self._answered) == len(self._peers)):
            return
        self.serving = True
        self.caught_up_in_us = int(self._age_s() * 1e6)
        extra = {"seconds": self._age_s(), "peers": ",".join(sorted(self._answered)) or "none"}
        if self._answered:
            log.info("caught_up", extra=extra)
        else:
            log.warning("not_caught_up", extra=extra)
        self._write_notice()
        self.on_serving()

    # Cordons

    def _update(self) -> None:
        """Work out what is cordoned, and tell the decider, who confirms."""
        now_us = self.clock.now_us()
        items = cast(list[tuple[str, value.Cordons]], self.replica.items(value.NAME))
        workers = {d.instance_id: _place(d) for d in self.listed()}
        change = self.book.update(now_us, items, workers)
        self._next_end_us = change.next_us
        self.targets = frozenset(
            target for target, entry in self.book.standing() if self.book.counts(target, entry.reason)
        )
        self._tell_decider()

    def _tell_decider(self) -> None:
        self._told += 1
        self._tellings[self._told] = _Telling(self.applied.all, list(self._recent))
        number, targets = self._told, self.targets
        self.decider(Cordoned(lambda d: _covers(targets, d), lambda: self.tell(AppliedNow(number))))

    def _applied_now(self, number: int) -> None:
        telling = self._tellings.pop(number)
        if telling.whole != self._applied_whole:
            self._applied_whole = telling.whole
            # What has changed since is told to the decider by a later number, and confirmed with that one.
            self._write_notice()

    def lease(self) -> bool:
        """Whether this scheduler may send at all: under ``hold`` only while it can't be behind."""
        return self.options.on_lost == "serve" or self.freshness.holds_lease(mono_us())

    def _check_lease(self) -> None:
        if (held := self.lease()) is not self._leased:
            self._leased = held
            self.decider(Lease())

    def _write_notice(self, left: bool = False) -> None:
        now_us = self.clock.now_us()
        self._serial += 1
        done = self._applied_whole == self.applied.all
        recent = tuple((t, d) for t in self._recent if (d := self.applied.get(t))) if done else ()
        notice = Notice(
            notices.VERSION, self.incarnation, self._serial, self.options.on_lost,
            self.options.bound_ms * 1000, self.freshness.caught_up, self.serving, left,
            notices.list_digest(self.names), self._applied_whole, recent, tuple(self._starts.items()),
        )  # fmt: skip
        try:
            self.replica.write(now_us, notices.NAME, self.me, notice)
        except StateFull as e:
            log.error("notice_not_written", extra={"why": str(e)})
        self._noticed_us = now_us
        for each in self._opens:
            self._match(each, self.me, notice)
        self.changed()

    def leave(self) -> None:
        """This process sends nothing more: the last word on it."""
        self._write_notice(left=True)

    # Operators

    def _call(self, call: Call) -> None:
        if call.reply.done():
            return
        try:
            match call.method:
                case "GET":
                    call.reply.set_result(_answer(200, self._show(call.cordon_id)))
                case "PUT":
                    self._set(call)
                case _:
                    self._lift(call)
        except RobinhillError as e:
            status = _CODES.get(type(e), 503) if isinstance(e, CordonError) else 507
            call.reply.set_result(_answer(status, _told(e)))

    def _items(self) -> list[tuple[str, value.Cordons]]:
        return cast(list[tuple[str, value.Cordons]], self.replica.items(value.NAME))

    def _set(self, call: Call) -> None:
        now_us = self.clock.now_us()
        try:
            asked = msgspec.json.decode(call.body, type=Asked)
        except msgspec.DecodeError as e:
            raise CordonMalformed(f"the body can't be read: {e}") from e
        target = value.check_target(asked.target)
        cordon_id = value.check_id(call.cordon_id)
        if asked.until and asked.for_s is not None:
            raise CordonMalformed("either `until` or `for_s` may be given")
        until_us = 0
        if asked.until:
            until_us = int(asked.until.replace(tzinfo=asked.until.tzinfo or UTC).timestamp() * 1e6)
        elif asked.for_s is not None:
            until_us = now_us + int(asked.for_s * 1e6)
        value.check_elsewhere(self._items(), cordon_id, target, now_us)
        reason = value.Reason(cordon_id, asked.reason, asked.by, now_us, until_us)
        present = cast(value.Cordons | None, self.replica.value(value.NAME, target))
        self._counter += 1
        dot = value.Dot(self.me, self.incarnation, self._counter)
        changed = value.set_(present, reason, dot, now_us)
        self._write(call, cordon_id, {target: changed}, lifts=False)
        log.info("cordon_set", extra={"id": cordon_id, "target": target, "by": asked.by, "why": asked.reason})

    def _lift(self, call: Call) -> None:
        now_us = self.clock.now_us()
        targets = value.find(self._items(), call.cordon_id, now_us)
        changed: dict[str, value.Cordons] = {}
        for target in targets:
            present = cast(value.Cordons | None, self.replica.value(value.NAME, target))
            changed[target] = value.lift(present, call.cordon_id, now_us)
        self._write(call, call.cordon_id, changed, lifts=True)
        log.info("cordon_lifted", extra={"id": call.cordon_id, "targets": ",".join(targets)})

    def _write(self, call: Call, cordon_id: str, changed: dict[str, value.Cordons], lifts: bool) -> None:
        """Write and follow a change; the call is answered by `_review`."""
        now = mono_us()
        what = f"{'the lift of ' if lifts else ''}{cordon_id!r}"
        schedulers = [self._scheduler(name) for name in self.names]
        promise = Promise(what, self.me, Mode(self.options.on_lost), schedulers, lifts=lifts)
        self.promises.follow(f"{self.me} {self.incarnation} {self._counter} {self._told}", promise)
        now_us = self.clock.now_us()
        each = _Open(promise, cordon_id, tuple(changed), now, {t: deque(maxlen=HISTORY) for t in changed},
                     deque(maxlen=HISTORY))  # fmt: skip
        for target, new in changed.items():
            record = self.replica.write(now_us, value.NAME, target, new)
            self._opens.append(each) if each not in self._opens else None
            self._took_in(record.kind, record.key, record.value)
        if self.options.on_lost == "serve" or self.freshness.caught_up:
            promise.stored(now)
        wait_s = self.options.bound_ms / 1000 if call.wait_s is None else call.wait_s
        deadline_us = now + min(int(wait_s * 1e6), limits.MAX_WAIT_US)
        step = Step.ACCEPTED if call.wait_s is None else Step.IN_FORCE
        self._waiters.append(_Waiter(each, step, deadline_us, call.reply))
        self._update()
        self.changed()
        self._review()

    def _review(self) -> None:
        """Answer calls that have come far enough, or whose time is up."""
        now = mono_us()
        for waiter in list(self._waiters):
            promise = waiter.open.promise
            step = promise.look(now)
            if waiter.reply.done():
                self._waiters.remove(waiter)
            elif step >= waiter.for_step or now >= waiter.deadline_us:
                self._waiters.remove(waiter)
                waiter.reply.set_result(self._outcome(waiter, now))
        waited = {id(w.open) for w in self._waiters}
        self._opens = [o for o in self._opens if id(o) in waited or o.promise.step is not Step.IN_FORCE][
            -limits.PROMISES :
        ]

    def _outcome(self, waiter: _Waiter, now: int) -> Answer:
        promise = waiter.open.promise
        told = self._progress(waiter.open, now)
        if promise.step >= waiter.for_step:
            return _answer(200, told)
        error = promise.failure(now)
        status = 504 if waiter.for_step is Step.IN_FORCE else 202
        return _answer(status, told | (_told(error) if error else {}))

    def _progress(self, each: _Open, now: int) -> Json:
        promise = each.promise
        return {
            "id": each.cordon_id,
            "targets": list(each.targets),
            "accepted": promise.step >= Step.ACCEPTED,
            "in_force": promise.step >= Step.IN_FORCE,
            "ms": (now - each.began_us) / 1000,
            "unconfirmed": [{"name": u.name, "why": u.why} for u in promise.unconfirmed(now)],
            "warnings": [w for t in each.targets for w in self.book.warnings(t)] if not promise.lifts else [],
        }

    def _show(self, cordon_id: str) -> Json:
        """One cordon, or all; and how each scheduler stands."""
        now = mono_us()
        shown = []
        for target, entry in self.book.standing():
            reason = entry.reason
            if cordon_id and reason.id != cordon_id:
                continue
            following = next((o for o in self._opens if o.cordon_id == reason.id), None)
            shown.append(
                {
                    "id": reason.id, "target": target, "reason": reason.text, "by": reason.by,
                    "since": _moment(reason.since_us), "until": _moment(reason.until_us),
                    "automatic": reason.automatic, "counts": self.book.counts(target, reason),
                    "workers": sorted(self.book.matched(target)),
                    "unconfirmed": self._behind(target),
                    "waiting": self._progress(following, now) if following else None,
                }
            )  # fmt: skip
        if cordon_id and not shown:
            raise CordonUnknown(cordon_id, sorted({e.reason.id for _, e in self.book.standing()}))
        return {"cordons": shown, "schedulers": [self._stand(name, now) for name in self.names],
                "lease": self._lease(now)}  # fmt: skip

    def _behind(self, target: str) -> list[str]:
        """Schedulers whose last word does not show that they go by what is held here of a target."""
        digest = self.applied.get(target)
        behind = []
        for name, peer in sorted(self._peers.items()):
            word = peer.notice
            if word is None or word.incarnation < peer.incarnation:
                behind.append(name)
            elif word.applied != self.applied.all and (
                digest is None or dict(word.recent).get(target) != digest
            ):
                behind.append(name)
        return behind

    def _stand(self, name: str, now: int) -> Json:
        scheduler = self._scheduler(name)
        notice = self._peers[name].notice if name != self.me else None
        as_of = self.freshness.as_of(name)
        return {
            "name": name, "incarnation": scheduler.incarnation, "state": scheduler.standing.name.lower(),
            "on_lost": scheduler.mode.value if scheduler.mode else None,
            "counts": self.freshness.caught_up if name == self.me else bool(notice and notice.counts),
            "same_list": name == self.me or bool(notice and notice.names == notices.list_digest(self.names)),
            "known_ms_ago": 0 if name == self.me else None if as_of is None else (now - as_of) / 1000,
        }  # fmt: skip

    def _lease(self, now: int) -> Json:
        age = self.freshness.age_us(now)
        return {
            "on_lost": self.options.on_lost,
            "held": self.freshness.holds_lease(now),
            "majority_known_ms_ago": None if age is None else age / 1000,
        }

    def figures(self) -> list[str]:
        """Lines for operators, without their prefix."""
        now = mono_us()
        age = self.freshness.age_us(now)
        sizes = self.replica.sizes()
        return [
            f"cordons:{len(self.book.standing())}|g",
            f"cordoned_workers:{len(self.book.held_workers())}|g",
            f"cordons_open:{sum(o.promise.step is not Step.IN_FORCE for o in self._opens)}|g",
            f"lease_held:{int(self.freshness.holds_lease(now))}|g",
            f"majority_age_ms:{-1 if age is None else age // 1000}|g",
            f"caught_up_ms:{-1 if self.caught_up_in_us is None else self.caught_up_in_us // 1000}|g",
            f"unconfirmed:{len({n for t in self.applied.keys() for n in self._behind(t)})}|g",
            *(f"records.{kind}:{count}|g" for kind, (count, _) in sorted(sizes.items())),
            *(f"bytes.{kind}:{size}|g" for kind, (_, size) in sorted(sizes.items())),
        ]

    # Time

    def _look(self) -> None:
        now, now_us = mono_us(), self.clock.now_us()
        self._check_lease()
        if not self.serving and now >= self._catch_up_us:
            self._maybe_serve()
        if self._next_end_us and now_us >= self._next_end_us:
            self._update()
        if now_us - self._noticed_us > notices.AGAIN_US:
            self._write_notice()
        for key in self.applied.keys():
            if self.replica.record(value.NAME, key) is None:
                self.applied.drop(key)
        self._review()
        due = [now + self.options.interval_us // 2]
        due += [w.deadline_us for w in self._waiters]
        if (next_us := self.promises.next_us()) is not None:
            due.append(next_us)
        if self._next_end_us:
            due.append(now + self._next_end_us - now_us)
        delay_us = max(LEAST_LOOK_US, min(due) - now)
        self._timer = asyncio.get_running_loop().call_later(delay_us / 1e6, self.tell, Look())

    def stop(self) -> None:
        super().stop()
        if self._timer:
            self._timer.cancel()
        for waiter in self._waiters:
            if not waiter.reply.done():
                waiter.reply.set_result(_answer(503, {"error": "this scheduler ends"}))


def _covers(targets: frozenset[str], d: Destination) -> bool:
    return bool(targets) and not targets.isdisjoint(targets_of(d.instance_id, _place(d)))


def _place(d: Destination) -> Place:
    return Place(d.zone, d.machine_type, d.cell)


def _moment(us: int) -> str | None:
    return datetime.fromtimestamp(us / 1e6, UTC).isoformat(timespec="milliseconds") if us else None


def _told(error: RobinhillError) -> Json:
    return {"error": error.what, "advice": error.advice, "type": type(error).__name__}


def _answer(status: int, body: Json) -> Answer:
    return Answer(status, orjson.dumps(body) + b"\n")
