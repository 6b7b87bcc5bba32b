"""Cordons at a member of the control group (voter or scheduler): operators' calls and the cordoned targets.

This module owns the index of cordons and the changes that were requested at this member; the voter or
observer owns the records. After the start of the process, the module is only called while the driver (the
actor that calls the voter or observer) handles a message of its mailbox.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import UNSET

from robinhill.control.actions import Action, Progressed
from robinhill.control.errors import ChangesFull
from robinhill.control.options import ControlOptions
from robinhill.cordon import value, views
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import Propagations
from robinhill.cordon.value import CordonSet, Dot
from robinhill.cordon.views import CordonView, UnconfirmedView
from robinhill.errors import RobinhillError
from robinhill.mesh.errors import StateFull
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.net.clock import Clock, mono_us
from robinhill.net.cordons.change_waits import ChangeWaits
from robinhill.net.cordons.cordon_records import CordonRecords
from robinhill.net.cordons.operator_calls import (
    CordonCall,
    change_warnings,
    cordoned_targets,
    handle_call,
    location_of,
    select_cordons,
)
from robinhill.net.cordons.pending_changes import PendingChange, PendingChanges
from robinhill.net.cordons.replies import ChangeReply, CordonReply, ListingReply, make_cordon_reply
from robinhill.protocol import ListedEndpoint

log = logging.getLogger(__name__)

HTTP_STATUS: dict[type[RobinhillError], int] = {**views.HTTP_STATUS, ChangesFull: 429}


class Writer(Protocol):
    """A voter or an observer, which accepts changes."""

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]:
        """Write a value. Returns the number of the change, its record and the actions to perform."""


class GroupCordons:
    """The cordons at one member of the control group.

    ``perform`` carries out the actions that the writer returns. ``listed_workers`` returns the workers on
    discovery's list; it is None at a voter, which has no such list. ``abandon`` is called with the number of
    a change whose progress the writer need not report any more. ``targets`` are the cordoned targets at the
    last update. ``next_end_us``: Unix time when the next active cordon ends; 0 if none has an end.
    """

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        replica: Replica,
        clock: Clock,
        writer: Writer,
        perform: Callable[[Iterable[Action]], None],
        listed_workers: Callable[[], list[ListedEndpoint]] | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.writer = writer
        self.perform = perform
        self.listed_workers = listed_workers
        self.abandon: Callable[[int], None] = lambda _number: None
        self.index = CordonIndex()
        self.changes = PendingChanges()
        self.targets: frozenset[str] = frozenset()
        self.next_end_us = 0
        self._records = CordonRecords(replica, clock, options.name, lambda: incarnation)
        self._waits = ChangeWaits(self._describe)

    # Cordoned targets

    def update(self) -> frozenset[str]:
        """Update the index from the replica, and return the targets that are cordoned at this time."""
        workers = {}
        if self.listed_workers:
            workers = {worker.instance_id: location_of(worker) for worker in self.listed_workers()}
        self.next_end_us = self.index.update(self.clock.now_us(), self._records.items(), workers).next_end_us
        self.targets = cordoned_targets(self.index)
        self.changes.forget_ended({str(entry.dot) for _, entry in self.index.active()})
        return self.targets

    def renew_records(self) -> None:
        """Rewrite records that would expire before their cordons end. Stops at the first rejected write."""
        now_us = self.clock.now_us()
        for target, present in self._records.items():
            if not self._records.needs_renewal(target, present, now_us):
                continue
            try:
                _, _, actions = self.writer.write(now_us, mono_us(), value.NAME, target, present)
            except (ChangesFull, StateFull) as e:
                log.error("cordon_not_renewed", extra={"target": target, "why": str(e)})
                return
            self.perform(actions)

    # Operators' calls

    def call(self, call: CordonCall) -> None:
        """Carry out a call. A call that requests a change is answered after its wait, see `change`."""
        handle_call(call, self, HTTP_STATUS)

    def record_progress(self, report: Progressed) -> None:
        """Record the progress of a change that is tracked at this member.

        Also answers the calls whose wait for the change is now fulfilled.
        """
        change = self.changes.record_progress(report)
        if change is not None:
            self._waits.answer_fulfilled(change)

    def stop(self) -> None:
        """Answer the waiting calls, because this process ends."""
        self._waits.stop()

    def show(self, cordon_id: str) -> ListingReply:
        """Return the cordon with an ID, or all cordons for ''. Raises CordonUnknown if none has the ID.

        The progress of a cordon is known at the member where it was set, and at a member that was called with
        the cordon's ID, because that call starts to track it.
        """
        self.update()
        listing = views.list_cordons(mono_us(), self.index, Propagations())
        dots = {(target, entry.reason.id): entry.dot for target, entry in self.index.active()}
        selected = select_cordons(listing.cordons, cordon_id)
        cordons = [
            self._show_cordon(view, dots[view.target, view.id], track=bool(cordon_id)) for view in selected
        ]
        return ListingReply(tuple(cordons), listing.cordoned_workers)

    def change(self, call: CordonCall) -> None:
        """Write the requested change, and answer the call once its wait is fulfilled or timed out.

        With the parameter ``wait``, the call waits for that time until the change is in force. Without the
        parameter, the call waits until the change is accepted, for at most the bound (the upper limit of the
        propagation time).
        """
        wait_us = call.wait_us
        requested = self._records.prepare_change(call)
        dots = () if requested.cordon is None else (str(requested.cordon.dot),)
        change = PendingChange(requested.cordon_id, requested.targets, requested.is_lift, mono_us(), dots)
        self._write(change, requested.values)
        requested.write_log()
        timeout_us = self.options.bound_us if wait_us is None else wait_us
        self._waits.add(change, call.reply, timeout_us, until_in_force=wait_us is not None)

    def _write(self, change: PendingChange, values: dict[str, CordonSet]) -> None:
        for target, new in values.items():
            number, _, actions = self.writer.write(self.clock.now_us(), mono_us(), value.NAME, target, new)
            # The change must be tracked before its actions are performed, because one of these may report
            # the progress of the change.
            self.changes.track(change, number)
            self.perform(actions)
        for number in self.changes.abandon_excess():
            self.abandon(number)

    def _describe(self, change: PendingChange) -> ChangeReply:
        names = () if change.in_force else change.lagging_names
        knows_workers = self.listed_workers is not None
        warnings = change_warnings(self.index, change.targets) if knows_workers else ()
        return ChangeReply(
            id=change.cordon_id,
            targets=tuple(sorted(change.targets)),
            state=change.state,
            accepted=change.accepted,
            in_force=change.in_force,
            ms=(mono_us() - change.began_us) / 1000,
            lagging_count=0 if change.in_force else change.lagging_count,
            unconfirmed=tuple(UnconfirmedView(name, "not known to have applied it") for name in names),
            warnings=warnings if knows_workers and not change.is_lift else UNSET,
        )

    def _show_cordon(self, view: CordonView, dot: Dot, *, track: bool) -> CordonReply:
        change = self.changes.find_by_dot(str(dot))
        if change is None and track:
            change = self._track_present(view, dot)
        if change is None:
            return make_cordon_reply(view, (f"not followed here: ask {dot.origin}",))
        lagging = () if change.in_force else change.lagging_names or ("not yet known",)
        return make_cordon_reply(view, lagging, change.state)

    def _track_present(self, view: CordonView, dot: Dot) -> PendingChange:
        """Track a cordon that was set at another member, by writing its current value again."""
        present = self._records.get(view.target)
        assert present is not None
        change = PendingChange(view.id, (view.target,), False, mono_us(), (str(dot),))
        self._write(change, {view.target: present})
        return change
