"""Cordons at a member of the control group, voter or scheduler: operators' calls, and what is cordoned now.

Used from the driver's mailbox alone.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol, cast

import msgspec

from robinhill.control.actions import Action, Progressed
from robinhill.control.errors import ChangesFull
from robinhill.control.options import ControlOptions
from robinhill.cordon import value, views
from robinhill.cordon.errors import BoundNotMet, CordonError, NotAccepted
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import Propagations
from robinhill.errors import RobinhillError
from robinhill.mesh.errors import StateFull
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.net.clock import Clock, mono_us
from robinhill.net.cordons.operator_calls import (
    NOT_STORED,
    CordonCall,
    Json,
    answer,
    counted_targets,
    error_body,
    keep_only,
    location_of,
)
from robinhill.net.cordons.pending_changes import Change, Changes
from robinhill.protocol import Answer, ListedEndpoint

log = logging.getLogger(__name__)

TOO_MANY = 429


class Writer(Protocol):
    """A voter or an observer, to which changes are given."""

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]: ...


@dataclass(slots=True, eq=False)
class _Waiter:
    change: Change
    for_force: bool
    reply: asyncio.Future[Answer]
    timer: asyncio.TimerHandle | None = None


class Cordons:
    """``perform`` carries out what the machine asks for; ``listed``: the workers that discovery lists here,
    None at a voter, which knows none.
    """

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        replica: Replica,
        clock: Clock,
        writer: Writer,
        perform: Callable[[Iterable[Action]], None],
        listed: Callable[[], list[ListedEndpoint]] | None = None,
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.replica = replica
        self.clock = clock
        self.writer = writer
        self.perform = perform
        self.listed = listed
        self.abandon: Callable[[int], None] = lambda number: None
        self.index = CordonIndex()
        self.changes = Changes()
        self.targets: frozenset[str] = frozenset()
        self.next_end_us = 0
        self._waiters: list[_Waiter] = []
        self._writes = 0

    # What is cordoned

    def update(self) -> frozenset[str]:
        """Work out the targets that are cordoned now."""
        now_us = self.clock.now_us()
        workers = {d.instance_id: location_of(d) for d in self.listed()} if self.listed else {}
        self.next_end_us = self.index.update(now_us, self._items(), workers).next_end_us
        self.targets = counted_targets(self.index)
        self.changes.forget_ended({str(entry.dot) for _, entry in self.index.active()})
        return self.targets

    def refresh(self) -> None:
        """Write anew what stands for longer than its record."""
        now_us = self.clock.now_us()
        for target, held in self._items():
            record = self.replica.record(value.NAME, target)
            assert record is not None
            mine = record.stamp.origin == self.options.name
            if value.needs_renewal(held, record.until_us, now_us, is_last_writer=mine):
                try:
                    _, _, actions = self.writer.write(now_us, mono_us(), value.NAME, target, held)
                except (ChangesFull, StateFull) as e:
                    log.error("cordon_not_kept", extra={"target": target, "why": str(e)})
                    return
                self.perform(actions)

    # Operators' calls

    def call(self, call: CordonCall) -> None:
        """Carry out a call; its reply comes once what it waits for has happened."""
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
            call.reply.set_result(answer(_status(e), error_body(e)))

    def progressed(self, news: Progressed) -> None:
        """A change that was asked for here has come further."""
        change = self.changes.progressed(news)
        for waiter in [w for w in self._waiters if w.change is change]:
            if change is not None and (change.in_force if waiter.for_force else change.accepted):
                self._end(waiter, 200)

    def stop(self) -> None:
        """Answer what waits: this process ends."""
        for waiter in list(self._waiters):
            self._end(waiter, 503)

    def _set(self, call: CordonCall) -> None:
        now_us = self.clock.now_us()
        wait_us = call.wait_us
        target, reason = views.read_put(call.cordon_id, call.body, now_us)
        value.check_id_is_free(self._items(), reason.id, target, now_us)
        self._writes += 1
        dot = value.Dot(self.options.name, self.incarnation, self._writes)
        new = value.set_cordon(self._held(target), reason, dot, now_us)
        change = Change(reason.id, (target,), False, mono_us(), (str(dot),))
        self._write(change, {target: new})
        extra = {"id": reason.id, "target": target, "by": reason.by, "why": reason.text}
        log.info("cordon_set", extra=extra)
        self._wait(change, wait_us, call.reply)

    def _lift(self, call: CordonCall) -> None:
        now_us = self.clock.now_us()
        wait_us = call.wait_us
        targets = value.find_targets(self._items(), call.cordon_id, now_us)
        new = {target: value.lift_cordon(self._held(target), call.cordon_id, now_us) for target in targets}
        change = Change(call.cordon_id, targets, True, mono_us())
        self._write(change, new)
        log.info("cordon_lifted", extra={"id": call.cordon_id, "targets": ",".join(targets)})
        self._wait(change, wait_us, call.reply)

    def _write(self, change: Change, new: Mapping[str, value.CordonSet]) -> None:
        for target, held in new.items():
            written = self.writer.write(self.clock.now_us(), mono_us(), value.NAME, target, held)
            number, _, actions = written
            self.changes.follow(change, number)  # before the actions, which may tell of it already
            self.perform(actions)
        for number in self.changes.abandoned():
            self.abandon(number)

    def _wait(self, change: Change, wait_us: int | None, reply: asyncio.Future[Answer]) -> None:
        for_force = wait_us is not None
        if change.in_force if for_force else change.accepted:
            reply.set_result(answer(200, self._progress(change)))
            return
        waiter = _Waiter(change, for_force, reply)
        change.waiting += 1
        limit_us = self.options.bound_us if wait_us is None else wait_us
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_later(limit_us / 1e6, self._expired, waiter)
        self._waiters.append(waiter)

    def _expired(self, waiter: _Waiter) -> None:
        self._end(waiter, 504 if waiter.for_force else 202)

    def _end(self, waiter: _Waiter, status: int) -> None:
        self._waiters.remove(waiter)
        waiter.change.waiting -= 1
        if waiter.timer:
            waiter.timer.cancel()
        if not waiter.reply.done():
            told = self._progress(waiter.change)
            if status != 200:
                told |= error_body(_failure(waiter.change))
            waiter.reply.set_result(answer(status, told))

    def _progress(self, change: Change) -> Json:
        names = [] if change.in_force else change.names_behind
        told: Json = {
            "id": change.cordon_id,
            "targets": sorted(change.targets),
            "state": change.state,
            "accepted": change.accepted,
            "in_force": change.in_force,
            "ms": (mono_us() - change.began_us) / 1000,
            "behind": 0 if change.in_force else change.behind,
            "unconfirmed": [{"scheduler": n, "why": "it is not known to go by it"} for n in names],
        }
        if not change.lifts and self.listed is not None:
            told["warnings"] = [w for target in sorted(change.targets) for w in self.index.warnings(target)]
        return told

    def _show(self, cordon_id: str) -> Json:
        """One cordon, or all. How far one has come is known where it was set, or once it was asked for."""
        self.update()
        told: Json = msgspec.to_builtins(views.list_cordons(mono_us(), self.index, Propagations()))
        dots = {(target, entry.reason.id): entry.dot for target, entry in self.index.active()}
        if cordon_id:
            keep_only(told, cordon_id)
        for cordon in told["cordons"]:
            dot = dots[cordon["target"], cordon["id"]]
            change = self.changes.of_dot(str(dot))
            if change is None and cordon_id:
                change = self._follow_held(cordon_id, cordon["target"], str(dot))
            if change is None:
                cordon["behind"] = [f"not followed here: ask {dot.origin}"]
                continue
            cordon["state"] = change.state
            cordon["behind"] = [] if change.in_force else [*change.names_behind] or ["not yet known"]
        return told | {"schedulers": []}

    def _follow_held(self, cordon_id: str, target: str, dot: str) -> Change:
        """Follow a cordon that was set elsewhere, by writing it once more as it is held: no fact changes."""
        held = self._held(target)
        assert held is not None
        change = Change(cordon_id, (target,), False, mono_us(), (dot,))
        self._write(change, {target: held})
        return change

    def _items(self) -> list[tuple[str, value.CordonSet]]:
        return cast(list[tuple[str, value.CordonSet]], self.replica.items(value.NAME))

    def _held(self, target: str) -> value.CordonSet | None:
        return cast(value.CordonSet | None, self.replica.value(value.NAME, target))


def _failure(change: Change) -> CordonError:
    names = change.names_behind
    if change.accepted:
        return BoundNotMet(repr(change.cordon_id), names)
    return NotAccepted(repr(change.cordon_id), names)


def _status(error: RobinhillError) -> int:
    if isinstance(error, CordonError):
        return views.HTTP_STATUS.get(type(error), 500)
    return TOO_MANY if isinstance(error, ChangesFull) else NOT_STORED
