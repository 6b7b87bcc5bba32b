"""The actor that owns what schedulers share and the cordons in it: operators' calls, what the decider is
told, and what this scheduler may still send.

What comes from peers is taken in at once (``learned``) and not by the mailbox: the last check before a write
asks ``may_send``, and an answer that lends a lease must never be known here before the cordon that came ahead
of it.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

import msgspec

from robinhill.cordon import value, views
from robinhill.cordon.errors import CordonError
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import Mode, PropagationStage
from robinhill.cordon.propagation_tracker import PropagationTracker, TrackedChange
from robinhill.errors import RobinhillError
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.errors import StateFull
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.session_events import PingAnswered, RecordsReceived
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock, mono_us
from robinhill.net.cordons.operator_calls import (
    NOT_STORED,
    CordonCall,
    Json,
    answer,
    counted_targets,
    covers,
    error_body,
    keep_only,
    location_of,
)
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged
from robinhill.protocol import Answer, ListedEndpoint

log = logging.getLogger(__name__)

LEAST_LOOK_US = 5_000
ALIVE_US = 10_000_000  # since when a scheduler may not have been heard of to be dialled as one that runs
STARTS_S = 0.05  # in which starts of others are gathered into one word: they come in crowds
FADES_US = 3_600_000_000  # how often what must be written anew is looked for


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


ToCordons = CordonCall | AppliedNow | ListChanged | Look


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that has not been answered."""

    change: TrackedChange
    step: PropagationStage  # that it waits for
    deadline_us: int
    reply: asyncio.Future[Answer]


class Cordons(Actor[ToCordons]):
    """``names`` are all configured schedulers, this one (``me``) with them."""

    def __init__(
        self,
        options: MeshOptions,
        me: str,
        names: Iterable[str],
        replica: Replica,
        freshness: Freshness,
        supervisor: Supervisor,
        clock: Clock,
        dispatcher: Callable[[CordonsChanged | SendLeaseChanged], None],
        listed: Callable[[], list[ListedEndpoint]],
    ) -> None:
        super().__init__("cordons", supervisor)
        self.options, self.me, self.names = options, me, tuple(sorted(names))
        self.replica, self.freshness, self.clock = replica, freshness, clock
        self.dispatcher, self.listed = dispatcher, listed
        self.changed: Callable[[], None] = lambda: None  # the replica has: peers are to hear of it
        self.outdated: Callable[[int], None] = lambda incarnation: None  # our own name had a later start
        self.on_serving: Callable[[], None] = lambda: None
        self.serving = False  # this scheduler takes clients
        self.caught_up_us: int | None = None  # how long that took
        self.index = CordonIndex()
        self.targets: frozenset[str] = frozenset()
        mode, bound_us = Mode(options.on_lost), options.bound_ms * 1000
        self.tracker = PropagationTracker(me, mode, bound_us, freshness.quorum)
        self.tracker.incarnation = self.incarnation
        self.tracker.reconfigure(0, names)
        self._waiters: list[_Waiter] = []
        self._answered: set[str] = set()  # who has answered since our start
        self._starts: dict[str, int] = {}  # of others, as we heard of them
        self._starts_due: asyncio.TimerHandle | None = None
        self._counter = 0  # of dots and lifts
        self._serial = 0  # of our notices
        self._noticed_us = 0
        self._tellings: dict[int, bytes] = {}  # digests as they were when the decider was told
        self._told = 0
        self._applied = self.tracker.applied.combined  # what endpoints go by
        self._leased = True
        self._next_end_us = 0  # when the next cordon ends
        self._one_list_us: int | None = None  # since when all are known to go by our list
        self._fades_us = 0
        self._began_us = mono_us()
        self._timer: asyncio.TimerHandle | None = None
        self._look_us = 0  # when the timer is due

    @property
    def incarnation(self) -> int:
        return self.replica.clock.incarnation

    def start(self) -> None:
        super().start()
        self._began_us = mono_us()
        for record in self.replica.snapshot():
            self._took_in(record)
        self._update()
        self._write_notice()
        self._look()

    def receive(self, message: ToCordons) -> None:
        match message:
            case CordonCall():
                self._call(message)
            case AppliedNow(number=number):
                self._applied_now(number)
            case ListChanged():
                self._update()
            case Look():
                self._look()

    # What is asked before a send

    def may_send(self, worker: ListedEndpoint) -> bool:
        """Whether a worker may get something new at this moment; for the last check before a write."""
        return not covers(self.targets, worker) and self.lease()

    def lease(self) -> bool:
        """Whether this scheduler may send at all: under ``hold`` only while it can't be behind."""
        return self.options.on_lost == "serve" or self.freshness.holds_lease(mono_us())

    def _check_lease(self) -> None:
        if (held := self.lease()) is not self._leased:
            self._leased = held
            self.dispatcher(SendLeaseChanged())

    # From peers, at once

    def learned(self, learned: RecordsReceived) -> None:
        for record, error in learned.rejected:
            extra = {"kind": record.kind, "key": record.key, "why": str(error)}
            log.warning("record_rejected", extra=extra)
        if sum([self._took_in(record) for record in learned.records]):
            self._update()
        self._review()

    def greeted(self, name: str, incarnation: int) -> None:
        self._started(name, incarnation)
        self.tracker.record_link(mono_us(), name, True)

    def lost(self, name: str) -> None:
        """There is no link to this peer now."""
        self.tracker.record_link(mono_us(), name, False)

    def answered(self, name: str, answered: PingAnswered) -> None:
        self._answered.add(name)
        if not self.freshness.caught_up and self.freshness.may_catch_up():
            self.vouch("learned from others")
        if not self.serving:
            self._maybe_serve()
        if not self._leased:
            self._check_lease()

    def vouch(self, why: str) -> None:
        """All that was ever accepted is here: this scheduler counts for majorities from now on."""
        self.freshness.caught_up = True
        log.info("counts_for_majorities", extra={"why": why, "seconds": self._age_s()})
        self.tracker.mark_all_stored(mono_us())
        self._write_notice()
        self._check_lease()
        self._review()

    def _took_in(self, record: Record) -> bool:
        """Whether it is about cordons."""
        if record.kind == value.NAME:
            self.tracker.record_value(record.key, record.value)
            return True
        if record.kind == acknowledgements.NAME:
            notice = self.replica.value(record.kind, record.key)
            if isinstance(notice, Acknowledgement):
                self._word(record.key, notice)
        return False

    def _word(self, name: str, notice: Acknowledgement) -> None:
        """Another scheduler's word on itself, or what a former process of our own name has left."""
        if name == self.me:
            if notice.incarnation > self.incarnation:
                self.outdated(notice.incarnation)
            return
        if name not in self.tracker.peers:
            return  # of no scheduler that is configured here
        self._started(name, notice.incarnation)
        self.tracker.record_acknowledgement(mono_us(), name, notice)
        if (self.me, self.incarnation) in notice.incarnations:
            self.freshness.introduced(mono_us(), name)
        if notice.serving and not self.serving:
            self._maybe_serve()

    def _started(self, name: str, incarnation: int) -> None:
        if name not in self.tracker.peers or incarnation <= self.tracker.peers[name].incarnation:
            return
        self.freshness.started(name, incarnation)
        if self.tracker.record_start(mono_us(), name, incarnation):
            log.info("peer_started_again", extra={"peer": name, "incarnation": incarnation})
        self._starts.pop(name, None)
        self._starts[name] = incarnation
        if len(self._starts) > acknowledgements.MAX_RECENT_CHANGES:
            del self._starts[next(iter(self._starts))]
        if self._alive and self._starts_due is None:
            self._starts_due = asyncio.get_running_loop().call_later(STARTS_S, self._write_notice)

    def reconfigure(self, options: MeshOptions, names: Iterable[str]) -> None:
        """Other schedulers are configured now."""
        self.options, self.names = options, tuple(sorted(names))
        self.tracker.reconfigure(mono_us(), self.names)
        for name in self.names:
            notice = self.replica.value(acknowledgements.NAME, name)
            if isinstance(notice, Acknowledgement):
                self._word(name, notice)
        self._write_notice()
        self._review()

    def _settle_list(self, now: int) -> None:
        """Majorities of former lists are needed until all have been known to go by ours for a bound."""
        if len(self.freshness.quorum.lists) == 1:
            return
        ours = acknowledgements.list_digest(self.names)
        if not all(
            (w := p.current_acknowledgement) and w.names_digest == ours for p in self.tracker.peers.values()
        ):
            self._one_list_us = None
        elif self._one_list_us is None:
            self._one_list_us = now
        elif now - self._one_list_us > self.options.bound_ms * 1000:
            self.freshness.settled()
            self._one_list_us = None
            log.info("list_settled", extra={"schedulers": len(self.names)})

    # Catching up

    def _age_s(self) -> float:
        return (mono_us() - self._began_us) / 1e6

    def _maybe_serve(self) -> None:
        """Take clients once what a serving peer knew is here, or what all others did, or time is up."""
        peers = self.tracker.peers
        near = any(
            (word := peers[n].current_acknowledgement) and word.serving for n in self._answered if n in peers
        )
        if not (near or self._answered >= peers.keys() or self._age_s() * 1e3 >= self.options.catch_up_ms):
            return
        self.serving = True
        self.caught_up_us = int(self._age_s() * 1e6)
        extra = {"seconds": self._age_s(), "peers": ",".join(sorted(self._answered)) or "none"}
        if near or self._answered >= peers.keys():
            log.info("caught_up", extra=extra)
        else:
            log.warning("not_caught_up", extra=extra)
        self._write_notice()
        self.on_serving()

    # Cordons

    def _items(self) -> list[tuple[str, value.CordonSet]]:
        return cast(list[tuple[str, value.CordonSet]], self.replica.items(value.NAME))

    def _held(self, target: str) -> value.CordonSet | None:
        return cast(value.CordonSet | None, self.replica.value(value.NAME, target))

    def _update(self) -> None:
        """Work out what is cordoned, and tell the decider, who confirms."""
        self.replica.collect(self.clock.now_us())  # it tells what counts as of the latest time that it heard
        workers = {d.instance_id: location_of(d) for d in self.listed()}
        self._next_end_us = self.index.update(self.clock.now_us(), self._items(), workers).next_end_us
        self.targets = counted_targets(self.index)
        self._told += 1
        number, targets = self._told, self.targets
        self._tellings[number] = self.tracker.applied.combined
        self.dispatcher(CordonsChanged(lambda d: covers(targets, d), lambda: self.tell(AppliedNow(number))))

    def _applied_now(self, number: int) -> None:
        digest = self._tellings.pop(number)
        if digest != self._applied:
            self._applied = digest
            # What has changed since was told under a later number, and is confirmed with that one.
            self._write_notice()
            self._review()

    def _write_notice(self, left: bool = False) -> None:
        """Our word on ourselves, for all."""
        if self._starts_due:
            self._starts_due.cancel()
            self._starts_due = None
        self._serial += 1
        applied = self.tracker.applied
        recent: tuple[tuple[str, bytes], ...] = ()
        if self._applied == applied.combined:
            recent = tuple((t, d) for t in self.tracker.recent_targets if (d := applied.get(t)))
        notice = Acknowledgement(
            acknowledgements.VERSION, self.incarnation, self._serial, self.options.on_lost,
            self.options.bound_ms * 1000, self.freshness.caught_up, self.serving, left,
            acknowledgements.list_digest(self.names), self._applied, recent, tuple(self._starts.items()),
        )  # fmt: skip
        self._noticed_us = self.clock.now_us()
        try:
            self.replica.write(self._noticed_us, acknowledgements.NAME, self.me, notice)
        except StateFull as e:
            log.error("notice_not_written", extra={"why": str(e)})
        self.tracker.record_acknowledgement(mono_us(), self.me, notice)
        self.changed()

    def renew(self, incarnation: int) -> None:
        """This process goes on under a later incarnation."""
        self.replica.clock.incarnation = incarnation
        self.tracker.incarnation = incarnation
        self._write_notice()

    def leave(self) -> None:
        """This process sends nothing more: the last word on it."""
        self._write_notice(left=True)

    # Operators

    def _call(self, call: CordonCall) -> None:
        if call.reply.done():
            return
        try:
            match call.method:
                case "GET":
                    call.reply.set_result(answer(200, self._show(call.cordon_id)))
                case "PUT":
                    self._set(call)
                case _:
                    self._lift(call)
        except RobinhillError as e:
            status = views.HTTP_STATUS.get(type(e), 500) if isinstance(e, CordonError) else NOT_STORED
            call.reply.set_result(answer(status, error_body(e)))

    def _set(self, call: CordonCall) -> None:
        now_us = self.clock.now_us()
        target, reason = views.read_put(call.cordon_id, call.body, now_us)
        value.check_id_is_free(self._items(), reason.id, target, now_us)
        self._counter += 1
        dot = value.Dot(self.me, self.incarnation, self._counter)
        new = value.set_cordon(self._held(target), reason, dot, now_us)
        self._write(call, str(dot), {target: new}, is_lift=False)
        log.info("cordon_set", extra={"id": reason.id, "target": target, "by": reason.by, "why": reason.text})

    def _lift(self, call: CordonCall) -> None:
        now_us = self.clock.now_us()
        targets = value.find_targets(self._items(), call.cordon_id, now_us)
        self._counter += 1
        new = {target: value.lift_cordon(self._held(target), call.cordon_id, now_us) for target in targets}
        self._write(call, f"lift {self._counter}", new, is_lift=True)
        log.info("cordon_lifted", extra={"id": call.cordon_id, "targets": ",".join(targets)})

    def _write(self, call: CordonCall, key: str, new: dict[str, value.CordonSet], *, is_lift: bool) -> None:
        """Write and follow a change; the call is answered by `_review`."""
        wait_us = call.wait_us
        now, now_us = mono_us(), self.clock.now_us()
        self.tracker.propagations.reserve()  # a call that is turned away must not have written anything
        records = [self.replica.write(now_us, value.NAME, target, each) for target, each in new.items()]
        change = self.tracker.track(
            now, key, call.cordon_id, records, is_lift=is_lift,
            deadline_us=None if wait_us is None else now + wait_us,
            stored=self.options.on_lost == "serve" or self.freshness.caught_up,
        )  # fmt: skip
        for record in records:
            self._took_in(record)
        step = PropagationStage.ACCEPTED if wait_us is None else PropagationStage.IN_FORCE
        deadline_us = now + (self.options.bound_ms * 1000 if wait_us is None else wait_us)
        self._waiters.append(_Waiter(change, step, deadline_us, call.reply))
        self._update()
        self.changed()
        self._review()

    def _review(self) -> None:
        """Answer calls that have come far enough, or whose time is up."""
        now = mono_us()
        for waiter in list(self._waiters):
            reached = waiter.change.propagation.advance(now) >= waiter.step
            if waiter.reply.done():
                self._waiters.remove(waiter)
            elif reached or now >= waiter.deadline_us:
                self._waiters.remove(waiter)
                status = 200 if reached else 504 if waiter.step is PropagationStage.IN_FORCE else 202
                waiter.reply.set_result(answer(status, self._progress(waiter.change, now, not reached)))
        self._schedule_look(now)

    def _progress(self, change: TrackedChange, now: int, failed: bool = False) -> Json:
        propagation = change.propagation
        step = propagation.advance(now)
        told: Json = {
            "id": change.cordon_id,
            "targets": sorted(change.stamps),
            "state": views.STAGE_NAMES[step],
            "accepted": step >= PropagationStage.ACCEPTED,
            "in_force": step is PropagationStage.IN_FORCE,
            "ms": (now - change.began_us) / 1000,
            "unconfirmed": [{"scheduler": u.name, "why": u.why} for u in propagation.unconfirmed(now)],
        }
        if not propagation.is_lift:
            told["warnings"] = [w for target in sorted(change.stamps) for w in self.index.warnings(target)]
        if failed and (error := propagation.failure(now, self.tracker.missing_holders(change))):
            told |= error_body(error)
        return told

    def _show(self, cordon_id: str) -> Json:
        """One cordon, or all; and how each scheduler stands."""
        now = mono_us()
        told: Json = msgspec.to_builtins(views.list_cordons(now, self.index, self.tracker.propagations))
        if cordon_id:
            keep_only(told, cordon_id)
        for cordon in told["cordons"]:
            cordon["behind"] = self.tracker.lagging_peers(cordon["target"])
        return told | {"schedulers": [self._stand(name, now) for name in self.names]}

    def _stand(self, name: str, now: int) -> Json:
        scheduler = self.tracker.scheduler(now, name)
        mine = name == self.me
        word = None if mine else self.tracker.peers[name].current_acknowledgement
        as_of = now if mine else self.freshness.as_of(name)
        return {
            "name": name,
            "state": scheduler.status.name.lower(),
            "incarnation": scheduler.incarnation,
            "on_lost": scheduler.mode.value if scheduler.mode else None,
            "counts": self.freshness.caught_up if mine else bool(word and word.caught_up),
            "same_list": mine or bool(word and word.names_digest == acknowledgements.list_digest(self.names)),
            "known_ms_ago": None if as_of is None else (now - as_of) / 1000,
        }

    def status(self) -> Json:
        """How this copy stands, for operators and for whoever compares copies."""
        now = mono_us()
        age_us = self.freshness.age_us(now)
        return {
            "name": self.me,
            "incarnation": self.incarnation,
            "digest": self.replica.digest(self.clock.now_us()).hex() if self.serving else None,
            "counts": self.freshness.caught_up,
            "on_lost": self.options.on_lost,
            "lease": self.freshness.holds_lease(now),
            "majority_known_ms_ago": None if age_us is None else age_us / 1000,
            "schedulers": [self._stand(name, now) for name in self.names],
        }

    def alive(self) -> set[str]:
        """Schedulers of which something was heard of late, over whatever way."""
        late_us = mono_us() - max(ALIVE_US, 3 * self.options.bound_ms * 1000)
        return {n for n in self.names if (at := self.freshness.as_of(n)) is not None and at > late_us}

    def metrics(self) -> list[str]:
        """Lines for operators, without their prefix."""
        now = mono_us()
        age_us = self.freshness.age_us(now)
        behind = {n for target in self.tracker.applied.keys() for n in self.tracker.lagging_peers(target)}
        sizes = sorted(self.replica.sizes().items())
        return [
            f"cordons:{len(self.index.active())}|g",
            f"cordoned_workers:{len(self.index.cordoned_workers())}|g",
            f"cordons_under_way:{len(self.tracker.pending())}|g",
            f"behind:{len(behind)}|g",
            f"lease:{int(self.freshness.holds_lease(now))}|g",
            f"majority_age_ms:{-1 if age_us is None else age_us // 1000}|g",
            f"catch_up_ms:{-1 if self.caught_up_us is None else self.caught_up_us // 1000}|g",
            *(f"records.{kind}:{count}|g" for kind, (count, _) in sizes),
            *(f"bytes.{kind}:{size}|g" for kind, (_, size) in sizes),
        ]

    # Time

    def _look(self) -> None:
        now, now_us = mono_us(), self.clock.now_us()
        self._look_us = 0
        self._check_lease()
        if not self.serving:
            self._maybe_serve()
        if self._next_end_us and now_us >= self._next_end_us:
            self._update()
        if now_us - self._noticed_us > acknowledgements.REWRITE_INTERVAL_US:
            self._write_notice()
        self._settle_list(now)
        if now >= self._fades_us:
            self._fades_us = now + FADES_US
            self._refresh(now_us)
        self._review()

    def _refresh(self, now_us: int) -> None:
        """Write anew what stands for longer than its record, and forget digests of what is over."""
        for target in self.tracker.applied.keys():
            record = self.replica.record(value.NAME, target)
            if record is None or record.until_us <= now_us:
                self.tracker.applied.drop(target)
            elif (held := self._held(target)) and value.needs_renewal(
                held, record.until_us, now_us, is_last_writer=record.stamp.origin == self.me
            ):
                self._took_in(self.replica.write(now_us, value.NAME, target, held))
                self._update()
                self.changed()

    def _schedule_look(self, now: int) -> None:
        due = [now + self.options.interval_us // 2, *(w.deadline_us for w in self._waiters)]
        if (next_us := self.tracker.propagations.next_deadline_us()) is not None:
            due.append(next_us)
        if self._next_end_us:
            due.append(now + max(0, self._next_end_us - self.clock.now_us()))
        at = max(now + LEAST_LOOK_US, min(due))
        if self._look_us and self._look_us <= at:
            return
        if self._timer:
            self._timer.cancel()
        self._look_us = at
        self._timer = asyncio.get_running_loop().call_later((at - now) / 1e6, self.tell, Look())

    def stop(self) -> None:
        super().stop()
        for timer in (self._timer, self._starts_due):
            if timer:
                timer.cancel()
        for waiter in self._waiters:
            if not waiter.reply.done():
                waiter.reply.set_result(answer(503, {"error": "this scheduler ends"}))
